#include "Http/connection_pool.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "Http/outbound_connection.h"

namespace lacewingbridge {

namespace {

// An idle connection is sound only when it has nothing to read: the end of the stream and
// bytes that belong to no request both show as readable.
bool IsQuiet(OutboundConnection& connection) {
  char byte = 0;
  const ssize_t received =
      recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

ConnectionPool::ConnectionPool() = default;
ConnectionPool::~ConnectionPool() = default;

std::unique_ptr<OutboundConnection> ConnectionPool::Take(TimePoint now, std::string_view address,
                                                         Duration max_idle) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    if (now - connections.back()->idle_since > max_idle) {
      return nullptr;
    }
    std::unique_ptr<OutboundConnection> connection = std::move(connections.back());
    connections.pop_back();
    if (now < connection->usable_until && IsQuiet(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void ConnectionPool::Return(TimePoint now, std::string_view address,
                            std::unique_ptr<OutboundConnection> connection) {
  connection->idle_since = now;
  auto found = this->idle.find(address);
  if (found == this->idle.end()) {
    found =
        this->idle.emplace(std::string(address), std::vector<std::unique_ptr<OutboundConnection>>())
            .first;
  }
  found->second.push_back(std::move(connection));
}

void ConnectionPool::DropExpired(TimePoint now) {
  for (auto entry = this->idle.begin(); entry != this->idle.end();) {
    std::erase_if(entry->second, [now](const std::unique_ptr<OutboundConnection>& connection) {
      return connection->usable_until <= now;
    });
    entry = entry->second.empty() ? this->idle.erase(entry) : std::next(entry);
  }
}

}  // namespace lacewingbridge
