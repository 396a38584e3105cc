#include "Daemon/http_connection_pool.h"

#include <httplib.h>

#include <utility>

#include "Core/hash.h"

namespace lacewingbridge {

namespace {

// A daemon never has more requests at a target than the target has slots. More idle connections
// than this would only occupy threads of the target.
constexpr std::size_t kMaxIdlePerAddress = 32;

}  // namespace

HttpConnectionPool::HttpConnectionPool(std::size_t shard_count,
                                       std::chrono::milliseconds connect_limit)
    : connect_timeout(connect_limit), idle(shard_count, [] { return IdleState(); }) {}

HttpConnectionPool::~HttpConnectionPool() = default;

std::unique_ptr<httplib::Client> HttpConnectionPool::Take(const std::string& address) {
  std::unique_ptr<httplib::Client> client =
      this->idle.WithShard(HashBytes(address), [&](IdleState& state) {
        std::unique_ptr<httplib::Client> found;
        const auto entry = state.by_address.find(address);
        if (entry != state.by_address.end() && !entry->second.empty()) {
          found = std::move(entry->second.back());
          entry->second.pop_back();
        }
        return found;
      });
  if (client == nullptr) {
    client = std::make_unique<httplib::Client>("http://" + address);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(this->connect_timeout);
    client->set_url_encode(false);
  }
  return client;
}

void HttpConnectionPool::Return(const std::string& address,
                                std::unique_ptr<httplib::Client> client) {
  this->idle.WithShard(HashBytes(address), [&](IdleState& state) {
    auto& clients = state.by_address[address];
    if (clients.size() < kMaxIdlePerAddress) {
      clients.push_back(std::move(client));
    }
  });
}

void HttpConnectionPool::Remove(const std::string& address) {
  this->idle.WithShard(HashBytes(address),
                       [&](IdleState& state) { state.by_address.erase(address); });
}

}  // namespace lacewingbridge
