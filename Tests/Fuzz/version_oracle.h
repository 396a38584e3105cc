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

// What was accepted, told to operators and held, and whether that agrees with the
// invariants on versions. Knows nothing of how versions travel.
class VersionOracle {
 public:
  // A swap of the head by this submission took effect.
  void NoteAccepted(const VersionStamp& stamp, const std::string& submission_id,
                    const std::string& text);
  // An operator submits this id, for the first time or again. Returns the attempt.
  std::uint64_t StartAttempt(const std::string& submission_id) {
    this->refused_ids.erase(submission_id);
    return ++this->attempts[submission_id];
  }
  // The outcome reaches the operator unless a later attempt has replaced this one.
  void NoteOutcome(const std::string& submission_id, std::uint64_t attempt,
                   const SubmitOutcome& outcome);
  void NoteStateLost() { this->state_lost = true; }

  // A new process of the host starts with nothing.
  void NoteStarted(std::size_t host) { this->held.erase(host); }
  // The version that the process of the host holds now.
  void CheckHeld(std::size_t host, const RulesVersion& version);
  // The snapshot that requests of the host are routed by.
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
  void Report(std::string_view invariant, std::size_t host, std::string_view text);

  // Highest version ever accepted.
  const VersionStamp& GetHighest() const { return this->highest; }
  bool IsStateLost() const { return this->state_lost; }
  const std::string& GetViolation() const { return this->violation; }
  std::size_t GetAcceptedCount() const { return this->texts.size(); }
  // Restarted processes that served a version older than their host had held before.
  std::size_t GetOlderAfterRestart() const { return this->older_after_restart; }

 private:
  using Key = std::pair<std::uint64_t, std::string>;

  bool state_lost = false;
  VersionStamp highest;
  std::map<Key, std::string> texts;
  std::map<std::string, std::uint64_t> attempts;
  std::set<std::string> accepted_ids;
  // Submissions whose operators were told that they were not accepted.
  std::set<std::string> refused_ids;
  // By host: what its process holds, and the highest that any of its processes held.
  std::map<std::size_t, VersionStamp> held;
  std::map<std::size_t, VersionStamp> highest_held;
  std::size_t older_after_restart = 0;
  std::string violation;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_VERSION_ORACLE_H_
