#include "Proxy/recent_requests.h"

#include <utility>

#include "Core/hash.h"

namespace lacewingbridge {

RecentRequests::RecentRequests() : shards(kShardCount, [] { return Shard(); }) {}

void RecentRequests::Add(RequestTrace trace) {
  this->shards.WithShard(HashBytes(trace.request_id), [&](Shard& shard) {
    if (shard.stored.size() < kMaxStored / kShardCount) {
      shard.stored.push_back(std::move(trace));
      return;
    }
    shard.stored[shard.oldest] = std::move(trace);
    shard.oldest = (shard.oldest + 1) % shard.stored.size();
  });
}

RequestTraceList RecentRequests::Find(std::string_view request_id) {
  return this->shards.WithShard(HashBytes(request_id), [&](Shard& shard) {
    RequestTraceList found;
    for (std::size_t i = 0; i < shard.stored.size(); ++i) {
      const RequestTrace& trace = shard.stored[(shard.oldest + i) % shard.stored.size()];
      if (trace.request_id == request_id) {
        found.traces.push_back(trace);
      }
    }
    return found;
  });
}

}  // namespace lacewingbridge
