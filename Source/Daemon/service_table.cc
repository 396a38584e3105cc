#include "Daemon/service_table.h"

#include <tbb/parallel_for.h>

#include <algorithm>
#include <unordered_map>

#include "Core/hash.h"
#include "Rules/limit_rule.h"
#include "Version/route_snapshot.h"

namespace lacewingbridge {

namespace {

using RecordsByAddress = std::unordered_map<std::string_view, const TargetRecord*>;

// The snapshot contains only what routes need. Load and incarnation of a target come from the
// member records.
RecordsByAddress IndexRecords(std::span<const MemberRecord> members) {
  RecordsByAddress index;
  for (const MemberRecord& member : members) {
    for (const TargetRecord& target : member.targets) {
      index.emplace(target.address, &target);
    }
  }
  return index;
}

std::vector<TargetEndpoint> MakeEndpoints(const SnapshotService& service,
                                          const RecordsByAddress& records) {
  std::vector<TargetEndpoint> endpoints;
  endpoints.reserve(service.endpoints.size());
  for (const SnapshotEndpoint& endpoint : service.endpoints) {
    TargetEndpoint& added = endpoints.emplace_back();
    added.address = endpoint.address;
    added.host = endpoint.host;
    added.data_centre = endpoint.data_centre;
    added.region = endpoint.region;
    added.slots = endpoint.slots;
    added.draining = endpoint.draining;
    const auto record = records.find(endpoint.address);
    if (record != records.end()) {
      added.reported_load_permille = record->second->reported_load_permille;
    }
  }
  return endpoints;
}

void RecordIncarnations(ServiceRuntime& runtime, const SnapshotService& service,
                        const RecordsByAddress& records, TimePoint now) {
  for (const SnapshotEndpoint& endpoint : service.endpoints) {
    const auto record = records.find(endpoint.address);
    if (record == records.end()) {
      continue;
    }
    std::uint64_t& known = runtime.incarnations[endpoint.address];
    if (known != record->second->incarnation) {
      known = record->second->incarnation;
      runtime.selector.ReportRestarted(endpoint.address);
      runtime.quarantine.RecordIncarnation(now, endpoint.address, known);
    }
  }
}

// Ejects the targets that have a strike in their current incarnation, since a strike proves that
// the target died. Requests go to other targets until the target announces itself again or is
// removed.
void EjectCrashedTargets(ServiceRuntime& runtime, std::span<const QuarantineEvidence> strikes,
                         TimePoint now) {
  for (const QuarantineEvidence& strike : strikes) {
    const auto known = runtime.incarnations.find(strike.target_address);
    if (!strike.target_responded && known != runtime.incarnations.end() &&
        known->second == strike.target_incarnation) {
      runtime.selector.ReportDead(now, strike.target_address);
    }
  }
}

bool IsIdle(const ServiceRuntime& runtime) {
  return runtime.queue.GetLoad().CountRunning() == 0 && runtime.waiting.empty();
}

}  // namespace

ServiceTable::ServiceTable(std::string_view own_data_centre, std::string_view own_region,
                           std::size_t shard_count)
    : data_centre(own_data_centre),
      region(own_region),
      shards(shard_count, [] { return Shard(); }) {}

std::uint64_t ServiceTable::GetHash(std::string_view name) { return HashBytes(name); }

ServiceRuntime& ServiceTable::FindOrAdd(Shard& shard, std::string_view service, TimePoint now) {
  const auto found = shard.services.find(service);
  if (found != shard.services.end()) {
    return found->second;
  }
  return shard.services
      .emplace(std::piecewise_construct, std::forward_as_tuple(service),
               std::forward_as_tuple(this->data_centre, this->region, now))
      .first->second;
}

void ServiceTable::ApplySnapshot(const RouteSnapshot& snapshot,
                                 std::span<const MemberRecord> members, TimePoint now) {
  const RecordsByAddress records = IndexRecords(members);
  const std::span<const SnapshotService> services = snapshot.GetServices();
  tbb::parallel_for(std::size_t{0}, services.size(), [&](std::size_t index) {
    const SnapshotService& service = services[index];
    const std::vector<TargetEndpoint> endpoints = MakeEndpoints(service, records);
    this->WithService(service.rule.name, now, [&](ServiceRuntime& runtime) {
      runtime.selector.SetColdStart(service.rule.cold_start);
      runtime.selector.UpdateTargets(now, endpoints);
      runtime.queue.SetQueueLimit(service.rule.queue);
      RecordIncarnations(runtime, service, records, now);
      NotifyWaiters(runtime, runtime.queue.SetSlots(now, runtime.selector.CountUsableSlots(now)));
    });
  });
  this->shards.ForEachShard([&](Shard& shard) {
    std::erase_if(shard.services, [&](const auto& entry) {
      return snapshot.FindService(entry.first) == nullptr && IsIdle(entry.second);
    });
  });
}

bool ServiceTable::TryTakeLimit(const LimitRule& limit, TimePoint now) {
  return this->shards.WithShard(GetHash(limit.name), [&](Shard& shard) {
    auto found = shard.limiters.find(limit.name);
    if (found == shard.limiters.end()) {
      found = shard.limiters
                  .emplace(limit.name, AdmissionLimiter(now, limit.rate_per_second, limit.burst))
                  .first;
    }
    found->second.SetLimit(now, limit.rate_per_second, limit.burst);
    return found->second.TryTake(now);
  });
}

void ServiceTable::ExpireQueues(TimePoint now) {
  this->shards.ForEachShard([now](Shard& shard) {
    for (auto& [name, runtime] : shard.services) {
      NotifyWaiters(runtime, runtime.queue.Expire(now));
      // The number of usable slots recovers some time after a target has shed a request, and when
      // an ejection ends.
      NotifyWaiters(runtime, runtime.queue.SetSlots(now, runtime.selector.CountUsableSlots(now)));
    }
  });
}

void ServiceTable::NotifyWaiters(ServiceRuntime& runtime, const AdmissionRelease& release) {
  const auto decide = [&runtime](RequestId id, bool admitted) {
    const auto found = runtime.waiting.find(id);
    if (found != runtime.waiting.end()) {
      found->second->Decide(admitted);
      runtime.waiting.erase(found);
    }
  };
  for (RequestId id : release.admitted) {
    decide(id, true);
  }
  for (RequestId id : release.refused) {
    decide(id, false);
  }
}

std::size_t ServiceTable::MergeEvidence(std::span<const QuarantineEvidence> strikes,
                                        TimePoint now) {
  std::size_t quarantined = 0;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto& [name, runtime] : shard.services) {
      // A target belongs to one service, so only that service stores the strike.
      std::vector<QuarantineEvidence> own;
      std::copy_if(strikes.begin(), strikes.end(), std::back_inserter(own),
                   [&runtime = runtime](const QuarantineEvidence& strike) {
                     return runtime.incarnations.contains(strike.target_address);
                   });
      quarantined += own.empty() ? 0 : runtime.quarantine.MergeEvidence(now, own);
      EjectCrashedTargets(runtime, own, now);
    }
  });
  return quarantined;
}

std::vector<QuarantineEvidence> ServiceTable::TakeEvidence(TimePoint now, std::size_t max_count) {
  std::vector<QuarantineEvidence> strikes;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto& [name, runtime] : shard.services) {
      for (QuarantineEvidence& strike :
           runtime.quarantine.TakeEvidence(now, max_count - strikes.size())) {
        strikes.push_back(std::move(strike));
      }
    }
  });
  return strikes;
}

std::vector<ServiceDump> ServiceTable::DumpServices(TimePoint now) {
  std::vector<ServiceDump> dumps;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto& [name, runtime] : shard.services) {
      ServiceDump& dump = dumps.emplace_back();
      dump.name = name;
      dump.targets = runtime.selector.DumpTargets(now);
      dump.queued = runtime.queue.GetLoad().CountQueued();
    }
  });
  std::sort(dumps.begin(), dumps.end(), [](const ServiceDump& left, const ServiceDump& right) {
    return left.name < right.name;
  });
  return dumps;
}

std::uint64_t ServiceTable::CountQuarantineEntries() {
  std::uint64_t count = 0;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto& [name, runtime] : shard.services) {
      count += runtime.quarantine.GetEntryCount();
    }
  });
  return count;
}

}  // namespace lacewingbridge
