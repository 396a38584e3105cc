#ifndef LACEWINGBRIDGE_SOURCE_PROXY_RECENT_REQUESTS_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_RECENT_REQUESTS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "Core/sharded.h"
#include "mesh.h"

namespace lacewingbridge {

// Stores the most recent requests that were not served, so that operators can look them up by id.
// Served requests are only counted and logged.
class RecentRequests {
 public:
  // Limit over all shards. Each request takes about half a kilobyte.
  static constexpr std::size_t kMaxStored = 512;

  RecentRequests();

  // Replaces the oldest request of the shard if the shard is full.
  void Add(RequestTrace trace);
  // Returns all stored requests with the id, oldest first.
  RequestTraceList Find(std::string_view request_id);

 private:
  static constexpr std::size_t kShardCount = 4;

  struct Shard {
    std::vector<RequestTrace> stored;
    std::size_t oldest = 0;
  };

  Sharded<Shard> shards;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_RECENT_REQUESTS_H_
