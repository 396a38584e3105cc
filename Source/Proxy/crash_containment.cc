#include "Proxy/crash_containment.h"

#include <utility>

#include "Core/hash.h"
#include "Observe/event_log.h"

namespace lacewingbridge {

CrashContainment::CrashContainment()
    : shards(kShardCount, [] {
        QuarantineLimits limits;
        limits.sends_per_evidence = kMessagesPerEvidence;
        return Shard{QuarantineTable(limits), TimePoint()};
      }) {}

void CrashContainment::LogContained(std::string_view service, std::size_t count) {
  if (count > 0) {
    EventLog::Write(Event::kRequestQuarantined, "service={} count={}", service, count);
  }
}

bool CrashContainment::IsContained(TimePoint now, std::string_view service,
                                   std::uint64_t fingerprint) {
  return this->shards.WithShard(HashBytes(service), [&](Shard& shard) {
    return shard.table.IsQuarantined(now, fingerprint);
  });
}

QuarantineDecision CrashContainment::TryStart(TimePoint now, std::string_view service,
                                              std::uint64_t fingerprint,
                                              const TargetStart& target) {
  std::size_t contained = 0;
  const QuarantineDecision decision = this->shards.WithShard(HashBytes(service), [&](Shard& shard) {
    contained = shard.table.RecordIncarnation(now, target.address, target.incarnation);
    const QuarantineDecision made = shard.table.MayStart(now, fingerprint, target.address);
    if (made == QuarantineDecision::kRun) {
      shard.table.Start(fingerprint, target.address);
    }
    return made;
  });
  LogContained(service, contained);
  return decision;
}

void CrashContainment::RecordRunEnd(TimePoint now, std::string_view service,
                                    std::uint64_t fingerprint, const TargetStart& target,
                                    bool responded) {
  this->shards.WithShard(HashBytes(service), [&](Shard& shard) {
    shard.table.Finish(now, fingerprint, target.address, responded);
  });
}

void CrashContainment::RecordResponse(TimePoint now, std::string_view service,
                                      std::uint64_t fingerprint) {
  this->shards.WithShard(HashBytes(service),
                         [&](Shard& shard) { shard.table.RecordResponse(now, fingerprint, {}); });
}

void CrashContainment::RecordLostConnection(TimePoint now, std::string_view service,
                                            std::uint64_t fingerprint, const TargetStart& target) {
  const std::size_t contained = this->shards.WithShard(HashBytes(service), [&](Shard& shard) {
    const bool known_dead = shard.refused_at != TimePoint() && now - shard.refused_at < kSameCrash;
    // If the start time became known later, it would look like a restart. A loss on a target whose
    // start time is unknown therefore counts only if the target is known to have ended.
    if (known_dead || target.incarnation > 0) {
      shard.table.RecordLostConnection(now, fingerprint, target.address, target.incarnation);
    }
    return known_dead ? shard.table.RecordRefusedConnection(now, target.address) : std::size_t{0};
  });
  LogContained(service, contained);
}

void CrashContainment::RecordRefusedConnection(TimePoint now, std::string_view service,
                                               const TargetStart& target) {
  const std::size_t contained = this->shards.WithShard(HashBytes(service), [&](Shard& shard) {
    shard.refused_at = now;
    return shard.table.RecordRefusedConnection(now, target.address);
  });
  LogContained(service, contained);
}

void CrashContainment::Merge(TimePoint now, std::string_view service,
                             std::span<const QuarantineEvidence> received) {
  if (received.empty()) {
    return;
  }
  const std::size_t contained = this->shards.WithShard(
      HashBytes(service), [&](Shard& shard) { return shard.table.MergeEvidence(now, received); });
  LogContained(service, contained);
}

std::vector<QuarantineEvidence> CrashContainment::TakeOutgoing(TimePoint now,
                                                               std::string_view service,
                                                               std::uint64_t fingerprint) {
  return this->shards.WithShard(HashBytes(service), [&](Shard& shard) {
    std::vector<QuarantineEvidence> evidence = shard.table.ListEvidence(now, fingerprint);
    for (QuarantineEvidence& item : shard.table.TakeEvidence(now, kEvidencePerMessage)) {
      evidence.push_back(std::move(item));
    }
    return evidence;
  });
}

}  // namespace lacewingbridge
