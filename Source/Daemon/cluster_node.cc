#include "Daemon/cluster_node.h"

#include <algorithm>
#include <utility>

#include "Core/hash.h"
#include "Daemon/cluster_options.h"
#include "Membership/gossip_packer.h"
#include "membership_codec.h"

namespace lacewingbridge {

namespace {

constexpr std::size_t kMaxStrikesPerDatagram = 4;
// Limits the rate of calls to senders that are not in the table. After a restart of a whole
// data centre, all senders are unknown at first.
constexpr Duration kMemberExchangeInterval = std::chrono::seconds(1);

std::size_t GetEncodedSize(const GossipDatagram& datagram) { return Encode(datagram).size(); }

MemberRecord MakeOwnRecord(const Settings& settings, std::uint64_t incarnation) {
  MemberRecord record;
  record.host = settings.host;
  record.region = settings.region;
  record.data_centre = settings.data_centre;
  record.control_address = settings.control_address;
  record.incarnation = incarnation;
  record.sequence = 1;
  record.state = MemberState::kAlive;
  return record;
}

}  // namespace

Result<std::unique_ptr<ClusterNode>> ClusterNode::Create(const Settings& settings,
                                                         std::uint64_t incarnation, TimePoint now,
                                                         std::uint64_t random_seed) {
  Result<MemberTable> table = MemberTable::Create(MakeOwnRecord(settings, incarnation), {});
  if (!IsOk(table)) {
    return GetError(table);
  }
  return std::unique_ptr<ClusterNode>(
      new ClusterNode(settings, std::move(GetValue(table)), now, random_seed));
}

ClusterNode::ClusterNode(const Settings& given, MemberTable members, TimePoint now,
                         std::uint64_t seed)
    : settings(given),
      random(seed),
      table(std::move(members)),
      prober(MakeProberOptions(given)),
      spread(MakeSpreadOptions(given)),
      relay(MakeRelayOptions(given)),
      progress(SpreadProgressOptions{}),
      join(given.seed_addresses, given.control_address, now, this->random) {}

template <typename Actions>
void ClusterNode::Append(Actions&& actions, TimePoint now, ClusterActions& result) {
  for (auto& action : actions) {
    std::visit([&](auto& one) { this->AppendAction(std::move(one), now, result); }, action);
  }
}

template <typename Action>
void ClusterNode::AppendAction(Action action, TimePoint /*now*/, ClusterActions& result) {
  result.emplace_back(std::move(action));
}

template <>
void ClusterNode::Append(std::vector<SendDatagram>&& actions, TimePoint now,
                         ClusterActions& result) {
  for (SendDatagram& action : actions) {
    this->AppendAction(std::move(action), now, result);
  }
}

ClusterActions ClusterNode::Tick(TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  this->UpdateTargets(this->targets.Expire(now), result);
  this->table.Expire(now);
  this->Append(this->prober.Tick(this->table, now, this->random), now, result);
  this->Append(this->spread.Tick(now, this->random), now, result);
  this->Append(
      this->relay.Tick(this->table, this->spread, this->progress, this->role, now, this->random),
      now, result);
  this->Append(this->progress.Tick(this->table, now), now, result);
  std::vector<std::string> peers = this->table.ListHosts(this->settings.data_centre);
  std::erase(peers, this->settings.host);
  this->Append(this->join.Tick(peers, now, this->random), now, result);
  this->CheckMembersChanged(result);
  return result;
}

ClusterActions ClusterNode::HandleDatagram(const GossipDatagram& datagram, std::string_view from,
                                           TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  this->members_touched = this->members_touched || !datagram.members.empty();
  this->CheckOwnName(datagram.members, result);
  this->Append(this->prober.HandleDatagram(this->table, datagram, from, now), now, result);
  this->MergeProgress(datagram.progress, now);
  AppendReceivedStrikes(datagram.strikes, result);
  const MemberRecord* sender = this->table.Find(datagram.sender_host);
  if (sender == nullptr) {
    this->RequestMemberExchange(from, now, result);
    return result;
  }
  this->CheckOwnerMap(datagram.claim_epoch, sender->control_address, result);
  if (sender->data_centre != this->settings.data_centre) {
    this->Append(this->relay.HandleDatagram(this->table, this->spread, datagram, now), now, result);
    return result;
  }
  this->join.RecordMemberStamp(datagram.sender_host);
  if (datagram.members_hash != 0 &&
      this->member_sync.HandleHash(this->centre_hash, datagram.members_hash, now)) {
    result.emplace_back(JoinAskPeer{sender->control_address});
  }
  this->progress.RecordStamp(this->table, datagram);
  this->Append(this->spread.HandleDatagram(this->table, datagram, now, this->random), now, result);
  return result;
}

// When all daemons but one are restarted, the remaining one no longer gossips its own record,
// and the restarted ones know only each other. Exchanging lists makes both sides complete.
void ClusterNode::RequestMemberExchange(std::string_view address, TimePoint now,
                                        ClusterActions& result) {
  if (now >= this->next_member_exchange) {
    this->next_member_exchange = now + kMemberExchangeInterval;
    result.emplace_back(JoinAskPeer{std::string(address)});
  }
}

ClusterActions ClusterNode::HandleHeld(const VersionStamp& stamp,
                                       std::optional<RulesDeltaScript> delta, TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  this->Append(this->spread.HandleHeld(this->table, stamp, std::move(delta), now, this->random,
                                       GetEncodedSize),
               now, result);
  this->Append(this->relay.HandleHeld(this->table, this->spread, this->role, now, this->random),
               now, result);
  this->progress.HandleHeld(stamp, now, this->random);
  return result;
}

ClusterActions ClusterNode::HandleFetchEnd(std::string_view host, bool succeeded, TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  this->Append(succeeded ? this->spread.HandleFetched(host, now, this->random)
                         : this->spread.HandleFetchFailed(host, now, this->random),
               now, result);
  return result;
}

ClusterActions ClusterNode::HandleRelayReply(std::string_view data_centre,
                                             const RelayExchangeReply& reply, TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  AppendReceivedStrikes(reply.strikes, result);
  this->MergeMembers(reply.members, now, result);
  this->MergeProgress(reply.progress, now);
  this->Append(this->relay.HandleReply(this->table, this->spread, this->progress, data_centre,
                                       reply, now, this->random),
               now, result);
  return result;
}

ClusterActions ClusterNode::HandleRelayFailure(std::string_view data_centre, TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  this->Append(this->relay.HandleFailure(this->table, this->spread, this->progress, data_centre,
                                         now, this->random),
               now, result);
  return result;
}

ClusterActions ClusterNode::HandleRelayRequest(const RelayExchangeRequest& request,
                                               RelayExchangeReply& reply, TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  AppendReceivedStrikes(request.strikes, result);
  this->MergeMembers(request.members, now, result);
  this->MergeProgress(request.progress, now);
  reply = this->relay.BuildReply(this->table, this->spread, this->progress, request, now);
  reply.claim_epoch = this->claim_epoch;
  reply.strikes = this->strike_relay.List(now);
  return result;
}

void ClusterNode::AppendReceivedStrikes(std::span<const QuarantineEvidence> received,
                                        ClusterActions& result) {
  if (!received.empty()) {
    result.emplace_back(ClusterStrikesReceived{{received.begin(), received.end()}});
  }
}

ClusterActions ClusterNode::HandleMembers(const ListMembersReply& reply, TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  this->join.HandleMembers();
  this->CheckOwnName(reply.members, result);
  this->MergeListed(reply.members, now, result);
  return result;
}

ClusterActions ClusterNode::HandleMembersRequest(const ListMembersRequest& request,
                                                 ListMembersReply& reply, TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  this->MergeMembers(std::span(&request.self, 1), now, result);
  for (const MemberRecord* record : this->table.ListMembers("")) {
    reply.members.push_back(*record);
  }
  reply.held = this->spread.GetHeld();
  reply.claim_epoch = this->claim_epoch;
  return result;
}

void ClusterNode::HandleStoreSeeds(std::vector<std::string> addresses) {
  const std::lock_guard guard(this->mutex);
  this->join.HandleStoreSeeds(std::move(addresses));
}

void ClusterNode::HandleStoreHead() {
  const std::lock_guard guard(this->mutex);
  this->join.HandleStoreHead();
}

ClusterActions ClusterNode::HandleRefused(std::string_view host, TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  this->Append(this->prober.HandleRefused(this->table, host, now), now, result);
  return result;
}

ClusterActions ClusterNode::Announce(const TargetAnnouncement& announcement, TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  this->UpdateTargets(this->targets.Announce(announcement, now), result);
  this->CheckMembersChanged(result);
  return result;
}

ClusterActions ClusterNode::StartDrain(TimePoint now) {
  const std::lock_guard guard(this->mutex);
  ClusterActions result;
  this->table.SetOwnDraining();
  this->members_touched = true;
  this->Append(this->prober.Tick(this->table, now, this->random), now, result);
  this->CheckMembersChanged(result);
  return result;
}

void ClusterNode::SetRole(const SpreadRelayRole& new_role) {
  const std::lock_guard guard(this->mutex);
  this->role = new_role;
}

void ClusterNode::SetClaimEpoch(std::uint64_t epoch) {
  const std::lock_guard guard(this->mutex);
  this->claim_epoch = std::max(this->claim_epoch, epoch);
}

bool ClusterNode::NeedsStrikes() {
  const std::lock_guard guard(this->mutex);
  return this->strikes.empty() || this->strikes_sent;
}

void ClusterNode::SetStrikes(std::vector<QuarantineEvidence> outgoing, TimePoint now) {
  const std::lock_guard guard(this->mutex);
  this->strike_relay.Add(now, outgoing);
  this->strikes = std::move(outgoing);
  this->strikes_sent = false;
}

void ClusterNode::MergeMembers(std::span<const MemberRecord> records, TimePoint now,
                               ClusterActions& result) {
  this->members_touched = true;
  this->CheckOwnName(records, result);
  this->Append(this->prober.MergeRecords(this->table, records, now), now, result);
}

void ClusterNode::CheckOwnName(std::span<const MemberRecord> records, ClusterActions& result) {
  for (const MemberRecord& record : records) {
    const MemberRecord& self = this->table.GetSelf();
    if (record.host == self.host && record.incarnation > self.incarnation) {
      this->table.RestartAbove(record.incarnation);
      result.emplace_back(MemberEvent{Event::kHostNameTaken, record.host});
    }
  }
}

void ClusterNode::MergeListed(std::span<const MemberRecord> records, TimePoint now,
                              ClusterActions& result) {
  for (const MemberRecord& record : records) {
    const bool is_new =
        record.state == MemberState::kAlive && this->table.Find(record.host) == nullptr;
    if (!is_new) {
      this->MergeMembers(std::span(&record, 1), now, result);
    } else if (this->table.MergeListed(record, now) == MemberMerge::kJoined) {
      this->AppendAction(MemberEvent{Event::kMemberJoined, record.host}, now, result);
    }
  }
}

void ClusterNode::MergeProgress(std::span<const DataCentreProgress> entries, TimePoint now) {
  for (const DataCentreProgress& entry : entries) {
    this->progress.Merge(entry, now);
  }
}

void ClusterNode::CheckOwnerMap(std::uint64_t epoch, std::string_view address,
                                ClusterActions& result) {
  if (epoch > this->claim_epoch) {
    result.emplace_back(ClusterFetchOwnerMap{std::string(address)});
  }
}

void ClusterNode::UpdateTargets(const std::vector<TargetRegistry::Change>& changes,
                                ClusterActions& result) {
  if (changes.empty()) {
    return;
  }
  for (const TargetRegistry::Change& change : changes) {
    if (change.event != Event::kNone) {
      result.emplace_back(MemberEvent{change.event, change.target.address});
    }
  }
  const std::vector<TargetRecord> current = this->targets.ListTargets();
  this->table.SetOwnTargets(current);
  this->members_touched = true;
}

void ClusterNode::CheckMembersChanged(ClusterActions& result) {
  if (!this->members_touched) {
    return;
  }
  this->members_touched = false;
  const std::uint64_t hash = this->HashMembers();
  if (hash != this->members_hash) {
    this->members_hash = hash;
    result.emplace_back(ClusterMembersChanged{});
  }
}

std::uint64_t ClusterNode::HashMembers() {
  std::uint64_t hash = 0;
  for (const DataCentreDigest& digest : this->table.GetDigests(false)) {
    hash = CombineHashes(hash, digest.members_hash);
    if (digest.data_centre == this->settings.data_centre) {
      this->centre_hash = digest.members_hash;
    }
  }
  return hash;
}

void ClusterNode::AppendAction(SendDatagram action, TimePoint now, ClusterActions& result) {
  GossipDatagram& datagram = action.datagram;
  datagram.held = this->spread.GetHeld();
  datagram.claim_epoch = this->claim_epoch;
  datagram.members_hash = this->centre_hash;
  if (datagram.progress.empty()) {
    if (std::optional<DataCentreProgress> entry = this->progress.GetNextEntry(now)) {
      datagram.progress.push_back(std::move(*entry));
    }
  }
  for (const QuarantineEvidence& strike : this->strikes) {
    if (datagram.strikes.size() < kMaxStrikesPerDatagram) {
      datagram.strikes.push_back(strike);
    }
  }
  this->strikes_sent = true;
  PackMemberUpdates(this->table, datagram, GetEncodedSize);
  result.emplace_back(std::move(action));
}

void ClusterNode::AppendAction(RelayCall action, TimePoint now, ClusterActions& result) {
  action.request.strikes = this->strike_relay.List(now);
  result.emplace_back(std::move(action));
}

void ClusterNode::AppendAction(MemberEvent action, TimePoint /*now*/, ClusterActions& result) {
  this->members_touched = true;
  result.emplace_back(std::move(action));
}

void ClusterNode::AppendAction(const RelayAddSource& action, TimePoint now,
                               ClusterActions& result) {
  this->Append(this->spread.AddSource(action.source, now, this->random), now, result);
}

void ClusterNode::AppendAction(const JoinProbeMembers& action, TimePoint now,
                               ClusterActions& result) {
  for (const std::string& host : action.hosts) {
    const MemberRecord* record = this->table.Find(host);
    if (record == nullptr) {
      continue;
    }
    GossipDatagram probe;
    probe.kind = GossipKind::kProbe;
    probe.sender_host = this->settings.host;
    probe.sender_incarnation = this->table.GetSelf().incarnation;
    probe.subject_host = host;
    this->AppendAction(SendDatagram{record->control_address, std::move(probe)}, now, result);
  }
}

}  // namespace lacewingbridge
