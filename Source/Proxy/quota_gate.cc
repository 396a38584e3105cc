#include "Proxy/quota_gate.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Core/hash.h"
#include "Observe/event_log.h"
#include "Observe/metrics_registry.h"

namespace lacewingbridge {

namespace {

// Buckets of shares that this daemon has granted for longer may count as filled for this long.
constexpr Duration kLongestFill = std::chrono::minutes(1);
// Shorter than the time after which buckets and holders are idle.
constexpr Duration kIdleInterval = std::chrono::seconds(1);

}  // namespace

QuotaGate::QuotaGate(std::string_view own_host, const QuotaBound& quota_bound, std::uint64_t holder,
                     MetricsRegistry& metrics_registry)
    : host(own_host),
      bound(quota_bound),
      holder_id(holder),
      metrics(metrics_registry),
      history(std::make_shared<const GranterHistory>()),
      holdings(kShardCount, [] { return HoldingShard(); }),
      grants(kShardCount, [] { return CreditGrants(); }) {}

std::shared_ptr<const GranterHistory> QuotaGate::GetHistory() const {
  const std::lock_guard guard(this->mutex);
  return this->history;
}

void QuotaGate::HandleHosts(TimePoint now, std::span<const HostRecord> hosts) {
  const auto next = std::make_shared<const GranterList>(now, this->host, hosts);
  {
    const std::lock_guard guard(this->mutex);
    if (this->history->GetNewest().HasSameHosts(*next)) {
      return;
    }
    this->history = std::make_shared<const GranterHistory>(*this->history, next);
  }
  std::size_t moved = 0;
  this->grants.ForEachShard([&](CreditGrants& shard) { moved += shard.DropOthers(*next); });
  if (moved > 0) {
    EventLog::Write(Event::kQuotaSharesMoved, "shares={} hosts={}", moved, hosts.size());
  }
}

void QuotaGate::DropIdle(TimePoint now) {
  {
    const std::lock_guard guard(this->mutex);
    if (now - this->idle_dropped_at < kIdleInterval) {
      return;
    }
    this->idle_dropped_at = now;
  }
  this->grants.ForEachShard([now](CreditGrants& shard) { shard.DropIdle(now); });
  this->holdings.ForEachShard([now](HoldingShard& shard) {
    std::erase_if(shard.holdings,
                  [now](const auto& item) { return item.second.holder.IsIdle(now); });
  });
}

void QuotaGate::RecordRenewal(TimePoint sent, TimePoint now, std::uint64_t lease,
                              Duration lease_time) {
  bool kept = false;
  {
    const std::lock_guard guard(this->mutex);
    kept = this->fence.RecordRenewal(sent, now, lease, lease_time);
  }
  if (!kept) {
    this->grants.ForEachShard([](CreditGrants& shard) { shard.Clear(); });
    EventLog::Write(Event::kQuotaGrantsBegin, "lease={} after_ms={}", lease,
                    CountMilliseconds(GrantFence::kSettleTime));
  }
}

void QuotaGate::RecordEarlierProcess(TimePoint sent) {
  const std::lock_guard guard(this->mutex);
  this->fence.RecordEarlierProcess(sent);
}

void QuotaGate::RecordLeaseEnd() {
  const std::lock_guard guard(this->mutex);
  this->fence.RecordEnd();
}

bool QuotaGate::HasSettled(TimePoint now, std::uint64_t lease) const {
  const std::lock_guard guard(this->mutex);
  return this->fence.HasSettled(now, lease);
}

QuotaGate::Entry QuotaGate::Take(TimePoint now, const MeshWorkspace& workspace,
                                 std::uint64_t version,
                                 const std::function<Listener()>& make_listener) {
  const QuotaLimit limit{static_cast<double>(workspace.rate_per_s),
                         static_cast<double>(workspace.burst), version};
  Entry entry;
  const std::uint64_t ticket = this->next_ticket.fetch_add(1);
  const std::uint64_t hash = HashBytes(workspace.name);
  this->holdings.WithShard(hash, [&](HoldingShard& shard) {
    auto found = shard.holdings.find(workspace.name);
    if (found == shard.holdings.end()) {
      CreditHolder holder(GetShareCount(this->bound), CombineHashes(hash, this->holder_id));
      found = shard.holdings.emplace(workspace.name, Holding{std::move(holder), limit, {}}).first;
    }
    Holding& holding = found->second;
    if (version >= holding.limit.version) {
      holding.limit = limit;
    }
    entry.take = holding.holder.Take(now, ComputeShareLimit(holding.limit, this->bound), ticket);
    if (entry.take.outcome == CreditOutcome::kWaiting) {
      entry.ticket = ticket;
      holding.listeners.emplace(ticket, make_listener());
    }
  });
  return entry;
}

bool QuotaGate::Leave(std::string_view workspace, std::uint64_t ticket) {
  return this->holdings.WithShard(HashBytes(workspace), [&](HoldingShard& shard) {
    const auto found = shard.holdings.find(workspace);
    if (found == shard.holdings.end()) {
      return false;
    }
    found->second.listeners.erase(ticket);
    return found->second.holder.Leave(ticket);
  });
}

void QuotaGate::Return(TimePoint now, TimePoint taken_at, std::string_view workspace) {
  if (now - taken_at >= kReturnTime) {
    return;
  }
  this->holdings.WithShard(HashBytes(workspace), [&](HoldingShard& shard) {
    const auto found = shard.holdings.find(workspace);
    if (found != shard.holdings.end()) {
      found->second.holder.Return(taken_at);
    }
  });
}

std::vector<QuotaGate::Call> QuotaGate::TakeCalls(Holding& holding,
                                                  std::span<const CreditEnd> ends) {
  std::vector<Call> calls;
  for (const CreditEnd& end : ends) {
    const auto found = holding.listeners.find(end.ticket);
    if (found != holding.listeners.end()) {
      calls.push_back({std::move(found->second), end.take});
      holding.listeners.erase(found);
    }
  }
  return calls;
}

std::optional<QuotaGate::OutgoingAsk> QuotaGate::MakeAsk(TimePoint now,
                                                         std::string_view workspace) {
  std::optional<QuotaAsk> ask;
  std::vector<Call> calls;
  this->holdings.WithShard(HashBytes(workspace), [&](HoldingShard& shard) {
    const auto found = shard.holdings.find(workspace);
    if (found == shard.holdings.end()) {
      return;
    }
    Holding& holding = found->second;
    std::vector<CreditEnd> ends;
    ask = holding.holder.MakeAsk(now, ends);
    if (ask.has_value()) {
      ask->workspace = workspace;
      ask->holder = this->holder_id;
      ask->table_version = holding.limit.version;
      ask->rate_per_s = static_cast<std::uint32_t>(holding.limit.rate_per_s);
      ask->burst = static_cast<std::uint32_t>(holding.limit.burst);
    }
    calls = TakeCalls(holding, ends);
  });
  for (const Call& call : calls) {
    call.listener(call.take);
  }
  if (!ask.has_value()) {
    return std::nullopt;
  }
  OutgoingAsk outgoing{{}, std::move(*ask)};
  const std::shared_ptr<const GranterHistory> hosts = this->GetHistory();
  const GranterList& list = hosts->GetNewest();
  if (!list.IsEmpty()) {
    const std::size_t granter = list.Find(workspace, outgoing.ask.share);
    if (list.GetHost(granter) != this->host) {
      outgoing.peer_address = list.GetAddress(granter);
    }
  }
  this->metrics.AddCount("quota_asks_total",
                         outgoing.peer_address.empty() ? "to=\"own\"" : "to=\"peer\"");
  return outgoing;
}

void QuotaGate::HandleReply(TimePoint now, std::string_view workspace, const QuotaReply* reply) {
  std::vector<Call> calls;
  this->holdings.WithShard(HashBytes(workspace), [&](HoldingShard& shard) {
    const auto found = shard.holdings.find(workspace);
    if (found == shard.holdings.end()) {
      return;
    }
    std::vector<CreditEnd> ends;
    found->second.holder.HandleReply(now, reply, ends);
    calls = TakeCalls(found->second, ends);
  });
  for (const Call& call : calls) {
    call.listener(call.take);
  }
  this->metrics.AddCount("quota_replies_total",
                         reply == nullptr
                             ? std::string("status=\"lost\"")
                             : "status=\"" + std::string(GetName(reply->status)) + "\"");
}

QuotaReply QuotaGate::Answer(TimePoint now, const QuotaAsk& ask, const MeshWorkspace* own,
                             std::uint64_t version) {
  QuotaReply reply;
  reply.serial = ask.serial;
  reply.status = QuotaStatus::kNotGranting;
  std::shared_ptr<const GranterHistory> hosts;
  TimePoint granting_from;
  {
    const std::lock_guard guard(this->mutex);
    if (!this->fence.MayGrant(now)) {
      return reply;
    }
    hosts = this->history;
    granting_from = *this->fence.GetStart();
  }
  const bool valid = ask.share < GetShareCount(this->bound) && ask.rate_per_s > 0;
  if (!valid || !hosts->GetNewest().IsOwn(ask.workspace, ask.share)) {
    return reply;
  }
  QuotaLimit own_limit;
  // Where the limit has been removed, that of the holder's version applies until it knows.
  if (own != nullptr && own->rate_per_s > 0) {
    own_limit = {static_cast<double>(own->rate_per_s), static_cast<double>(own->burst), version};
  }
  const std::uint64_t hash = CombineHashes(HashBytes(ask.workspace), ask.share);
  reply = this->grants.WithShard(hash, [&](CreditGrants& shard) {
    if (!shard.Follows(hosts->GetNewest())) {
      return reply;
    }
    TimePoint start = now;
    if (!shard.HasBucket(ask)) {
      const TimePoint enough = std::max(granting_from, now - kLongestFill);
      start = std::max(granting_from, hosts->FindOwnSince(ask.workspace, ask.share, enough));
    }
    return shard.Answer(now, std::min(start, now), ask, own_limit, this->bound);
  });
  this->metrics.AddCount("quota_granted_total", "", reply.granted);
  return reply;
}

}  // namespace lacewingbridge
