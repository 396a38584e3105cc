#include "Membership/member_prober.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingbridge {

namespace {

// Limit of the memory for relayed probes. More are not expected to be pending at a time.
constexpr std::size_t kMaxRelayedProbes = 256;

// Whether a peer has sent a record of this daemon that is older than the current one. The
// current record is then sent to this peer directly: after a partition, refutations that were
// made during it are no longer in any gossip queue.
bool ContainsOutdatedSelf(const MemberRecord& self, std::span<const MemberRecord> records) {
  return std::ranges::any_of(records, [&](const MemberRecord& record) {
    return record.host == self.host && std::pair(record.incarnation, record.sequence) <
                                           std::pair(self.incarnation, self.sequence);
  });
}

}  // namespace

GossipDatagram MemberProber::MakeDatagram(const MemberTable& table, GossipKind kind) const {
  GossipDatagram datagram;
  datagram.kind = kind;
  datagram.sender_host = table.GetSelf().host;
  datagram.sender_incarnation = table.GetSelf().incarnation;
  return datagram;
}

std::vector<MemberAction> MemberProber::Tick(MemberTable& table, TimePoint now,
                                             std::mt19937_64& random) {
  Actions actions;
  this->HandleOwnPause(now);
  this->last_tick = now;
  std::erase_if(this->relayed_probes, [&](const auto& entry) {
    return now - entry.second.sent > this->options.probe_interval;
  });
  this->CheckProbe(table, now, random, actions);
  if (!this->last_probe.has_value() || now - *this->last_probe >= this->options.probe_interval) {
    this->StartProbe(table, now, random, actions);
  }
  for (MemberEvent& event : this->suspicions.Tick(table, now)) {
    actions.emplace_back(std::move(event));
  }
  this->ProbeSuspect(table, now, actions);
  this->PushUrgent(table, now, random, actions);
  table.Expire(now);
  return actions;
}

// Responses that are missing after a pause of this daemon do not show that a peer failed. The
// pending probe is discarded, and suspects get additional time to refute.
void MemberProber::HandleOwnPause(TimePoint now) {
  if (!this->last_tick.has_value() || now - *this->last_tick <= this->options.pause_threshold) {
    return;
  }
  const Duration pause = now - *this->last_tick;
  this->probe.reset();
  this->last_probe = now;
  this->suspicions.Postpone(pause);
}

void MemberProber::CheckProbe(MemberTable& table, TimePoint now, std::mt19937_64& random,
                              Actions& actions) {
  if (!this->probe.has_value()) {
    return;
  }
  const Duration waited = now - this->probe->sent;
  if (waited >= this->options.probe_interval) {
    const std::string host = this->probe->host;
    this->probe.reset();
    this->Suspect(table, host, now, false, actions);
  } else if (waited >= this->options.indirect_after && !this->probe->indirect_sent) {
    this->probe->indirect_sent = true;
    this->SendIndirect(table, random, actions);
  }
}

std::vector<std::string> MemberProber::PickPeers(const MemberTable& table, std::string_view except,
                                                 std::size_t count, std::mt19937_64& random) const {
  std::vector<std::string> hosts = table.ListHosts(table.GetSelf().data_centre);
  std::erase_if(hosts, [&](const std::string& host) {
    return host == except || host == table.GetSelf().host;
  });
  std::vector<std::string> picked;
  std::sample(hosts.begin(), hosts.end(), std::back_inserter(picked), count, random);
  return picked;
}

void MemberProber::SendIndirect(const MemberTable& table, std::mt19937_64& random,
                                Actions& actions) {
  const MemberRecord* subject = table.Find(this->probe->host);
  if (subject == nullptr) {
    return;
  }
  for (const std::string& host :
       this->PickPeers(table, subject->host, this->options.indirect_peers, random)) {
    GossipDatagram request = this->MakeDatagram(table, GossipKind::kProbeRequest);
    request.probe_id = this->probe->id;
    request.subject_host = subject->host;
    request.subject_control_address = subject->control_address;
    actions.emplace_back(SendDatagram{table.Find(host)->control_address, std::move(request)});
  }
}

