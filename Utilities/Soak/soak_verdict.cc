#include "soak_verdict.h"

#include <fmt/core.h>

namespace lacewingbridge::soak {

namespace {

// A request whose last byte is as young as this may cross the close of its connection.
constexpr review::Milliseconds kLossSlack{200};

bool PromisesNoRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void SoakVerdict::Judge(std::span<const SentRequest> requests, const RunCounts& runs,
                        review::Record& record) {
  for (const SentRequest& request : requests) {
    const auto found = runs.find(request.id);
    const int count = found == runs.end() ? 0 : found->second;
    const std::string_view rule = this->JudgeRequest(request, count);
    if (!rule.empty()) {
      record.Write(fmt::format("{}: {} at {}, {} runs, status {}", rule, request.id, request.daemon,
                               count, request.status));
    }
  }
}

std::string_view SoakVerdict::JudgeRequest(const SentRequest& request, int runs) {
  ++this->sent;
  if (!request.safe && runs > 1) {
    ++this->twice;
    return "TWICE";
  }
  switch (request.outcome) {
    case Outcome::kAnswered:
      return this->JudgeResponse(request, runs);
    case Outcome::kCut:
      return this->JudgeCut(request, runs);
    case Outcome::kMixed:
      ++this->mixed;
      return "MIXED";
    case Outcome::kLate:
      ++this->late;
      break;
    case Outcome::kAbandoned:
      break;
  }
  return {};
}

std::string_view SoakVerdict::JudgeResponse(const SentRequest& request, int runs) {
  ++(request.status == 200 ? this->succeeded : this->failed);
  if (request.is_signed || runs == 0) {
    return {};
  }
  if (!request.safe && PromisesNoRun(request.status)) {
    ++this->refused;
    return "REFUSED";
  }
  if (request.elapsed < this->route_timeout) {
    ++this->replaced;
    return "LOST (replaced)";
  }
  return {};
}

std::string_view SoakVerdict::JudgeCut(const SentRequest& request, int runs) {
  if (request.elapsed >= this->route_timeout) {
    ++this->late;
    return {};
  }
  if (runs > 0) {
    ++this->lost_after_run;
    return "LOST (run)";
  }
  if (!request.behind_close && request.elapsed > kLossSlack) {
    ++this->lost_unread;
    return "LOST (not run)";
  }
  ++this->crossed;
  return {};
}

bool SoakVerdict::IsBroken() const {
  return this->lost_after_run + this->lost_unread + this->replaced + this->twice + this->refused +
             this->mixed + this->stops.overdue + this->stops.ended >
         0;
}

std::string SoakVerdict::Format(std::uint64_t seed) const {
  return fmt::format(
      "seed {}: {}; {} requests, {} with 200, {} with another status; LOST {} run, {} not run, {} "
      "replaced; TWICE {}; REFUSED {}; MIXED {}; {} not run and allowed, {} late; {} stops "
      "(longest "
      "{} ms, {} beyond the grace time), {} SIGHUP, {} configurations, {} ended by themselves",
      seed, this->IsBroken() ? "BROKEN" : "held", this->sent, this->succeeded, this->failed,
      this->lost_after_run, this->lost_unread, this->replaced, this->twice, this->refused,
      this->mixed, this->crossed, this->late, this->stops.stops, this->stops.longest_stop.count(),
      this->stops.overdue, this->stops.reloads, this->stops.configurations, this->stops.ended);
}

}  // namespace lacewingbridge::soak
