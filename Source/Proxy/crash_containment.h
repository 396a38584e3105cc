#ifndef LACEWINGBRIDGE_SOURCE_PROXY_CRASH_CONTAINMENT_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_CRASH_CONTAINMENT_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/sharded.h"
#include "Core/time_point.h"
#include "Quarantine/quarantine_table.h"
#include "mesh.h"

namespace lacewingbridge {

// One run of the target process beside this daemon.
struct TargetStart {
  std::string address;
  // Increases with each start of the target; 0 while it is unknown.
  std::uint64_t incarnation = 0;
};

// Quarantines requests that crash the targets that run them. State is in shards by service. It
// guards against this failure: a caller sends such a request again and again, through any daemon,
// and crashes one target after the other.
//
// QuarantineTable makes the decisions. Strikes, the records of crashes, and responses that disprove
// them travel with the requests and responses between daemons. A message about a request carries
// the evidence about that request, so that the next hop is decided with it, and a little about
// other requests, so that every daemon soon receives all of it.
//
// All methods may be called from any thread.
class CrashContainment {
 public:
  CrashContainment();

  // Returns whether the request has crashed so many targets that it must not run again.
  bool IsContained(TimePoint now, std::string_view service, std::uint64_t fingerprint);

  // Decides whether the local target may start the request now. After kRun, the caller has to call
  // RecordRunEnd.
  QuarantineDecision TryStart(TimePoint now, std::string_view service, std::uint64_t fingerprint,
                              const TargetStart& target);
  // Ends a run that TryStart admitted. `responded` is true if the target ran the request to its end
  // and sent a complete response.
  void RecordRunEnd(TimePoint now, std::string_view service, std::uint64_t fingerprint,
                    const TargetStart& target, bool responded);
  // Records that the target of another daemon did so.
  void RecordResponse(TimePoint now, std::string_view service, std::uint64_t fingerprint);

  // Records that the connection to the local target was lost while it ran the request.
  void RecordLostConnection(TimePoint now, std::string_view service, std::uint64_t fingerprint,
                            const TargetStart& target);
  // Records that the local target refuses connections, which means that its process has ended.
  void RecordRefusedConnection(TimePoint now, std::string_view service, const TargetStart& target);

  // Adds strikes and responses that another daemon has sent.
  void Merge(TimePoint now, std::string_view service, std::span<const QuarantineEvidence> received);
  // Returns the strikes and responses to send with a message about the request.
  std::vector<QuarantineEvidence> TakeOutgoing(TimePoint now, std::string_view service,
                                               std::uint64_t fingerprint);

 private:
  // There are few services; the shards only reduce lock contention between the daemon's threads.
  static constexpr std::size_t kShardCount = 4;
  // Strikes and responses of other requests in one message. Each takes about 40 bytes.
  static constexpr std::size_t kEvidencePerMessage = 2;
  // Number of messages in which each daemon sends a strike or response that is new to it. Each
  // daemon that receives it sends it on, so that one of 900 daemons misses it with a probability of
  // about exp(-16).
  static constexpr std::uint32_t kMessagesPerEvidence = 16;
  // The connections that are lost in one crash are detected one after the other. A loss this soon
  // after the target refused a connection counts as part of the same crash.
  static constexpr Duration kSameCrash = std::chrono::milliseconds(500);

  struct Shard {
    QuarantineTable table;
    TimePoint refused_at;
  };

  static void LogContained(std::string_view service, std::size_t count);

  Sharded<Shard> shards;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_CRASH_CONTAINMENT_H_
