#include "Fuzz/version_oracle.h"

#include <variant>

#include "Version/version_order.h"

namespace lacewingbridge {

void VersionOracle::Report(std::string_view invariant, std::size_t host, std::string_view text) {
  if (this->violation.empty()) {
    this->violation = std::string(invariant) + " host " + std::to_string(host) + ": ";
    this->violation += text;
  }
}

void VersionOracle::RecordAcceptance(const VersionStamp& stamp, const std::string& submission_id,
                                     const std::string& text) {
  this->texts.emplace(Key(stamp.number, stamp.digest), text);
  if (IsNewer(stamp, this->highest)) {
    this->highest = stamp;
  }
  const bool again = !this->accepted_ids.insert(submission_id).second;
  if (!this->state_lost && (again || this->refused_ids.contains(submission_id))) {
    this->Report("I9", 0, submission_id + " accepted twice or after it was refused");
  }
}

void VersionOracle::RecordOutcome(const std::string& submission_id, std::uint64_t attempt,
                                  const SubmitOutcome& outcome) {
  if (attempt != this->attempts[submission_id]) {
    return;
  }
  const bool accepted = this->accepted_ids.contains(submission_id);
  if (std::holds_alternative<SubmitAccepted>(outcome)) {
    if (!accepted) {
      this->Report("I9", 0, submission_id + " reported as accepted");
    }
  } else if (!std::holds_alternative<SubmitOutcomeUnknown>(outcome)) {
    this->refused_ids.insert(submission_id);
    // A store that lost the record of the acceptance can no longer report it.
    if (accepted && !this->state_lost) {
      this->Report("I9", 0, submission_id + " reported as refused but accepted");
    }
  }
}

void VersionOracle::CheckHeld(std::size_t host, const RulesVersion& version) {
  const auto known = this->held.find(host);
  if (known != this->held.end() && known->second == version.stamp) {
    return;
  }
  if (known != this->held.end() && !IsNewer(version.stamp, known->second)) {
    this->Report("I1", host, "went back to version " + std::to_string(version.stamp.number));
  }
  const auto text = this->texts.find(Key(version.stamp.number, version.stamp.digest));
  if (text == this->texts.end() || text->second != version.text) {
    this->Report("I3", host, "holds a text that was never accepted");
  }
  this->held[host] = version.stamp;
  VersionStamp& before = this->highest_held[host];
  if (IsNewer(before, version.stamp)) {
    ++this->older_after_restart;
  } else {
    before = version.stamp;
  }
}

}  // namespace lacewingbridge
