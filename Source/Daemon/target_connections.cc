#include "Daemon/target_connections.h"

#include <utility>

#include "Core/hash.h"
#include "Http/io_shard.h"

namespace lacewingbridge {

namespace {

// A daemon never has more requests at a target than the target has slots. More idle connections
// than this would only occupy threads of the target.
constexpr std::size_t kMaxIdlePerAddress = 32;
// An IoShard needs a seed for random numbers, which the event loop of a connection never uses.
constexpr std::uint64_t kUnusedSeed = 0;

}  // namespace

TargetConnections::TargetConnections(std::size_t shard_count,
                                     std::chrono::milliseconds connect_limit)
    : connect_timeout(connect_limit), idle(shard_count, [] { return IdleState(); }) {}

TargetConnections::~TargetConnections() = default;

std::unique_ptr<IoShard> TargetConnections::Take(const std::string& address) {
  return this->idle.WithShard(HashBytes(address), [&](IdleState& state) {
    const auto found = state.by_address.find(address);
    if (found == state.by_address.end() || found->second.empty()) {
      return std::make_unique<IoShard>(kUnusedSeed);
    }
    std::unique_ptr<IoShard> connection = std::move(found->second.back());
    found->second.pop_back();
    return connection;
  });
}

void TargetConnections::Return(const std::string& address, std::unique_ptr<IoShard> connection) {
  this->idle.WithShard(HashBytes(address), [&](IdleState& state) {
    auto& connections = state.by_address[address];
    if (connections.size() < kMaxIdlePerAddress) {
      connections.push_back(std::move(connection));
    }
  });
}

}  // namespace lacewingbridge
