#ifndef LACEWINGBRIDGE_SOURCE_HTTP_CONNECTION_POOL_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_CONNECTION_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"

namespace lacewingbridge {

struct OutboundConnection;

// Idle connections of one shard by address. The most recently used one is taken first, so
// that surplus connections reach their idle limit.
class ConnectionPool {
 public:
  ConnectionPool();
  ~ConnectionPool();

  // Null when no idle connection of at most that age is left. Connections that the other
  // side has closed, or sent unrequested bytes on, are dropped.
  std::unique_ptr<OutboundConnection> Take(TimePoint now, std::string_view address,
                                           Duration max_idle);
  void Return(TimePoint now, std::string_view address,
              std::unique_ptr<OutboundConnection> connection);
  void DropExpired(TimePoint now);

 private:
  std::map<std::string, std::vector<std::unique_ptr<OutboundConnection>>, std::less<>> idle;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_CONNECTION_POOL_H_
