#include "Quota/credit_holder.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lacewingbridge {

CreditHolder::CreditHolder(std::uint32_t share_count, std::uint64_t affinity)
    : shares(share_count), first_share(affinity % share_count) {}

void CreditHolder::RecordDemand(TimePoint now) {
  const double period = std::chrono::duration<double>(kDemandTime).count();
  const double elapsed = std::chrono::duration<double>(now - this->last_take).count();
  this->demand = this->demand * std::exp(-elapsed / period) + 1 / period;
  this->last_take = now;
}

double CreditHolder::GetBatch(TimePoint now) const {
  const double period = std::chrono::duration<double>(kDemandTime).count();
  const double elapsed = std::chrono::duration<double>(now - this->last_take).count();
  return this->demand * std::exp(-elapsed / period) *
         std::chrono::duration<double>(this->horizon).count();
}

bool CreditHolder::NeedsMore(TimePoint now) const {
  // Below, credit taken in advance would often end unspent.
  constexpr double kSmallestBatch = 2;
  constexpr double kLowPart = 0.4;
  const double batch = this->GetBatch(now);
  return batch >= kSmallestBatch && this->CountHeld(now) <= kLowPart * batch;
}

std::uint32_t CreditHolder::CountHeld(TimePoint now) const {
  std::uint32_t sum = 0;
  for (const Share& share : this->shares) {
    sum += now < share.held_until ? share.held : 0;
  }
  return sum;
}

CreditHolder::Share* CreditHolder::FindShareToAsk(TimePoint now) {
  for (std::size_t i = 0; i < this->shares.size(); ++i) {
    Share& share = this->shares[(this->first_share + i) % this->shares.size()];
    if (now >= share.paused_until) {
      return &share;
    }
  }
  return nullptr;
}

bool CreditHolder::TryTakeHeld(TimePoint now) {
  Share* best = nullptr;
  for (Share& share : this->shares) {
    const bool usable = share.held > 0 && now < share.held_until;
    if (usable && (best == nullptr || share.held_until < best->held_until)) {
      best = &share;
    }
  }
  if (best == nullptr) {
    return false;
  }
  --best->held;
  return true;
}

CreditTake CreditHolder::MakeRefusal(TimePoint now) const {
  TimePoint next = TimePoint::max();
  bool used_up = false;
  for (const Share& share : this->shares) {
    next = std::min(next, share.paused_until);
    used_up = used_up || share.used_up;
  }
  const Duration wait = std::max(next - now, Duration{0});
  CreditTake refusal;
  refusal.outcome = used_up ? CreditOutcome::kBeyondQuota : CreditOutcome::kUnknown;
  refusal.wait = wait;
  if (this->last_reply.has_value()) {
    refusal.reply_age = now - *this->last_reply;
  }
  return refusal;
}

CreditTake CreditHolder::Take(TimePoint now, const ShareLimit& limit, std::uint64_t ticket) {
  this->RecordDemand(now);
  this->horizon = ComputeCreditHorizon(limit);
  CreditTake take;
  if (this->waiting.empty() && this->TryTakeHeld(now)) {
    take.outcome = CreditOutcome::kTaken;
    take.starts_asks =
        !this->asking && this->NeedsMore(now) && this->FindShareToAsk(now) != nullptr;
  } else if (this->asking || this->FindShareToAsk(now) != nullptr) {
    this->waiting.push_back(ticket);
    take.outcome = CreditOutcome::kWaiting;
    take.starts_asks = !this->asking;
  } else {
    take = this->MakeRefusal(now);
  }
  this->asking = this->asking || take.starts_asks;
  return take;
}

void CreditHolder::Return(TimePoint taken_at) {
  this->returned_since = this->returned == 0 ? taken_at : std::min(this->returned_since, taken_at);
  ++this->returned;
}

bool CreditHolder::Leave(std::uint64_t ticket) { return std::erase(this->waiting, ticket) > 0; }

std::optional<QuotaAsk> CreditHolder::MakeAsk(TimePoint now, std::vector<CreditEnd>& ends) {
  Share* share = this->FindShareToAsk(now);
  if (share == nullptr || (this->waiting.empty() && !this->NeedsMore(now))) {
    for (const std::uint64_t ticket : this->waiting) {
      ends.push_back({ticket, this->MakeRefusal(now)});
    }
    this->waiting.clear();
    this->asking = false;
    return std::nullopt;
  }
  if (now >= share->held_until) {
    share->held = 0;
  }
  const double in_advance = std::max(0.0, this->GetBatch(now) - this->CountHeld(now));
  QuotaAsk ask;
  ask.share = static_cast<std::uint32_t>(share - this->shares.data());
  // Larger than any serial of an earlier holder of the workspace in this process.
  share->serial =
      std::max(share->serial + 1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
  ask.serial = share->serial;
  ask.received = share->received;
  ask.held = share->held;
  ask.returned = now - this->returned_since < kReturnTime ? this->returned : 0;
  ask.waiting = static_cast<std::uint32_t>(this->waiting.size());
  ask.wanted = ask.waiting + static_cast<std::uint32_t>(in_advance);
  this->returned = 0;
  this->asked = share;
  this->asked_at = now;
  this->asked_for_waiting = ask.waiting;
  return ask;
}

void CreditHolder::ApplyGrant(std::uint32_t granted, std::vector<CreditEnd>& ends) {
  Share& share = *this->asked;
  std::uint32_t left = granted;
  while (left > 0 && !this->waiting.empty()) {
    CreditEnd end;
    end.ticket = this->waiting.front();
    end.take.outcome = CreditOutcome::kTaken;
    ends.push_back(end);
    this->waiting.pop_front();
    --left;
  }
  // Credit for requests that no longer wait must not be kept: the granting daemon counts it as
  // spent.
  const std::uint32_t to_keep = granted - std::min(granted, this->asked_for_waiting);
  share.held += std::min(left, to_keep);
  share.held_until = this->asked_at + kCreditTime;
}

void CreditHolder::HandleReply(TimePoint now, const QuotaReply* reply,
                               std::vector<CreditEnd>& ends) {
  Share& share = *this->asked;
  const bool arrived =
      reply != nullptr && reply->serial == share.serial && now - this->asked_at < kAskLimit;
  if (!arrived) {
    const Duration pause = kFirstLostPause * (1 << std::min(share.lost_replies, 3));
    share.paused_until = now + std::min(pause, kLongestLostPause);
    share.used_up = false;
    ++share.lost_replies;
  } else if (reply->status == QuotaStatus::kGranted) {
    share.received = share.serial;
    share.lost_replies = 0;
    share.used_up = reply->wait_ms > 0;
    share.paused_until = now + std::chrono::milliseconds(reply->wait_ms);
    this->ApplyGrant(reply->granted, ends);
  } else if (reply->status == QuotaStatus::kUsedUp) {
    share.received = share.serial;
    share.lost_replies = 0;
    share.used_up = true;
    share.paused_until = now + std::chrono::milliseconds(reply->wait_ms);
  } else {
    share.lost_replies = 0;
    share.used_up = false;
    share.paused_until = now + kNotGrantingPause;
  }
  if (arrived) {
    this->last_reply = now;
  }
  this->asked = nullptr;
}

bool CreditHolder::IsIdle(TimePoint now) const {
  return !this->asking && this->waiting.empty() && !this->IsActive(now);
}

}  // namespace lacewingbridge
