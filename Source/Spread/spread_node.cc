#include "Spread/spread_node.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Spread/spread_stamp.h"

namespace lacewingbridge {

namespace {

constexpr SpreadStampLess kIsOlder;

}  // namespace

GossipDatagram SpreadNode::MakePush(const MemberTable& table, const VersionStamp& stamp) {
  GossipDatagram datagram;
  datagram.kind = GossipKind::kPush;
  datagram.sender_host = table.GetSelf().host;
  datagram.sender_incarnation = table.GetSelf().incarnation;
  datagram.held = stamp;
  return datagram;
}

std::vector<SpreadAction> SpreadNode::PushHeld(const MemberTable& table, const VersionStamp& stamp,
                                               std::optional<RulesDeltaScript> new_delta,
                                               TimePoint now, std::mt19937_64& random) {
  Actions actions;
  if (!kIsOlder(this->held, stamp)) {
    return actions;
  }
  this->held = stamp;
  this->delta = std::move(new_delta);
  std::erase_if(this->sources,
                [&](const SpreadSource& source) { return !kIsOlder(this->held, source.stamp); });
  std::vector<const MemberRecord*> peers = table.ListMembers(table.GetSelf().data_centre);
  std::erase(peers, &table.GetSelf());
  std::vector<const MemberRecord*> picked;
  std::sample(peers.begin(), peers.end(), std::back_inserter(picked), this->options.fan_out,
              random);
  for (const MemberRecord* peer : picked) {
    GossipDatagram datagram = MakePush(table, this->held);
    datagram.delta = this->delta;
    this->TryRecordPush(peer->host, now);
    actions.emplace_back(SendDatagram{peer->control_address, std::move(datagram)});
  }
  return actions;
}

std::vector<SpreadAction> SpreadNode::HandleDatagram(const MemberTable& table,
                                                     const GossipDatagram& datagram, TimePoint now,
                                                     std::mt19937_64& random) {
  Actions actions;
  const MemberRecord* peer = table.Find(datagram.sender_host);
  if (peer == nullptr || peer == &table.GetSelf() ||
      peer->data_centre != table.GetSelf().data_centre) {
    return actions;
  }
  if (kIsOlder(datagram.held, this->held)) {
    this->PushToOlder(table, *peer, datagram.held, now, actions);
    return actions;
  }
  if (!kIsOlder(this->held, datagram.held)) {
    return actions;
  }
  SpreadSource source{peer->host, peer->control_address, datagram.held};
  if (datagram.delta.has_value() && datagram.delta->parent == this->held &&
      datagram.delta->result == datagram.held) {
    actions.emplace_back(SpreadApply{*datagram.delta, std::move(source)});
    return actions;
  }
  return this->AddSource(std::move(source), now, random);
}

void SpreadNode::PushToOlder(const MemberTable& table, const MemberRecord& peer,
                             const VersionStamp& peer_stamp, TimePoint now, Actions& actions) {
  if (!this->TryRecordPush(peer.host, now)) {
    return;
  }
  GossipDatagram datagram = MakePush(table, this->held);
  if (this->delta.has_value() && this->delta->parent == peer_stamp) {
    datagram.delta = this->delta;
  }
  actions.emplace_back(SendDatagram{peer.control_address, std::move(datagram)});
}

bool SpreadNode::TryRecordPush(std::string_view host, TimePoint now) {
  const auto found = this->recent_pushes.find(host);
  if (found != this->recent_pushes.end() && now - found->second < this->options.push_interval) {
    return false;
  }
  if (this->recent_pushes.size() >= this->options.max_recent_pushes) {
    std::erase_if(this->recent_pushes, [&](const auto& entry) {
      return now - entry.second >= this->options.push_interval;
    });
  }
  if (found == this->recent_pushes.end() &&
      this->recent_pushes.size() >= this->options.max_recent_pushes) {
    return false;
  }
  this->recent_pushes.insert_or_assign(std::string(host), now);
  return true;
}

std::vector<SpreadAction> SpreadNode::AddSource(SpreadSource source, TimePoint now,
                                                std::mt19937_64& random) {
  Actions actions;
  this->RememberSource(std::move(source));
  this->StartFetch(now, random, actions);
  return actions;
}

void SpreadNode::RememberSource(SpreadSource source) {
  if (!kIsOlder(this->held, source.stamp)) {
    return;
  }
  this->newest_reported = std::max(this->newest_reported, source.stamp, kIsOlder);
  this->DropSource(source.host);
  if (this->sources.size() >= this->options.max_sources) {
    const auto oldest = std::min_element(this->sources.begin(), this->sources.end(),
                                         [](const SpreadSource& left, const SpreadSource& right) {
                                           return kIsOlder(left.stamp, right.stamp);
                                         });
    if (kIsOlder(source.stamp, oldest->stamp)) {
      return;
    }
    this->sources.erase(oldest);
  }
  this->sources.push_back(std::move(source));
}

void SpreadNode::DropSource(std::string_view host) {
  std::erase_if(this->sources, [&](const SpreadSource& known) { return known.host == host; });
}

bool SpreadNode::KnowsNewer(const VersionStamp& stamp) const {
  return kIsOlder(stamp, this->newest_reported);
}

// Picks a random source of the newest version, so that the daemons of a data centre do not all
// fetch a newly announced version from the same daemon.
void SpreadNode::StartFetch(TimePoint now, std::mt19937_64& random, Actions& actions) {
  if (this->fetch.has_value() || this->sources.empty()) {
    return;
  }
  const VersionStamp newest =
      std::max_element(this->sources.begin(), this->sources.end(),
                       [](const SpreadSource& left, const SpreadSource& right) {
                         return kIsOlder(left.stamp, right.stamp);
                       })
          ->stamp;
  std::vector<SpreadSource> candidates;
  std::copy_if(this->sources.begin(), this->sources.end(), std::back_inserter(candidates),
               [&](const SpreadSource& source) { return source.stamp == newest; });
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  this->fetch = Fetch{candidates[pick(random)], now};
  this->DropSource(this->fetch->source.host);
  actions.emplace_back(SpreadFetch{this->fetch->source, this->held});
}

std::vector<SpreadAction> SpreadNode::HandleFetched(std::string_view host, TimePoint now,
                                                    std::mt19937_64& random) {
  Actions actions;
  if (this->fetch.has_value() && this->fetch->source.host == host) {
    this->fetch.reset();
  }
  this->StartFetch(now, random, actions);
  return actions;
}

std::vector<SpreadAction> SpreadNode::HandleFetchFailed(std::string_view host, TimePoint now,
                                                        std::mt19937_64& random) {
  return this->HandleFetched(host, now, random);
}

std::vector<SpreadAction> SpreadNode::Tick(TimePoint now, std::mt19937_64& random) {
  Actions actions;
  if (this->fetch.has_value() && now - this->fetch->started >= this->options.fetch_timeout) {
    this->fetch.reset();
  }
  this->StartFetch(now, random, actions);
  return actions;
}

}  // namespace lacewingbridge
