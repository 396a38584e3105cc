#include "Membership/join_process.h"

#include <algorithm>
#include <utility>

namespace lacewingbridge {

namespace {

Duration DrawDuration(Duration limit, std::mt19937_64& random) {
  return Duration(std::uniform_int_distribution<Duration::rep>(0, limit.count())(random));
}

}  // namespace

JoinProcess::JoinProcess(std::vector<std::string> seed_addresses, std::string_view own,
                         TimePoint now, std::mt19937_64& random)
    : seeds(std::move(seed_addresses)), own_address(own), next_ask(now) {
  std::erase(this->seeds, this->own_address);
  std::shuffle(this->seeds.begin(), this->seeds.end(), random);
  // Without seeds there is no peer to ask before the store.
  const Duration wait = this->seeds.empty() ? Duration{0} : kStoreDelay;
  this->next_store = now + wait + DrawDuration(kStoreJitter, random);
}

std::vector<JoinAction> JoinProcess::Tick(const std::vector<std::string>& peers, TimePoint now,
                                          std::mt19937_64& random) {
  this->ready = this->ready || this->store_responded || this->HasMajority(peers);
  std::vector<JoinAction> actions;
  if (this->ready && this->peer_responded) {
    return actions;
  }
  if (now >= this->next_ask) {
    this->next_ask = now + kRetryInterval;
    if (!this->peer_responded) {
      this->AskSeeds(actions);
    }
    std::vector<std::string> without_stamp;
    std::copy_if(
        peers.begin(), peers.end(), std::back_inserter(without_stamp),
        [this](const std::string& host) { return !this->hosts_with_stamp.contains(host); });
    if (!this->ready && !without_stamp.empty()) {
      actions.push_back(JoinProbeMembers{std::move(without_stamp)});
    }
  }
  this->CheckAlone(peers, now);
  if (now >= this->next_store && !this->store_responded) {
    this->next_store =
        now + this->store_retry_interval / 2 + DrawDuration(this->store_retry_interval / 2, random);
    this->store_retry_interval = std::min(this->store_retry_interval * 2, kMaxStoreRetryInterval);
    if (!this->peer_responded) {
      actions.push_back(JoinReadStoreSeeds{});
    }
    if (!this->ready) {
      actions.push_back(JoinReadStoreHead{});
    }
  }
  return actions;
}

void JoinProcess::HandleStoreSeeds(std::vector<std::string> addresses) {
  for (std::string& address : addresses) {
    const bool known =
        address == this->own_address ||
        std::find(this->seeds.begin(), this->seeds.end(), address) != this->seeds.end();
    if (!known) {
      this->seeds.push_back(std::move(address));
    }
  }
}

void JoinProcess::CheckAlone(const std::vector<std::string>& peers, TimePoint now) {
  if (!this->peer_responded || !peers.empty()) {
    this->alone_since.reset();
    return;
  }
  if (!this->alone_since.has_value()) {
    this->alone_since = now;
    this->next_store = std::min(this->next_store, now + kStoreDelayAlone);
  }
}

bool JoinProcess::HasMajority(const std::vector<std::string>& peers) const {
  if (!this->peer_responded || peers.empty()) {
    return false;
  }
  const auto count = std::count_if(peers.begin(), peers.end(), [this](const std::string& host) {
    return this->hosts_with_stamp.contains(host);
  });
  return static_cast<std::size_t>(count) * 2 > peers.size();
}

void JoinProcess::AskSeeds(std::vector<JoinAction>& actions) {
  for (std::size_t i = 0; i < std::min(kPeersPerAttempt, this->seeds.size()); ++i) {
    actions.push_back(JoinAskPeer{this->seeds[this->next_seed++ % this->seeds.size()]});
  }
}

}  // namespace lacewingbridge