void MemberProber::StartProbe(const MemberTable& table, TimePoint now, std::mt19937_64& random,
                              Actions& actions) {
  this->last_probe = now;
  const MemberRecord* peer = nullptr;
  for (int refills = 0; peer == nullptr && refills < 2;) {
    if (this->probe_order.empty()) {
      this->probe_order = this->PickPeers(table, "", table.GetRecordCount(), random);
      std::shuffle(this->probe_order.begin(), this->probe_order.end(), random);
      ++refills;
    }
    if (!this->probe_order.empty()) {
      peer = table.Find(this->probe_order.back());
      this->probe_order.pop_back();
    }
    if (peer != nullptr && peer->state == MemberState::kDead) {
      peer = nullptr;
    }
  }
  if (peer == nullptr) {
    return;
  }
  this->probe = Probe{peer->host, this->next_probe_id++, now, false};
  GossipDatagram datagram = this->MakeDatagram(table, GossipKind::kProbe);
  datagram.probe_id = this->probe->id;
  if (peer->state == MemberState::kSuspect) {
    // The suspect can only refute a suspicion that it has received.
    datagram.members.push_back(*peer);
  }
  actions.emplace_back(SendDatagram{peer->control_address, std::move(datagram)});
}

void MemberProber::ProbeSuspect(const MemberTable& table, TimePoint now, Actions& actions) {
  if (this->last_suspect_probe.has_value() &&
      now - *this->last_suspect_probe < this->options.suspect_probe_interval) {
    return;
  }
  const std::optional<std::string> host = this->suspicions.TakeSuspectToProbe(table, now);
  const MemberRecord* suspect = host.has_value() ? table.Find(*host) : nullptr;
  if (suspect == nullptr) {
    return;
  }
  this->last_suspect_probe = now;
  // Probe id 0 matches no pending probe. The purpose of this probe is the suspect's own
  // record in the acknowledgement, which refutes the suspicion.
  GossipDatagram datagram = this->MakeDatagram(table, GossipKind::kProbe);
  datagram.members.push_back(*suspect);
  actions.emplace_back(SendDatagram{suspect->control_address, std::move(datagram)});
}

void MemberProber::PushUrgent(MemberTable& table, TimePoint now, std::mt19937_64& random,
                              Actions& actions) {
  this->push_pending = table.TakeUrgent() || this->push_pending;
  if (!this->push_pending ||
      (this->last_push.has_value() && now - *this->last_push < this->options.push_interval)) {
    return;
  }
  this->push_pending = false;
  this->last_push = now;
  for (const std::string& host : this->PickPeers(table, "", this->options.push_fan_out, random)) {
    actions.emplace_back(SendDatagram{table.Find(host)->control_address,
                                      this->MakeDatagram(table, GossipKind::kPush)});
  }
}

// MarkSuspect leaves the state of a draining member as it is, so that a suspicion in the
// gossip does not hide that the member drains. Only this daemon tracks such a suspicion.
void MemberProber::Suspect(MemberTable& table, std::string_view host, TimePoint now, bool refused,
                           Actions& actions) {
  const MemberRecord* record = table.Find(host);
  if (record == nullptr || record->state == MemberState::kDead || host == table.GetSelf().host ||
      record->data_centre != table.GetSelf().data_centre) {
    return;
  }
  if (table.MarkSuspect(host)) {
    actions.emplace_back(MemberEvent{Event::kMemberSuspect, std::string(host)});
  }
  this->suspicions.Track(*record, now, refused);
}

std::vector<MemberAction> MemberProber::HandleRefused(MemberTable& table, std::string_view host,
                                                      TimePoint now) {
  Actions actions;
  this->Suspect(table, host, now, true, actions);
  return actions;
}

