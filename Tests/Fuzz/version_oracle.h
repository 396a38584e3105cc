#ifndef LACEWINGBRIDGE_TESTS_FUZZ_VERSION_ORACLE_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_VERSION_ORACLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "Rules/rules_document.h"
#include "Version/submit_messages.h"
#include "rules.h"

namespace lacewingbridge {

// Records which versions were accepted, what was reported to operators and what each process
// holds, and checks the invariants on versions:
//   I1: a process replaces its version only by a newer one.
//   I2: every route of a snapshot finds its service in the same snapshot.
//   I3: a process holds only the text that was accepted under that stamp, and routes by the
//       version that it holds.
//   I9: a submission is accepted at most once and reported as it ended; VersionWorld reports
//       daemons or a store that do not converge under I9 as well.
// The oracle does not depend on how versions are distributed.
class VersionOracle {
 public:
  // Called when a swap of the head by this submission took effect.
  void RecordAcceptance(const VersionStamp& stamp, const std::string& submission_id,
                        const std::string& text);
  // Called when an operator submits this id for the first time or resumes it. Returns the number
  // of the attempt.
  std::uint64_t StartAttempt(const std::string& submission_id) {
    this->refused_ids.erase(submission_id);
    return ++this->attempts[submission_id];
  }
  // Called when an attempt ends. The outcome of an attempt that a later one has replaced does
  // not reach the operator and is ignored.
  void RecordOutcome(const std::string& submission_id, std::uint64_t attempt,
                     const SubmitOutcome& outcome);
  // Called when the store loses recent state. From then on, a lost acceptance is no violation.
  void RecordStateLoss() { this->state_lost = true; }

  // Called when a new process starts on the host. It holds no version yet.
  void RecordStart(std::size_t host) { this->held.erase(host); }
  // Checks the version that the process of the host holds now.
  void CheckHeld(std::size_t host, const RulesVersion& version);
  // Checks the snapshot that the host routes requests by.
  template <typename Snapshot>
  void CheckSnapshot(std::size_t host, const Snapshot& snapshot) {
    for (const RouteRule& route : snapshot.GetDocument().routes) {
      const auto* service = snapshot.FindService(route.service);
      if (service == nullptr || service->rule.name != route.service) {
        this->Report("I2", host, "route " + route.name + " lacks service " + route.service);
      }
    }
    const auto known = this->held.find(host);
    if (known == this->held.end() || snapshot.GetVersion() != known->second) {
      this->Report("I3", host, "routes by another version than the one held");
    }
  }
  // Records a violation; only the first one is kept.
  void Report(std::string_view invariant, std::size_t host, std::string_view text);

  // Highest version ever accepted.
  const VersionStamp& GetHighest() const { return this->highest; }
  bool IsStateLost() const { return this->state_lost; }
  const std::string& GetViolation() const { return this->violation; }
  std::size_t GetAcceptedCount() const { return this->texts.size(); }
  // Number of versions taken by a process that were older than one that its host had held
  // before a restart. This is allowed.
  std::size_t GetOlderAfterRestart() const { return this->older_after_restart; }

 private:
  using Key = std::pair<std::uint64_t, std::string>;

  bool state_lost = false;
  VersionStamp highest;
  // Accepted texts by number and digest.
  std::map<Key, std::string> texts;
  std::map<std::string, std::uint64_t> attempts;
  std::set<std::string> accepted_ids;
  // Submissions that were reported to their operators as not accepted.
  std::set<std::string> refused_ids;
  // By host: the version that its process holds, and the highest one that any of its processes
  // has held.
  std::map<std::size_t, VersionStamp> held;
  std::map<std::size_t, VersionStamp> highest_held;
  std::size_t older_after_restart = 0;
  std::string violation;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_VERSION_ORACLE_H_
