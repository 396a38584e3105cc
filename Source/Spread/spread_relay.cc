#include "Spread/spread_relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Core/hash.h"
#include "Spread/spread_progress.h"
#include "Spread/spread_stamp.h"

namespace lacewingbridge {

namespace {

constexpr SpreadStampLess kIsOlder;

// Number of exchange intervals for which an unreachable data centre is left out.
constexpr int kUnreachableIntervals = 3;

// Returns the data centres of the region in the order of their rank by hash.
std::vector<std::string> RankDataCentres(const std::map<std::string, std::string>& regions,
                                         std::string_view region) {
  std::vector<std::string> names;
  for (const auto& [data_centre, its_region] : regions) {
    if (its_region == region) {
      names.push_back(data_centre);
    }
  }
  std::vector<std::string> ranked;
  for (const std::size_t index : RankByHash(region, names)) {
    ranked.push_back(names[index]);
  }
  return ranked;
}

}  // namespace

// A daemon that is not the watcher knows whether another one watches for the data centre only if it
// has tried to become the watcher itself. The daemon that is ranked first tries.
bool SpreadRelay::IsRelay(const MemberTable& table, const SpreadRelayRole& role) {
  // The collector exchanges even while a watcher does. A daemon that is not a candidate of the
  // election never calls the store and does not learn that it is unreachable.
  return role.watching || SpreadProgress::GetCollector(table) == table.GetSelf().host;
}

std::string SpreadRelay::GetFirstDataCentre(const MemberTable& table, std::string_view region) {
  const std::vector<std::string> ranked = RankDataCentres(table.ListDataCentres(), region);
  return ranked.empty() ? std::string() : ranked.front();
}

void SpreadRelay::SetSeeds(std::string_view data_centre, std::string_view region,
                           std::span<const std::string> addresses) {
  Seeds entry{std::string(region), {}};
  const std::size_t count = std::min(addresses.size(), this->options.max_seeds);
  entry.addresses.assign(addresses.begin(), addresses.begin() + static_cast<std::ptrdiff_t>(count));
  this->seeds.insert_or_assign(std::string(data_centre), std::move(entry));
}

std::map<std::string, std::string> SpreadRelay::ListDataCentres(const MemberTable& table) const {
  std::map<std::string, std::string> regions = table.ListDataCentres();
  for (const auto& [data_centre, entry] : this->seeds) {
    regions.emplace(data_centre, entry.region);
  }
  return regions;
}

bool SpreadRelay::IsUnreachable(std::string_view data_centre, TimePoint now) const {
  const auto found = this->failed_at.find(data_centre);
  return found != this->failed_at.end() &&
         now - found->second < this->options.interval * kUnreachableIntervals;
}

// Partners are the other data centres of the region. If this data centre is the first reachable one
// of its region, the first reachable data centre of each other region is a partner, too.
std::vector<std::string> SpreadRelay::ListPartners(const MemberTable& table, TimePoint now) const {
  const MemberRecord& self = table.GetSelf();
  const std::map<std::string, std::string> regions = this->ListDataCentres(table);
  std::vector<std::string> partners;
  bool uses_links = false;
  for (const std::string& data_centre : RankDataCentres(regions, self.region)) {
    if (data_centre == self.data_centre) {
      uses_links = partners.empty();
    } else if (!this->IsUnreachable(data_centre, now)) {
      partners.push_back(data_centre);
    }
  }
  if (!uses_links) {
    return partners;
  }
  std::vector<std::string> names;
  for (const auto& [data_centre, region] : regions) {
    if (region != self.region && std::find(names.begin(), names.end(), region) == names.end()) {
      names.push_back(region);
    }
  }
  for (const std::string& region : names) {
    const std::vector<std::string> ranked = RankDataCentres(regions, region);
    const auto first = std::find_if(ranked.begin(), ranked.end(), [&](const std::string& name) {
      return !this->IsUnreachable(name, now);
    });
    if (first != ranked.end()) {
      partners.push_back(*first);
    }
  }
  return partners;
}

std::string SpreadRelay::PickAddress(const MemberTable& table, std::string_view data_centre,
                                     std::string_view except, std::mt19937_64& random) const {
  std::vector<std::string> addresses;
  for (const MemberRecord* member : table.ListMembers(data_centre)) {
    addresses.push_back(member->control_address);
  }
  const auto known = this->seeds.find(data_centre);
  if (addresses.empty() && known != this->seeds.end()) {
    addresses = known->second.addresses;
  }
  if (addresses.size() > 1) {
    std::erase(addresses, except);
  }
  if (addresses.empty()) {
    return {};
  }
  std::uniform_int_distribution<std::size_t> pick(0, addresses.size() - 1);
  return addresses[pick(random)];
}

std::vector<RelayAction> SpreadRelay::Tick(const MemberTable& table, const SpreadNode& node,
                                           const SpreadProgress& progress,
                                           const SpreadRelayRole& role, TimePoint now,
                                           std::mt19937_64& random) {
  Actions actions;
  this->ReleaseWaiting(node, now, actions);
  if (this->call.has_value() && now - this->call->started >= this->options.call_timeout) {
    const std::string data_centre = this->call->data_centre;
    std::ranges::move(this->HandleFailure(table, node, progress, data_centre, now, random),
                      std::back_inserter(actions));
  }
  if (this->call.has_value() ||
      (this->last_exchange.has_value() && now - *this->last_exchange < this->options.min_gap) ||
      !IsRelay(table, role)) {
    return actions;
  }
  std::vector<std::string> partners = this->ListPartners(table, now);
  if (partners.empty() ||
      (this->last_exchange.has_value() &&
       now - *this->last_exchange < this->options.interval / static_cast<int>(partners.size()))) {
    return actions;
  }
  this->last_exchange = now;
  std::sort(partners.begin(), partners.end());
  auto next = std::upper_bound(partners.begin(), partners.end(), this->last_partner);
  this->last_partner = next == partners.end() ? partners.front() : *next;
  this->differing.clear();
  this->StartCall(table, node, progress, Call{this->last_partner, "", now, 0, false}, now, random,
                  actions);
  return actions;
}

void SpreadRelay::StartCall(const MemberTable& table, const SpreadNode& node,
                            const SpreadProgress& progress, Call next, TimePoint now,
                            std::mt19937_64& random, Actions& actions) {
  if (next.address.empty() || next.attempts > 0) {
    next.address = this->PickAddress(table, next.data_centre, next.address, random);
  }
  if (next.address.empty()) {
    this->call.reset();
    return;
  }
  next.started = now;
  RelayCall started{next.data_centre, next.address, {}};
  started.request.data_centre = table.GetSelf().data_centre;
  started.request.held = node.GetHeld();
  started.request.progress = progress.List(now);
  if (!next.with_buckets) {
    started.request.digests = table.GetDigests(false);
  } else {
    started.request.digests = this->MakeDifferingDigests(table);
    started.request.members = table.ListDiffering(this->differing);
  }
  this->call = std::move(next);
  actions.emplace_back(std::move(started));
}

std::vector<DataCentreDigest> SpreadRelay::MakeDifferingDigests(const MemberTable& table) const {
  const std::vector<DataCentreDigest> own_digests = table.GetDigests(true);
  std::vector<DataCentreDigest> digests;
  for (const DataCentreDigest& theirs : this->differing) {
    const auto own =
        std::ranges::find(own_digests, theirs.data_centre, &DataCentreDigest::data_centre);
    digests.push_back(own != own_digests.end() ? *own
                                               : MemberDigest().Get(theirs.data_centre, true));
  }
  return digests;
}

std::vector<RelayAction> SpreadRelay::HandleHeld(const MemberTable& table, const SpreadNode& node,
                                                 const SpreadRelayRole& role, TimePoint now,
                                                 std::mt19937_64& random) {
  Actions actions;
  if (!IsRelay(table, role)) {
    return actions;
  }
  const std::map<std::string, std::string> regions = this->ListDataCentres(table);
  for (const std::string& data_centre : this->ListPartners(table, now)) {
    const bool sibling = regions.at(data_centre) == table.GetSelf().region;
    const bool with_delta = sibling || !role.store_reachable;
    std::ranges::move(this->PushHeld(table, node, data_centre, sibling, with_delta, random),
                      std::back_inserter(actions));
  }
  return actions;
}

std::vector<RelayAction> SpreadRelay::PushHeld(const MemberTable& table, const SpreadNode& node,
                                               const std::string& data_centre, bool sibling,
                                               bool with_delta, std::mt19937_64& random) const {
  Actions actions;
  // Over a region link only one datagram is sent, because a second one would cost the bytes of the
  // version again. If it is lost, the next exchange brings the version.
  const std::size_t count = sibling ? this->options.push_addresses : 1;
  std::string previous;
  for (std::size_t i = 0; i < count; ++i) {
    std::string address = this->PickAddress(table, data_centre, previous, random);
    if (address.empty() || address == previous) {
      break;
    }
    GossipDatagram datagram = SpreadNode::MakePush(table, node.GetHeld());
    if (with_delta) {
      datagram.delta = node.GetDelta();
    }
    previous = address;
    actions.emplace_back(SendDatagram{std::move(address), std::move(datagram)});
  }
  return actions;
}

std::vector<RelayAction> SpreadRelay::HandleDatagram(const MemberTable& table,
                                                     const SpreadNode& node,
                                                     const GossipDatagram& datagram,
                                                     TimePoint now) {
  Actions actions;
  const MemberRecord* peer = table.Find(datagram.sender_host);
  if (peer == nullptr || peer->data_centre == table.GetSelf().data_centre ||
      !kIsOlder(node.GetHeld(), datagram.held)) {
    return actions;
  }
  SpreadSource source{peer->host, peer->control_address, datagram.held};
  if (datagram.delta.has_value() && datagram.delta->parent == node.GetHeld() &&
      datagram.delta->result == datagram.held) {
    actions.emplace_back(SpreadApply{*datagram.delta, std::move(source)});
    return actions;
  }
  this->OfferSource(table, peer->region, std::move(source), now, actions);
  return actions;
}

void SpreadRelay::OfferSource(const MemberTable& table, std::string_view region,
                              SpreadSource source, TimePoint now, Actions& actions) {
  const MemberRecord& self = table.GetSelf();
  if (region == self.region) {
    actions.emplace_back(RelayAddSource{std::move(source)});
    return;
  }
  Duration wait = this->options.link_wait;
  if (GetFirstDataCentre(table, self.region) != self.data_centre) {
    wait += this->options.sibling_wait;
  }
  if (SpreadProgress::GetCollector(table) != self.host) {
    // Two daemons of a data centre may learn of the version in different ways. The longer wait lets
    // the collector fetch it first.
    wait += this->options.link_wait;
  }
  const bool known =
      std::any_of(this->waiting.begin(), this->waiting.end(), [&](const WaitingSource& entry) {
        return entry.source.host == source.host && entry.source.stamp == source.stamp;
      });
  if (!known && this->waiting.size() < this->options.max_waiting) {
    this->waiting.push_back({std::move(source), now + wait});
  }
}

void SpreadRelay::ReleaseWaiting(const SpreadNode& node, TimePoint now, Actions& actions) {
  for (WaitingSource& entry : this->waiting) {
    if (now >= entry.due && kIsOlder(node.GetHeld(), entry.source.stamp)) {
      actions.emplace_back(RelayAddSource{entry.source});
    }
  }
  std::erase_if(this->waiting, [&](const WaitingSource& entry) {
    return now >= entry.due || !kIsOlder(node.GetHeld(), entry.source.stamp);
  });
}

RelayExchangeReply SpreadRelay::BuildReply(const MemberTable& table, const SpreadNode& node,
                                           const SpreadProgress& progress,
                                           const RelayExchangeRequest& request,
                                           TimePoint now) const {
  RelayExchangeReply reply;
  reply.held = node.GetHeld();
  reply.progress = progress.List(now);
  reply.digests = table.GetDigests(true);
  for (DataCentreDigest& digest : reply.digests) {
    const bool same = std::any_of(request.digests.begin(), request.digests.end(),
                                  [&](const DataCentreDigest& theirs) {
                                    return theirs.data_centre == digest.data_centre &&
                                           theirs.members_hash == digest.members_hash;
                                  });
    if (same) {
      digest.bucket_hashes.clear();
    }
  }
  reply.members = table.ListDiffering(request.digests);
  return reply;
}

std::vector<RelayAction> SpreadRelay::HandleReply(const MemberTable& table, const SpreadNode& node,
                                                  const SpreadProgress& progress,
                                                  std::string_view data_centre,
                                                  const RelayExchangeReply& reply, TimePoint now,
                                                  std::mt19937_64& random) {
  Actions actions;
  if (!this->call.has_value() || this->call->data_centre != data_centre) {
    return actions;
  }
  Call done = *std::exchange(this->call, std::nullopt);
  this->failed_at.erase(done.data_centre);
  const std::map<std::string, std::string> regions = this->ListDataCentres(table);
  const auto region = regions.find(done.data_centre);
  if (kIsOlder(node.GetHeld(), reply.held)) {
    this->OfferSource(table, region == regions.end() ? "" : region->second,
                      SpreadSource{done.address, done.address, reply.held}, now, actions);
  } else if (kIsOlder(reply.held, node.GetHeld())) {
    GossipDatagram datagram = SpreadNode::MakePush(table, node.GetHeld());
    if (node.GetDelta().has_value() && node.GetDelta()->parent == reply.held) {
      datagram.delta = node.GetDelta();
    }
    actions.emplace_back(SendDatagram{done.address, std::move(datagram)});
  }
  if (done.with_buckets) {
    return actions;
  }
  this->differing = this->ListDifferences(table, reply);
  if (!this->differing.empty()) {
    this->StartCall(table, node, progress, Call{done.data_centre, done.address, now, 0, true}, now,
                    random, actions);
  }
  return actions;
}

std::vector<DataCentreDigest> SpreadRelay::ListDifferences(const MemberTable& table,
                                                           const RelayExchangeReply& reply) {
  std::vector<DataCentreDigest> differences;
  const std::vector<DataCentreDigest> own_digests = table.GetDigests(false);
  for (const DataCentreDigest& theirs : reply.digests) {
    const bool same =
        std::any_of(own_digests.begin(), own_digests.end(), [&](const DataCentreDigest& own) {
          return own.data_centre == theirs.data_centre && own.members_hash == theirs.members_hash;
        });
    if (!same) {
      differences.push_back(theirs);
    }
  }
  for (const DataCentreDigest& own : own_digests) {
    const bool unknown_there = std::none_of(
        reply.digests.begin(), reply.digests.end(),
        [&](const DataCentreDigest& other) { return other.data_centre == own.data_centre; });
    if (unknown_there) {
      differences.push_back(MemberDigest().Get(own.data_centre, true));
    }
  }
  return differences;
}

std::vector<RelayAction> SpreadRelay::HandleFailure(const MemberTable& table,
                                                    const SpreadNode& node,
                                                    const SpreadProgress& progress,
                                                    std::string_view data_centre, TimePoint now,
                                                    std::mt19937_64& random) {
  Actions actions;
  if (!this->call.has_value() || this->call->data_centre != data_centre) {
    return actions;
  }
  Call next = *std::exchange(this->call, std::nullopt);
  if (++next.attempts >= this->options.max_attempts) {
    this->failed_at.insert_or_assign(next.data_centre, now);
    return actions;
  }
  this->StartCall(table, node, progress, std::move(next), now, random, actions);
  return actions;
}

}  // namespace lacewingbridge
