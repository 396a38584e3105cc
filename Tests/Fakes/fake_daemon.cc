#include "Fakes/fake_daemon.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "Membership/gossip_packer.h"
#include "Spread/spread_stamp.h"
#include "membership_codec.h"
#include "peer_codec.h"

namespace lacewingbridge {

namespace {

std::size_t GetEncodedSize(const GossipDatagram& datagram) { return Encode(datagram).size(); }

void Require(bool condition, const char* message) {
  if (!condition) {
    throw std::logic_error(message);
  }
}

}  // namespace

FakeDaemon::FakeDaemon(MemberRecord self, FakeNetwork& fake_network, std::uint64_t seed)
    : table(GetValue(MemberTable::Create(std::move(self), {}))),
      prober({}),
      node({}),
      relay({}),
      progress({}),
      network(&fake_network),
      random(seed) {}

bool FakeDaemon::HasSeen(Event event) const {
  return std::ranges::find(this->events, event, &MemberEvent::event) != this->events.end();
}

void FakeDaemon::Tick(TimePoint now) {
  this->Run(this->prober.Tick(this->table, now, this->random), now);
  this->Run(this->node.Tick(now, this->random), now);
  this->Run(
      this->relay.Tick(this->table, this->node, this->progress, this->role, now, this->random),
      now);
  for (SendDatagram& send : this->progress.Tick(this->table, now)) {
    this->Perform(std::move(send), now);
  }
}

void FakeDaemon::Hold(const VersionStamp& stamp, const std::optional<RulesDeltaScript>& delta,
                      TimePoint now) {
  if (!SpreadStampLess()(this->node.GetHeld(), stamp)) {
    return;
  }
  this->Run(this->node.HandleHeld(this->table, stamp, delta, now, this->random, GetEncodedSize),
            now);
  this->progress.HandleHeld(stamp, now, this->random);
  this->Run(this->relay.HandleHeld(this->table, this->node, this->role, now, this->random), now);
}

void FakeDaemon::Run(std::vector<MemberAction> actions, TimePoint now) {
  for (MemberAction& action : actions) {
    std::visit([&](auto& each) { this->Perform(std::move(each), now); }, action);
  }
}

void FakeDaemon::Run(std::vector<SpreadAction> actions, TimePoint now) {
  for (SpreadAction& action : actions) {
    std::visit([&](auto& each) { this->Perform(std::move(each), now); }, action);
  }
}

void FakeDaemon::Run(std::vector<RelayAction> actions, TimePoint now) {
  for (RelayAction& action : actions) {
    std::visit([&](auto& each) { this->Perform(std::move(each), now); }, action);
  }
}

void FakeDaemon::Perform(SendDatagram send, TimePoint now) {
  send.datagram.held = this->node.GetHeld();
  if (std::optional<DataCentreProgress> entry = this->progress.GetNextEntry(now)) {
    send.datagram.progress.push_back(*entry);
    if (GetEncodedSize(send.datagram) > kMaxDatagramBytes) {
      send.datagram.progress.clear();
    }
  }
  PackMemberUpdates(this->table, send.datagram, GetEncodedSize);
  std::string bytes = Encode(send.datagram);
  Require(bytes.size() <= kMaxDatagramBytes, "a datagram exceeds its size limit");
  this->network->Send(
      {FakePacketKind::kDatagram, this->GetAddress(), send.address, std::move(bytes)}, now);
}

void FakeDaemon::Perform(MemberEvent event, TimePoint) { this->events.push_back(std::move(event)); }

void FakeDaemon::Perform(SpreadApply apply, TimePoint now) {
  this->Hold(apply.delta.result, apply.delta, now);
}

void FakeDaemon::Perform(SpreadFetch fetch, TimePoint now) {
  ++this->fetches;
  for (const MemberRecord* member : this->table.ListMembers("")) {
    if (member->control_address == fetch.source.address &&
        member->region != this->table.GetSelf().region) {
      ++this->cross_region_fetches;
    }
  }
  this->fetch_host = fetch.source.host;
  this->fetch_address = fetch.source.address;
  this->network->Send({FakePacketKind::kFetch, this->GetAddress(), fetch.source.address,
                       Encode(FetchRulesRequest{fetch.have})},
                      now);
}

void FakeDaemon::Perform(RelayCall call, TimePoint now) {
  this->exchange_data_centre = call.data_centre;
  this->network->Send(
      {FakePacketKind::kExchange, this->GetAddress(), call.address, Encode(call.request)}, now);
}

void FakeDaemon::Perform(RelayAddSource source, TimePoint now) {
  this->Run(this->node.AddSource(std::move(source.source), now, this->random), now);
}

void FakeDaemon::Deliver(const FakePacket& packet, TimePoint now) {
  switch (packet.kind) {
    case FakePacketKind::kDatagram:
      return this->DeliverDatagram(packet, now);
    case FakePacketKind::kFetch:
      return this->HandleFetch(packet, now);
    case FakePacketKind::kFetchReply:
      return this->DeliverFetchReply(packet, now);
    case FakePacketKind::kExchange:
      return this->HandleExchange(packet, now);
    case FakePacketKind::kExchangeReply:
      return this->DeliverExchangeReply(packet, now);
    case FakePacketKind::kRefused:
      if (packet.from == this->fetch_address) {
        this->Run(this->node.HandleFetchFailed(this->fetch_host, now, this->random), now);
      }
      return this->Run(this->relay.HandleFailure(this->table, this->node, this->progress,
                                                 this->exchange_data_centre, now, this->random),
                       now);
  }
}

void FakeDaemon::DeliverDatagram(const FakePacket& packet, TimePoint now) {
  GossipDatagram datagram;
  Require(Decode(packet.bytes, datagram), "a packet is malformed");
  this->Run(this->prober.HandleDatagram(this->table, datagram, packet.from, now), now);
  this->progress.RecordStamp(this->table, datagram);
  this->MergeProgress(datagram.progress, now);
  this->Run(this->node.HandleDatagram(this->table, datagram, now, this->random), now);
  this->Run(this->relay.HandleDatagram(this->table, this->node, datagram, now), now);
}

void FakeDaemon::HandleFetch(const FakePacket& packet, TimePoint now) {
  FetchRulesRequest request;
  Require(Decode(packet.bytes, request), "a packet is malformed");
  FetchRulesReply reply;
  reply.held = this->node.GetHeld();
  if (this->node.GetDelta().has_value() && this->node.GetDelta()->parent == request.have) {
    reply.delta = this->node.GetDelta();
  }
  this->network->Send({FakePacketKind::kFetchReply, this->GetAddress(), packet.from, Encode(reply)},
                      now);
}

void FakeDaemon::DeliverFetchReply(const FakePacket& packet, TimePoint now) {
  FetchRulesReply reply;
  Require(Decode(packet.bytes, reply), "a packet is malformed");
  this->Hold(reply.held, reply.delta, now);
  this->Run(this->node.HandleFetched(this->fetch_host, now, this->random), now);
}

void FakeDaemon::MergeProgress(const std::vector<DataCentreProgress>& list, TimePoint now) {
  for (const DataCentreProgress& entry : list) {
    this->progress.Merge(entry, now);
  }
}

void FakeDaemon::HandleExchange(const FakePacket& packet, TimePoint now) {
  RelayExchangeRequest request;
  Require(Decode(packet.bytes, request), "a packet is malformed");
  this->Run(this->prober.MergeRecords(this->table, request.members, now), now);
  this->MergeProgress(request.progress, now);
  this->network->Send(
      {FakePacketKind::kExchangeReply, this->GetAddress(), packet.from,
       Encode(this->relay.BuildReply(this->table, this->node, this->progress, request, now))},
      now);
}

void FakeDaemon::DeliverExchangeReply(const FakePacket& packet, TimePoint now) {
  RelayExchangeReply reply;
  Require(Decode(packet.bytes, reply), "a packet is malformed");
  this->Run(this->prober.MergeRecords(this->table, reply.members, now), now);
  this->MergeProgress(reply.progress, now);
  this->Run(this->relay.HandleReply(this->table, this->node, this->progress,
                                    this->exchange_data_centre, reply, now, this->random),
            now);
}

}  // namespace lacewingbridge
