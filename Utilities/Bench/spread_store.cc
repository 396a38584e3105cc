#include "spread_store.h"

#include <fmt/core.h>

#include <algorithm>

#include "Rules/rules_delta.h"
#include "rules_codec.h"
#include "synthetic_rules.h"

namespace lacewingbridge {

namespace {

// Time that the store needs for a call.
constexpr Duration kServiceTime = std::chrono::milliseconds(2);
constexpr Duration kWatchTime = std::chrono::seconds(30);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
// An election call and its answer without the heads.
constexpr std::size_t kCallBytes = 60;
constexpr std::size_t kBaseRoutes = 300;

}  // namespace

SpreadStore::SpreadStore(SpreadNetwork& shared_network) : network(shared_network) {
  this->AcceptChange();
}

void SpreadStore::AcceptChange() {
  const std::size_t number = this->heads.size() + 1;
  std::string text = MakeSyntheticRules(kBaseRoutes);
  text += fmt::format("# change {}\n", number);
  RulesHead head;
  head.stamp.number = number;
  RulesDeltaScript delta =
      RulesDelta::Compute(this->texts.empty() ? std::string() : this->texts.back(), text);
  head.stamp.digest = delta.result.digest;
  if (!this->heads.empty()) {
    head.parent = this->heads.back().stamp;
    delta.parent = head.parent;
    delta.result = head.stamp;
    head.delta = delta;
  }
  head.submission_id = fmt::format("submission-{}", number);
  head.operator_name = "Maria Pruitt";
  this->heads.push_back(head);
  this->texts.push_back(std::move(text));
  while (!this->down && !this->watches.empty()) {
    this->FinishWatch(this->watches.begin()->first);
  }
}

void SpreadStore::SetDown(bool value) {
  this->down = value;
  while (value && !this->watches.empty()) {
    this->FinishWatch(this->watches.begin()->first);
  }
}

void SpreadStore::CountCall() {
  ++this->call_count;
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(this->network.GetNow().time_since_epoch());
  ++this->calls_by_second[second.count()];
}

std::uint64_t SpreadStore::GetPeak(TimePoint from, TimePoint until) const {
  std::uint64_t peak = 0;
  for (const auto& [second, count] : this->calls_by_second) {
    const TimePoint time{std::chrono::seconds(second)};
    if (time >= from && time < until) {
      peak = std::max(peak, count);
    }
  }
  return peak;
}

void SpreadStore::Call(std::size_t from, const std::string& scope, const WatchCall& call,
                       const std::function<void(WatchEvent)>& answer) {
  const bool sent =
      !this->down &&
      this->network.Send(from, 0, TrafficKind::kStore, kRequestHeadBytes + kCallBytes, [=, this] {
        this->CountCall();
        const WatchEvent event = this->Apply(this->holders[scope], call);
        this->network.Schedule(this->network.GetNow() + kServiceTime, [=, this] {
          this->network.Send(0, from, TrafficKind::kStore, kAnswerHeadBytes + kCallBytes,
                             [=] { answer(event); });
        });
      });
  if (!sent) {
    this->network.Schedule(this->network.GetNow() + kCallTimeout,
                           [=] { answer(WatchCallFailed{}); });
  }
}

WatchEvent SpreadStore::Apply(Holder& key, const WatchCall& call) {
  const TimePoint now = this->network.GetNow();
  if (key.holder.has_value() && this->leases[key.holder->lease_id] < now) {
    key.holder.reset();
    key.revision = this->next_id++;
  }
  if (std::holds_alternative<WatchReadKey>(call)) {
    return WatchKeyRead{key.holder, key.revision};
  }
  if (const auto* grant = std::get_if<WatchGrantLease>(&call)) {
    const std::uint64_t id = this->next_id++;
    this->leases[id] = now + grant->duration;
    return WatchLeaseReplied{true, id};
  }
  if (const auto* keep = std::get_if<WatchRenewLease>(&call)) {
    const bool alive = this->leases[keep->lease_id] >= now;
    if (alive) {
      this->leases[keep->lease_id] = now + keep->duration;
    }
    return WatchLeaseReplied{alive, keep->lease_id};
  }
  if (const auto* swap = std::get_if<WatchSwapKey>(&call)) {
    const bool matches = swap->expected_revision == key.revision;
    if (matches) {
      key.holder = swap->holder;
      key.revision = this->next_id++;
    }
    return WatchKeySwapped{matches, key.holder};
  }
  return WatchCallFailed{};
}

void SpreadStore::Watch(std::size_t from, std::size_t known_number,
                        const std::function<void(std::optional<std::size_t>)>& answer) {
  const bool sent =
      !this->down &&
      this->network.Send(from, 0, TrafficKind::kStore, kRequestHeadBytes + kCallBytes, [=, this] {
        this->CountCall();
        const std::uint64_t id = this->next_id++;
        this->watches.emplace(id, PendingWatch{from, answer});
        if (known_number != this->heads.size()) {
          this->FinishWatch(id);
        } else {
          this->network.Schedule(this->network.GetNow() + kWatchTime,
                                 [this, id] { this->FinishWatch(id); });
        }
      });
  if (!sent) {
    this->network.Schedule(this->network.GetNow() + kCallTimeout, [=] { answer(std::nullopt); });
  }
}

void SpreadStore::FinishWatch(std::uint64_t id) {
  const auto found = this->watches.find(id);
  if (found == this->watches.end()) {
    return;
  }
  const PendingWatch watch = std::move(found->second);
  this->watches.erase(found);
  const std::size_t number = this->heads.size();
  const std::size_t bytes = kAnswerHeadBytes + Encode(this->heads.back()).size();
  const bool sent = !this->down && this->network.Send(0, watch.from, TrafficKind::kStore, bytes,
                                                      [=] { watch.answer(number); });
  if (!sent) {
    // Over a cut link the watcher notices only when its call's time is over.
    const Duration wait = this->down ? Duration() : kWatchTime;
    this->network.Schedule(this->network.GetNow() + wait, [=] { watch.answer(std::nullopt); });
  }
}

void SpreadStore::Read(std::size_t from, std::size_t bytes,
                       const std::function<void(bool)>& answer) {
  const bool sent =
      !this->down &&
      this->network.Send(from, 0, TrafficKind::kStore, kRequestHeadBytes + kCallBytes, [=, this] {
        this->CountCall();
        this->network.Schedule(this->network.GetNow() + kServiceTime, [=, this] {
          this->network.Send(0, from, TrafficKind::kStore, kAnswerHeadBytes + bytes,
                             [=] { answer(true); });
        });
      });
  if (!sent) {
    this->network.Schedule(this->network.GetNow() + kCallTimeout, [=] { answer(false); });
  }
}

}  // namespace lacewingbridge
