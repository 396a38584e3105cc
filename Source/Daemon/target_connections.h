#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_TARGET_CONNECTIONS_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_TARGET_CONNECTIONS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/sharded.h"

namespace lacewingbridge {

class IoShard;

// Pool of connections to targets by address. Each connection has its own event loop, which the
// thread that sends a request runs until the response is complete. All functions are
// thread-safe.
class TargetConnections {
 public:
  TargetConnections(std::size_t shard_count, std::chrono::milliseconds connect_limit);
  ~TargetConnections();

  std::chrono::milliseconds GetConnectLimit() const { return this->connect_timeout; }

  // Takes an event loop that may hold an idle connection to the address.
  std::unique_ptr<IoShard> Take(const std::string& address);
  // Returns the event loop after an exchange whose connection can be reused.
  void Return(const std::string& address, std::unique_ptr<IoShard> connection);

 private:
  struct IdleState {
    std::map<std::string, std::vector<std::unique_ptr<IoShard>>> by_address;
  };

  std::chrono::milliseconds connect_timeout;
  Sharded<IdleState> idle;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_TARGET_CONNECTIONS_H_
