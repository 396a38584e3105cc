#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_CONNECTION_POOL_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_CONNECTION_POOL_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/sharded.h"

namespace httplib {
class Client;
}  // namespace httplib

namespace lacewingbridge {

// Pool of idle HTTP connections by address, which spares most requests the setup of a new
// connection. All functions are thread-safe.
class HttpConnectionPool {
 public:
  HttpConnectionPool(std::size_t shard_count, std::chrono::milliseconds connect_limit);
  ~HttpConnectionPool();

  // Takes an idle connection, or creates one that connects with its first request.
  std::unique_ptr<httplib::Client> Take(const std::string& address);

  // Returns a connection to the pool after a complete response. After an error the caller
  // destroys the connection instead.
  void Return(const std::string& address, std::unique_ptr<httplib::Client> client);

  // Closes the idle connections to an address that is no longer used.
  void Remove(const std::string& address);

 private:
  struct IdleState {
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> by_address;
  };

  std::chrono::milliseconds connect_timeout;
  Sharded<IdleState> idle;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_CONNECTION_POOL_H_
