#ifndef LACEWINGBRIDGE_SOURCE_PROXY_RECENT_REQUESTS_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_RECENT_REQUESTS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "Core/sharded.h"
#include "mesh.h"

namespace lacewingbridge {

// The last requests that were not served, for operators who ask for one by its id. Served
// ones are only counted and logged.
class RecentRequests {
 public:
  // Requests kept in all; each takes about half a kilobyte.
  static constexpr std::size_t kMaxKept = 512;

  RecentRequests();

  // The oldest request of the shard makes room.
  void Add(RequestTrace trace);
  // All that are kept under the id, oldest first.
  RequestTraceList Find(std::string_view request_id);

 private:
  static constexpr std::size_t kShardCount = 4;

  struct Shard {
    std::vector<RequestTrace> kept;
    std::size_t oldest = 0;
  };

  Sharded<Shard> shards;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_RECENT_REQUESTS_H_