std::vector<MemberAction> MemberProber::HandleDatagram(MemberTable& table,
                                                       const GossipDatagram& datagram,
                                                       std::string_view from_address,
                                                       TimePoint now) {
  Actions actions = this->MergeRecords(table, datagram.members, now);
  std::ranges::move(this->MergeRecords(table, ExpandSuspicions(table, datagram), now),
                    std::back_inserter(actions));
  switch (datagram.kind) {
    case GossipKind::kProbe: {
      GossipDatagram ack = this->MakeDatagram(table, GossipKind::kAck);
      ack.probe_id = datagram.probe_id;
      ack.subject_host = table.GetSelf().host;
      // A sender that was paused or partitioned learns from this record that it has to refute.
      const MemberRecord* sender = table.Find(datagram.sender_host);
      if (sender != nullptr &&
          (sender->state == MemberState::kSuspect || sender->state == MemberState::kDead)) {
        ack.members.push_back(*sender);
      }
      if (ContainsOutdatedSelf(table.GetSelf(), datagram.members)) {
        ack.members.push_back(table.GetSelf());
      }
      actions.emplace_back(SendDatagram{std::string(from_address), std::move(ack)});
      break;
    }
    case GossipKind::kProbeRequest:
      this->HandleProbeRequest(table, datagram, from_address, now, actions);
      break;
    case GossipKind::kAck:
      this->HandleAck(table, datagram, actions);
      if (ContainsOutdatedSelf(table.GetSelf(), datagram.members)) {
        GossipDatagram push = this->MakeDatagram(table, GossipKind::kPush);
        push.members.push_back(table.GetSelf());
        actions.emplace_back(SendDatagram{std::string(from_address), std::move(push)});
      }
      break;
    case GossipKind::kPush:
    case GossipKind::kUnknown:
      break;
  }
  return actions;
}

std::vector<MemberRecord> MemberProber::ExpandSuspicions(const MemberTable& table,
                                                         const GossipDatagram& datagram) {
  std::vector<MemberRecord> records;
  for (const MemberSuspicion& suspicion : datagram.suspicions) {
    const MemberRecord* known = table.Find(suspicion.host);
    if (known == nullptr || known->incarnation != suspicion.incarnation ||
        (known != &table.GetSelf() && known->sequence != suspicion.sequence)) {
      continue;
    }
    records.push_back(*known);
    records.back().sequence = suspicion.sequence;
    records.back().state = MemberState::kSuspect;
  }
  return records;
}

void MemberProber::HandleProbeRequest(const MemberTable& table, const GossipDatagram& datagram,
                                      std::string_view from_address, TimePoint now,
                                      Actions& actions) {
  if (this->relayed_probes.size() >= kMaxRelayedProbes) {
    return;
  }
  GossipDatagram forwarded = this->MakeDatagram(table, GossipKind::kProbe);
  forwarded.probe_id = this->next_probe_id++;
  this->relayed_probes.emplace(forwarded.probe_id,
                               RelayedProbe{std::string(from_address), datagram.probe_id, now});
  actions.emplace_back(SendDatagram{datagram.subject_control_address, std::move(forwarded)});
}

void MemberProber::HandleAck(const MemberTable& table, const GossipDatagram& datagram,
                             Actions& actions) {
  if (this->probe.has_value() && datagram.probe_id == this->probe->id &&
      datagram.subject_host == this->probe->host) {
    this->probe.reset();
    return;
  }
  const auto relayed = this->relayed_probes.find(datagram.probe_id);
  if (relayed == this->relayed_probes.end()) {
    return;
  }
  GossipDatagram ack = this->MakeDatagram(table, GossipKind::kAck);
  ack.probe_id = relayed->second.requester_probe_id;
  ack.subject_host = datagram.subject_host;
  actions.emplace_back(SendDatagram{relayed->second.requester_address, std::move(ack)});
  this->relayed_probes.erase(relayed);
}

std::vector<MemberAction> MemberProber::MergeRecords(MemberTable& table,
                                                     std::span<const MemberRecord> records,
                                                     TimePoint now) {
  Actions actions;
  for (const MemberRecord& record : records) {
    const MemberMerge merge = table.Merge(record, now);
    if (merge != MemberMerge::kJoined && merge != MemberMerge::kUpdated) {
      continue;
    }
    const MemberRecord& merged = *table.Find(record.host);
    if (merge == MemberMerge::kJoined) {
      actions.emplace_back(MemberEvent{Event::kMemberJoined, merged.host});
    }
    if (merged.state == MemberState::kSuspect) {
      if (merged.data_centre == table.GetSelf().data_centre) {
        this->suspicions.Track(merged, now, false);
      }
      actions.emplace_back(MemberEvent{Event::kMemberSuspect, merged.host});
    } else if (merged.state == MemberState::kDead) {
      actions.emplace_back(MemberEvent{Event::kMemberDead, merged.host});
    } else if (merged.state == MemberState::kDraining) {
      actions.emplace_back(MemberEvent{Event::kMemberDraining, merged.host});
    }
  }
  return actions;
}

}  // namespace lacewingbridge
