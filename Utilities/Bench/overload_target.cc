#include "overload_target.h"

#include <algorithm>

namespace lacewingbridge {

namespace {

constexpr double kColdSlowness = 4;
// One call in ten needs a new connection, which costs about 1 ms.
constexpr Duration kConnectionTime = std::chrono::milliseconds(1);
constexpr double kNewConnectionShare = 0.1;

}  // namespace

OverloadTarget::Reply OverloadTarget::Offer(TimePoint now, std::uint64_t id,
                                            std::mt19937_64& random, Job& started) {
  if (now < this->settings.starts_at ||
      (now >= this->settings.refuses_from && now < this->settings.refuses_until)) {
    return Reply::kConnectionRefused;
  }
  if (this->running < this->settings.slots) {
    started = this->Start(now, id, random);
    return Reply::kStarted;
  }
  if (this->waiting.size() < this->settings.backlog) {
    this->waiting.push_back(id);
    return Reply::kWaiting;
  }
  this->pending_refusal_work += this->settings.refusal_work;
  return Reply::kShed;
}

std::optional<OverloadTarget::Job> OverloadTarget::Finish(TimePoint now, std::mt19937_64& random) {
  --this->running;
  if (this->waiting.empty()) {
    return std::nullopt;
  }
  const std::uint64_t id = this->waiting.front();
  this->waiting.pop_front();
  return this->Start(now, id, random);
}

std::uint32_t OverloadTarget::GetReportPermille() const {
  return this->settings.lies ? 0 : this->running * 1000 / this->settings.slots;
}

OverloadTarget::Job OverloadTarget::Start(TimePoint now, std::uint64_t id,
                                          std::mt19937_64& random) {
  ++this->running;
  std::exponential_distribution<double> variable(1.0);
  std::bernoulli_distribution connects(kNewConnectionShare);
  double factor = this->settings.slowness;
  const Duration age = now - this->settings.starts_at;
  if (age < this->settings.cold_time) {
    const double left = 1.0 - std::chrono::duration<double>(age) /
                                  std::chrono::duration<double>(this->settings.cold_time);
    factor *= 1 + (kColdSlowness - 1) * left;
  }
  const std::chrono::duration<double, std::micro> work =
      (this->settings.fixed_time + this->settings.mean_variable_time * variable(random)) * factor;
  const Duration extra =
      this->pending_refusal_work + (connects(random) ? kConnectionTime : Duration{0});
  this->pending_refusal_work = Duration{0};
  return {id, now + std::chrono::duration_cast<Duration>(work) + extra};
}

}  // namespace lacewingbridge
