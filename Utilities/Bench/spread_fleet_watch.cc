// The part of SpreadFleet that watches the store, as StoreWatcher does in the daemon.
#include <algorithm>
#include <utility>

#include "spread_fleet.h"

namespace lacewingbridge {

namespace {

constexpr Duration kDutyInterval = std::chrono::milliseconds(500);
constexpr Duration kSiblingWait = std::chrono::seconds(1);
constexpr Duration kWatchRetry = std::chrono::seconds(1);

}  // namespace

void SpreadFleet::WakeElection(Node& node, TimePoint when) {
  const std::uint64_t round = ++node.election_round;
  this->network.Schedule(when, [this, &node, round] {
    if (round != node.election_round || node.calling) {
      return;
    }
    node.members = node.cluster->ListScopeMembers(this->region_scope);
    const WatchDecision decision = node.election->Handle(WatchMembersChanged{node.members},
                                                         this->network.GetNow(), this->random);
    if (std::holds_alternative<WatchNoCall>(decision.call)) {
      this->RunElection(node, WatchTimePassed{});
    } else {
      this->PerformDecision(node, decision);
    }
  });
}

void SpreadFleet::RunElection(Node& node, const WatchEvent& event) {
  this->PerformDecision(node, node.election->Handle(event, this->network.GetNow(), this->random));
}

void SpreadFleet::PerformDecision(Node& node, const WatchDecision& decision) {
  const TimePoint now = this->network.GetNow();
  node.acting_until = decision.acting ? decision.acting_until : TimePoint{};
  if (this->IsActing(node) && !node.watching) {
    node.watching = true;
    this->WatchHead(node);
  }
  if (std::holds_alternative<WatchNoCall>(decision.call)) {
    this->WakeElection(
        node, std::min(std::max(decision.wake_at, now + Duration(1)), now + kDutyInterval));
    return;
  }
  node.calling = true;
  this->store.Call(node.data_centre, node.scope, decision.call,
                   [this, &node](const WatchEvent& answer) {
                     node.calling = false;
                     node.store_reachable = !std::holds_alternative<WatchCallFailed>(answer);
                     this->RunElection(node, answer);
                   });
}

void SpreadFleet::WatchHead(Node& node) {
  this->store.Watch(node.data_centre, node.held, [this, &node](std::optional<std::size_t> number) {
    node.store_reachable = number.has_value();
    if (!this->IsActing(node)) {
      node.watching = false;
      return;
    }
    if (!number.has_value()) {
      this->network.Schedule(this->network.GetNow() + kWatchRetry,
                             [this, &node] { this->WatchHead(node); });
      return;
    }
    this->HandleHead(node, *number);
  });
}

void SpreadFleet::HandleHead(Node& node, std::size_t number) {
  if (node.held >= number) {
    this->WatchHead(node);
    return;
  }
  if (node.held + 1 == number && number > 1) {
    this->Hold(node, number);
    this->WatchHead(node);
    return;
  }
  const auto read = [this, &node, number] {
    if (node.held >= number) {
      this->WatchHead(node);
      return;
    }
    this->store.Read(node.data_centre, this->store.GetText(number).size(),
                     [this, &node, number](bool answered) {
                       if (answered) {
                         this->Hold(node, number);
                       }
                       this->WatchHead(node);
                     });
  };
  if (node.cluster->HasFirstSibling()) {
    this->network.Schedule(this->network.GetNow() + kSiblingWait, read);
  } else {
    read();
  }
}

}  // namespace lacewingbridge
