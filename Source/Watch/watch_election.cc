#include "Watch/watch_election.h"

#include <algorithm>
#include <utility>

#include "Core/hash.h"

namespace lacewingbridge {

namespace {

constexpr TimePoint kNever = TimePoint::max();

// The holder stops acting when 1/kLeaseMarginDivisor of the lease is left, because its clock and
// the clock of the store may run at slightly different rates.
constexpr int kLeaseMarginDivisor = 20;
constexpr int kRenewalsPerLease = 3;

}  // namespace

WatchElection::WatchElection(WatchElectionSettings initial_settings, TimePoint now,
                             std::mt19937_64& random)
    : settings(std::move(initial_settings)),
      backoff(this->settings.rank_step, this->settings.longest_backoff) {
  this->StartWaiting(now, random);
}

WatchDecision WatchElection::Handle(const WatchEvent& event, TimePoint now,
                                    std::mt19937_64& random) {
  // The lease may have expired during a pause of the process or because renewals were lost. This
  // daemon then competes for the lease again.
  if (this->state == State::kHolding && !this->IsActing(now)) {
    this->StartWaiting(now, random);
  }
  WatchDecision decision;
  decision.call =
      std::visit([&](const auto& input) { return this->Apply(input, now, random); }, event);
  if (!std::holds_alternative<WatchNoCall>(decision.call)) {
    this->call_sent_at = now;
  }
  decision.wake_at = this->GetWakeTime();
  decision.acting = this->IsActing(now);
  decision.acting_until = decision.acting ? this->GetActingLimit() : now;
  return decision;
}

bool WatchElection::IsActing(TimePoint now) const {
  return this->owns_key && now < this->GetActingLimit();
}

WatchCall WatchElection::Apply(const WatchTimePassed&, TimePoint now, std::mt19937_64&) {
  if (now < this->GetWakeTime()) {
    return WatchNoCall{};
  }
  if (this->state == State::kHolding) {
    return now >= this->renew_at ? this->RenewLease() : WatchCall{};
  }
  if (this->state != State::kWaiting && this->state != State::kStandby) {
    return WatchNoCall{};
  }
  this->state = State::kReading;
  return WatchReadKey{};
}

WatchCall WatchElection::Apply(const WatchMembersChanged& event, TimePoint now,
                               std::mt19937_64& random) {
  const std::map<std::string, std::uint64_t> before = std::exchange(this->incarnations, {});
  this->UpdateRanks(event.live);
  if (this->state != State::kStandby) {
    return WatchNoCall{};
  }
  if (!this->IsHolderLive()) {
    this->StartWaiting(now, random);
    return WatchNoCall{};
  }
  const auto known = before.find(this->holder->host);
  if (known != before.end() && known->second != this->incarnations[this->holder->host]) {
    // The holder has a new incarnation and may have restarted without its lease. The old lease has
    // expired by the time of the read.
    this->ScheduleKeyRead(now + this->settings.lease, random);
  }
  return WatchNoCall{};
}

WatchCall WatchElection::Apply(const WatchHolderSuspected&, TimePoint now,
                               std::mt19937_64& random) {
  if (this->state == State::kStandby && this->key_read_at == kNever) {
    this->ScheduleKeyRead(std::max(now, this->standby_since + this->settings.holder_check_interval),
                          random);
  }
  return WatchNoCall{};
}

WatchCall WatchElection::Apply(const WatchKeyRead& event, TimePoint now, std::mt19937_64& random) {
  if (this->state != State::kReading) {
    return WatchNoCall{};
  }
  this->backoff.Reset();
  this->holder = event.holder;
  if (!event.holder) {
    this->key_revision = event.revision;
    this->state = State::kGranting;
    return WatchGrantLease{this->settings.lease};
  }
  if (this->lease_id != 0 && *event.holder == WatchHolder{this->settings.host, this->lease_id}) {
    // The response to the swap was lost, or this daemon was paused for less than the lease.
    this->owns_key = true;
    return this->RenewLease();
  }
  this->YieldToHolder(now, random);
  return WatchNoCall{};
}

WatchCall WatchElection::Apply(const WatchLeaseReplied& event, TimePoint now,
                               std::mt19937_64& random) {
  if (this->state == State::kGranting) {
    if (!event.granted) {
      this->RetryAfter(this->backoff.GetNext(random), now);
      return WatchNoCall{};
    }
    this->lease_id = event.lease_id;
    this->lease_sent_at = this->call_sent_at;
    this->state = State::kSwapping;
    return WatchSwapKey{{this->settings.host, this->lease_id}, this->key_revision};
  }
  if (this->state == State::kRenewing) {
    if (event.granted) {
      this->lease_sent_at = this->call_sent_at;
      this->StartHolding();
    } else {
      this->StartWaiting(now, random);
    }
  }
  return WatchNoCall{};
}

WatchCall WatchElection::Apply(const WatchKeySwapped& event, TimePoint now,
                               std::mt19937_64& random) {
  if (this->state != State::kSwapping) {
    return WatchNoCall{};
  }
  this->holder = event.holder;
  if (event.succeeded) {
    this->owns_key = true;
    this->StartHolding();
  } else {
    this->YieldToHolder(now, random);
  }
  return WatchNoCall{};
}

WatchCall WatchElection::Apply(const WatchCallFailed&, TimePoint now, std::mt19937_64& random) {
  if (this->state == State::kRenewing && this->IsActing(now)) {
    // Retrying within a ninth of the lease allows several renewals before the holder must stop.
    this->state = State::kHolding;
    this->renew_at = now + GetRandomDuration(this->settings.lease / 9, random);
  } else if (this->state == State::kRenewing || this->state == State::kReading ||
             this->state == State::kGranting || this->state == State::kSwapping) {
    this->owns_key = false;
    this->RetryAfter(this->backoff.GetNext(random), now);
  }
  return WatchNoCall{};
}

WatchCall WatchElection::RenewLease() {
  this->state = State::kRenewing;
  return WatchRenewLease{this->lease_id, this->settings.lease};
}

void WatchElection::StartHolding() {
  this->state = State::kHolding;
  this->was_holder = true;
  this->renew_at = this->lease_sent_at + this->settings.lease / kRenewalsPerLease;
}

void WatchElection::StartWaiting(TimePoint now, std::mt19937_64& random) {
  this->state = State::kWaiting;
  this->owns_key = false;
  this->wait_started_at = now;
  this->jitter = GetRandomDuration(this->settings.rank_step, random);
  this->retry_at = now;
}

void WatchElection::StartStandby(TimePoint now) {
  this->state = State::kStandby;
  this->standby_since = now;
  this->key_read_at = kNever;
}

void WatchElection::ScheduleKeyRead(TimePoint time, std::mt19937_64& random) {
  const TimePoint jittered = time + GetRandomDuration(this->settings.rank_step, random);
  this->key_read_at = std::min(this->key_read_at, jittered);
}

void WatchElection::YieldToHolder(TimePoint now, std::mt19937_64& random) {
  if (this->IsHolderLive()) {
    this->was_holder = false;
    this->StartStandby(now);
  } else {
    const Duration period = this->settings.lease / kRenewalsPerLease;
    this->RetryAfter(period + GetRandomDuration(this->settings.rank_step, random), now);
  }
}

void WatchElection::RetryAfter(Duration wait, TimePoint now) {
  this->state = State::kWaiting;
  this->retry_at = now + wait;
}

void WatchElection::UpdateRanks(std::span<const WatchMember> live) {
  std::vector<std::string> hosts;
  for (const WatchMember& member : live) {
    hosts.push_back(member.host);
    this->incarnations[member.host] = member.incarnation;
  }
  if (std::find(hosts.begin(), hosts.end(), this->settings.host) == hosts.end()) {
    hosts.push_back(this->settings.host);
  }
  this->ranking.clear();
  for (std::size_t index : RankByHash(this->settings.scope, hosts)) {
    if (hosts[index] == this->settings.host) {
      this->rank = this->ranking.size();
    }
    this->ranking.push_back(hosts[index]);
  }
}

bool WatchElection::IsHolderLive() const {
  // A key that names this host with another lease was written by an earlier process of the host.
  return this->holder && this->holder->host != this->settings.host &&
         std::find(this->ranking.begin(), this->ranking.end(), this->holder->host) !=
             this->ranking.end();
}

bool WatchElection::IsFirstStandby() const {
  const bool holder_is_first = this->holder && this->ranking.front() == this->holder->host;
  return this->rank == (holder_is_first ? 1 : 0);
}

bool WatchElection::IsCandidate() const {
  return !this->ranking.empty() && (this->was_holder || this->rank < this->settings.max_candidates);
}

TimePoint WatchElection::GetActingLimit() const {
  return this->lease_sent_at + this->settings.lease - this->settings.lease / kLeaseMarginDivisor;
}

TimePoint WatchElection::GetRankTime() const {
  const std::size_t steps = std::min(this->rank, this->settings.max_candidates);
  return this->wait_started_at + this->jitter +
         this->settings.rank_step * static_cast<Duration::rep>(steps);
}

TimePoint WatchElection::GetWakeTime() const {
  switch (this->state) {
    case State::kWaiting:
      return this->IsCandidate() ? std::max(this->retry_at, this->GetRankTime()) : kNever;
    case State::kStandby:
      return this->IsFirstStandby() ? this->key_read_at : kNever;
    case State::kHolding:
      return std::min(this->renew_at, this->GetActingLimit());
    default:
      return this->owns_key ? this->GetActingLimit() : kNever;
  }
}

}  // namespace lacewingbridge
