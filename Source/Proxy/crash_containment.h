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

// One start of the target beside this daemon.
struct TargetStart {
  std::string address;
  // Larger after each start of the target; 0 while it is not known.
  std::uint64_t incarnation = 0;
};

// Requests that crash the targets that run them, in shards by service. The failure it
// answers: a caller sends such a request again and again, through any daemon, and takes
// down one target after the other.
//
// QuarantineTable decides. The strikes travel with the requests and answers between daemons:
// a message about a request carries the strikes of that request, so its next hop is decided
// with them, and a few others, so that every daemon soon knows of every strike.
class CrashContainment {
 public:
  CrashContainment();

  // The request has crashed so many targets that it must not run again.
  bool IsContained(TimePoint now, std::string_view service, std::uint64_t fingerprint);

  // Asks whether the local target may begin the request now. After kRun, NoteEnd follows.
  QuarantineDecision TryStart(TimePoint now, std::string_view service, std::uint64_t fingerprint,
                              const TargetStart& target);
  // answered: the target sent a complete answer.
  void NoteEnd(std::string_view service, std::uint64_t fingerprint, const TargetStart& target,
               bool answered);

  // The connection to the local target was lost while it ran the request.
  void RecordLostConnection(TimePoint now, std::string_view service, std::uint64_t fingerprint,
                            const TargetStart& target);
  // The local target refuses connections, so it has died.
  void RecordRefusedConnection(TimePoint now, std::string_view service, const TargetStart& target);

  // Strikes that another daemon has sent.
  void Merge(TimePoint now, std::string_view service, std::span<const QuarantineStrike> strikes);
  // Strikes for a message about the request.
  std::vector<QuarantineStrike> TakeOutgoing(std::string_view service, std::uint64_t fingerprint);

 private:
  // Services are few; the locks only have to keep the threads of the daemon apart.
  static constexpr std::size_t kShardCount = 4;
  // Strikes of other requests in one message; each takes about 40 bytes.
  static constexpr std::size_t kStrikesPerMessage = 2;
  // Messages into which each daemon puts a strike that is new to it. Each daemon that hears
  // of it sends it on, so one of 900 misses it with a probability of about exp(-16).
  static constexpr std::uint32_t kMessagesPerStrike = 16;
  // Connections of one crash are found lost one after the other. A loss this soon after
  // the target was seen dead belongs to the same crash.
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
