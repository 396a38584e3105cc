#include "Quota/credit_bucket.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lacewingbridge {

namespace {

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

CreditBucket::CreditBucket(TimePoint start, const ShareLimit& share_limit)
    : limit(share_limit), updated_at(start), pruned_at(start) {}

double CreditBucket::CountOutstanding(TimePoint now) const {
  double sum = 0;
  for (const auto& [id, holder] : this->holders) {
    sum += now < holder.held_until ? holder.held : 0;
    sum += now < holder.waiting_until ? holder.waiting : 0;
  }
  return sum;
}

void CreditBucket::Add(TimePoint now, double credit) {
  const double room = std::max(0.0, this->limit.capacity - this->CountOutstanding(now));
  this->available = std::min(this->available + credit, room);
}

double CreditBucket::GetAvailable(TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - this->updated_at).count();
  const double room = std::max(0.0, this->limit.capacity - this->CountOutstanding(now));
  return std::min(this->available + this->limit.rate_per_s * std::max(seconds, 0.0), room);
}

void CreditBucket::Refill(TimePoint now) {
  this->available = this->GetAvailable(now);
  this->updated_at = std::max(this->updated_at, now);
}

void CreditBucket::SetLimit(TimePoint now, const ShareLimit& share_limit) {
  this->Refill(now);
  this->limit = share_limit;
  this->Add(now, 0);
}

double CreditBucket::TakeReturned(TimePoint now, double returned) {
  const double elapsed = std::chrono::duration<double>(now - this->return_room_at).count();
  const double period = std::chrono::duration<double>(kReturnTime).count();
  this->return_room =
      std::min(this->limit.returns, this->return_room + this->limit.returns * elapsed / period);
  this->return_room_at = now;
  const double taken = std::min(returned, this->return_room);
  this->return_room -= taken;
  return taken;
}

Duration CreditBucket::EstimateWait(TimePoint now) const {
  constexpr double kLongestPart = 0.5;
  constexpr double kShortestTurnSeconds = 0.05;
  const double rate = this->limit.rate_per_s;
  if (rate <= 0) {
    return kCreditTime;
  }
  const auto hungry = static_cast<double>(
      std::count_if(this->holders.begin(), this->holders.end(),
                    [now](const auto& item) { return now < item.second.hungry_until; }));
  // The bucket must not run over until the holder asks again.
  const double longest = std::max(kShortestTurnSeconds, kLongestPart * this->limit.capacity / rate);
  const double turn = std::min((hungry - 1) / rate, longest);
  return ToDuration(std::max((1 - this->available) / rate, turn));
}

void CreditBucket::DropOldHolders(TimePoint now) {
  if (now - this->pruned_at < kHolderMemory) {
    return;
  }
  this->pruned_at = now;
  std::erase_if(this->holders,
                [now](const auto& item) { return now - item.second.seen_at >= kHolderMemory; });
}

QuotaReply CreditBucket::Answer(TimePoint now, const QuotaAsk& ask) {
  this->DropOldHolders(now);
  this->Refill(now);
  QuotaReply reply;
  reply.serial = ask.serial;
  reply.status = QuotaStatus::kUsedUp;
  Holder& holder = this->holders[ask.holder];
  if (ask.serial <= holder.serial) {
    return reply;
  }
  // The holder has given up the last reply if it has not received it, and does not use its credit.
  const double lost = ask.received < holder.serial ? holder.granted : 0;
  holder.serial = ask.serial;
  holder.seen_at = now;
  holder.held = ask.held;
  holder.held_until = now + kCreditTime;
  holder.waiting = 0;
  this->Add(now, lost + this->TakeReturned(now, ask.returned));
  const double granted = std::min(static_cast<double>(ask.wanted), std::floor(this->available));
  this->available -= granted;
  holder.granted = granted;
  holder.waiting = std::min(granted, static_cast<double>(ask.waiting));
  holder.waiting_until = now + kAskLimit;
  holder.held += granted - holder.waiting;
  reply.granted = static_cast<std::uint32_t>(granted);
  if (reply.granted > 0) {
    reply.status = QuotaStatus::kGranted;
  }
  if (reply.granted > 0 && reply.granted == ask.wanted) {
    return reply;
  }
  // A holder that got less than it wants would ask again at once. With many of them the asks would
  // take more of the daemon's processor than the requests.
  holder.hungry_until = now + kHungerMemory;
  reply.wait_ms = static_cast<std::uint32_t>(
      std::max<std::int64_t>(CountMilliseconds(this->EstimateWait(now)), 1));
  return reply;
}

bool CreditBucket::IsIdle(TimePoint now) const {
  const bool forgotten =
      std::all_of(this->holders.begin(), this->holders.end(),
                  [now](const auto& item) { return now - item.second.seen_at >= kHolderMemory; });
  return forgotten && this->GetAvailable(now) >= this->limit.capacity;
}

}  // namespace lacewingbridge
