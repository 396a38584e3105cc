#include "Fuzz/request_oracle.h"

namespace lacewingbridge {

void RequestOracle::Report(std::string_view text, std::uint64_t send) {
  if (this->violation.empty()) {
    this->violation =
        std::string(text) + ", send " + std::to_string(send) + " of " + this->GetSend(send).key;
  }
}

std::uint64_t RequestOracle::AddSend(const Send& send) {
  this->sends.push_back(send);
  return this->sends.size();
}

void RequestOracle::RecordRun(std::uint64_t send, TimePoint now, Duration drained_for) {
  const Send& request = this->GetSend(send);
  if (this->reported_not_run.contains(send)) {
    this->Report("I5 runs after it was reported as not run", send);
  }
  if (drained_for > this->drain_time) {
    this->Report("I7 new request on a draining target", send);
  }
  if (!request.idempotent) {
    const auto last = this->last_run.find(request.key);
    if (last != this->last_run.end() && now - last->second < this->retention) {
      this->Report("I6 runs a second time", send);
    }
    this->last_run[request.key] = now;
  }
  this->ran.insert(send);
}

void RequestOracle::RecordNotRun(std::uint64_t send) {
  this->reported_not_run.insert(send);
  if (this->ran.contains(send)) {
    this->Report("I5 reported as not run after it ran", send);
  }
}

void RequestOracle::RecordResponse(std::uint64_t send, std::string_view response) {
  ++this->responses;
  if (response != MakeResponse(this->GetSend(send))) {
    this->Report("I4 response is incomplete or of another request", send);
  }
}

}  // namespace lacewingbridge
