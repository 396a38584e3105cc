// Processor time and memory of the decision code against the size of its input.
#include <fmt/core.h>
#include <malloc.h>

#include <cstdlib>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "Admin/admin_rpc_client.h"
#include "Daemon/cluster_node.h"
#include "Daemon/service_table.h"
#include "Rules/rules_delta.h"
#include "Rules/rules_matcher.h"
#include "Rules/rules_parser.h"
#include "Version/route_snapshot.h"
#include "Version/snapshot_builder.h"
#include "cost_claims.h"
#include "cost_fit.h"
#include "membership_codec.h"
#include "peer_codec.h"
#include "rules_codec.h"
#include "synthetic_rules.h"

namespace lacewingbridge {
namespace {

constexpr std::size_t kRouteCounts[] = {100, 300, 1000, 3000};
constexpr std::size_t kMemberCounts[] = {100, 225, 450, 900};
constexpr std::size_t kServiceShards = 16;
constexpr std::size_t kBenchRoutes = 300;
// MakeSyntheticMembers spreads the hosts over this many data centres.
constexpr std::size_t kPlacesOfMembers = 8;

RulesDocument ParseRules(const std::string& text) {
  auto parsed = RulesParser::Parse(text, "synthetic.rules");
  if (auto* document = std::get_if<RulesDocument>(&parsed)) {
    return std::move(*document);
  }
  fmt::print(stderr, "the synthetic rules do not parse\n");
  std::exit(EXIT_FAILURE);
}

void MeasureRules() {
  CostSlope parse("RulesParser::Parse, us by KB of text", "KB");
  CostSlope match("RulesMatcher::FindRoute, us by routes", "route");
  CostSlope delta("RulesDelta::Apply of one line, us by KB of text", "KB");
  for (const std::size_t routes : kRouteCounts) {
    const std::string text = MakeSyntheticRules(routes);
    const double kilobytes = static_cast<double>(text.size()) / 1000;
    parse.Add(kilobytes, MeasureMicroseconds([&] { RulesParser::Parse(text, "synthetic.rules"); }));
    const std::string changed = text + "# one more line\n";
    const RulesDeltaScript script = RulesDelta::Compute(text, changed);
    delta.Add(kilobytes, MeasureMicroseconds([&] { RulesDelta::Apply(text, script); }));
    const RulesDocument document = ParseRules(text);
    const RulesMatcher matcher = RulesMatcher::Create(document);
    std::size_t next = 0;
    std::vector<std::string> paths;
    for (std::size_t i = 0; i < routes; ++i) {
      const std::size_t route = i * 7919 % routes;
      paths.push_back(fmt::format("/area-{}/part-{}/item", route / 16, route % 16));
    }
    constexpr int kLookups = 1000;
    match.Add(static_cast<double>(routes),
              MeasureMicroseconds([&] {
                for (int i = 0; i < kLookups; ++i) {
                  if (matcher.FindRoute("GET", paths[next]) == nullptr) {
                    std::exit(EXIT_FAILURE);
                  }
                  next = (next + 1) % paths.size();
                }
              }) / kLookups);
  }
  parse.Print();
  delta.Print();
  match.Print();
}

void MeasureSnapshots() {
  CostSlope build("SnapshotBuilder::Build with 300 routes, us by members", "member");
  CostSlope apply("ServiceTable::ApplySnapshot, us by members", "member");
  const auto document =
      std::make_shared<const RulesDocument>(ParseRules(MakeSyntheticRules(kBenchRoutes)));
  for (const std::size_t count : kMemberCounts) {
    const std::vector<MemberRecord> members = MakeSyntheticMembers(count);
    const auto make = [&] { return SnapshotBuilder::Build({1, "x"}, document, members); };
    build.Add(static_cast<double>(count), MeasureMicroseconds(make));
    const std::shared_ptr<const RouteSnapshot> snapshot = make();
    ServiceTable services("dc-0", "region-0", kServiceShards);
    apply.Add(static_cast<double>(count), MeasureMicroseconds([&] {
                services.ApplySnapshot(*snapshot, members, TimePoint{});
              }));
  }
  build.Print();
  apply.Print();
}

Settings MakeNodeSettings(const MemberRecord& self) {
  Settings settings;
  settings.host = self.host;
  settings.data_centre = self.data_centre;
  settings.region = self.region;
  settings.control_address = self.control_address;
  settings.profile = "convergence";
  settings.probe_interval_ms = 1000;
  settings.suspicion_ms = 5000;
  return settings;
}

// A node that knows all members, has answered their news and is at rest.
std::unique_ptr<ClusterNode> MakeNode(const std::vector<MemberRecord>& members, TimePoint now) {
  auto node = std::move(
      GetValue(ClusterNode::Create(MakeNodeSettings(members[0]), members[0].incarnation, now, 1)));
  ListMembersReply reply;
  reply.members.assign(members.begin() + 1, members.end());
  node->HandleMembers(reply, now);
  return node;
}

// One second of a daemon at rest: 10 ticks, one probe of a peer with its acknowledgement,
// one probe by a peer, encoding and decoding included.
void RunSecond(ClusterNode& node, const std::vector<MemberRecord>& members, TimePoint& now,
               std::size_t& peer) {
  constexpr int kTicks = 10;
  for (int tick = 0; tick < kTicks; ++tick) {
    now += MemberProber::kTickInterval;
    for (const ClusterAction& action : node.Tick(now)) {
      const auto* send = std::get_if<SendDatagram>(&action);
      if (send == nullptr || send->datagram.kind != GossipKind::kProbe) {
        continue;
      }
      GossipDatagram probe;
      Decode(Encode(send->datagram), probe);
      for (const MemberRecord& member : members) {
        if (member.control_address == send->address) {
          GossipDatagram ack;
          ack.kind = GossipKind::kAck;
          ack.sender_host = member.host;
          ack.sender_incarnation = member.incarnation;
          ack.probe_id = probe.probe_id;
          ack.subject_host = member.host;
          GossipDatagram received;
          Decode(Encode(ack), received);
          node.HandleDatagram(received, member.control_address, now);
        }
      }
    }
  }
  // Every eighth record is of the own data centre.
  peer = (peer + kPlacesOfMembers) % members.size();
  const MemberRecord& sender = members[peer == 0 ? kPlacesOfMembers : peer];
  GossipDatagram probe;
  probe.kind = GossipKind::kProbe;
  probe.sender_host = sender.host;
  probe.sender_incarnation = sender.incarnation;
  probe.probe_id = static_cast<std::uint64_t>(now.time_since_epoch().count());
  GossipDatagram received;
  Decode(Encode(probe), received);
  for (const ClusterAction& action : node.HandleDatagram(received, sender.control_address, now)) {
    if (const auto* send = std::get_if<SendDatagram>(&action)) {
      Encode(send->datagram);
    }
  }
}

void MeasureMembers() {
  CostSlope memory("ClusterNode with member table, heap bytes by members", "member");
  CostSlope tick("ClusterNode::Tick, us by members", "member");
  CostSlope second("gossip of a daemon at rest, us of processor time a second by members",
                   "member");
  CostSlope relay("ClusterNode::AnswerRelay without differences, us by members", "member");
  CostSlope list("ListMembersReply, bytes by members", "member");
  for (const std::size_t count : kMemberCounts) {
    const auto size = static_cast<double>(count);
    std::vector<MemberRecord> members = MakeSyntheticMembers(count);
    TimePoint now{std::chrono::seconds(1)};
    const std::size_t before = mallinfo2().uordblks;
    const std::unique_ptr<ClusterNode> node = MakeNode(members, now);
    memory.Add(size, static_cast<double>(mallinfo2().uordblks - before));
    std::size_t peer = 0;
    second.Add(size, MeasureMicroseconds([&] { RunSecond(*node, members, now, peer); }));
    tick.Add(size, MeasureMicroseconds([&] { node->Tick(now); }));
    RelayExchangeRequest request;
    request.data_centre = "dc-1";
    RelayExchangeReply all;
    node->HandleRelayRequest(request, all, now);
    request.digests = all.digests;
    for (DataCentreDigest& digest : request.digests) {
      digest.bucket_hashes.clear();
    }
    relay.Add(size, MeasureMicroseconds([&] {
                RelayExchangeReply reply;
                node->HandleRelayRequest(request, reply, now);
                Encode(reply);
              }));
    ListMembersReply reply;
    reply.members = members;
    list.Add(size, static_cast<double>(Encode(reply).size()));
  }
  memory.Print();
  tick.Print();
  second.Print();
  relay.Print();
  list.Print();
}

void MeasureSubmissions() {
  CostSlope json("JSON-RPC submission, bytes by KB of text", "KB");
  CostSlope compact("the same as an encoded RulesVersion, bytes by KB of text", "KB");
  for (const std::size_t routes : kRouteCounts) {
    const std::string text = MakeSyntheticRules(routes);
    const double kilobytes = static_cast<double>(text.size()) / 1000;
    std::size_t size = 0;
    AdminRpcClient client([&size](const std::string& body) {
      size = body.size();
      return std::string("{}");
    });
    client.Submit(text, "Maria Pruitt", "12", "submission-1", false);
    json.Add(kilobytes, static_cast<double>(size));
    RulesVersion version;
    version.parent.number = 12;
    version.submission_id = "submission-1";
    version.operator_name = "Maria Pruitt";
    version.text = text;
    compact.Add(kilobytes, static_cast<double>(Encode(version).size()));
  }
  json.Print();
  compact.Print();
}

}  // namespace
}  // namespace lacewingbridge

int main() {
  lacewingbridge::MeasureRules();
  lacewingbridge::MeasureSnapshots();
  lacewingbridge::MeasureMembers();
  lacewingbridge::MeasureClaims();
  lacewingbridge::MeasureSubmissions();
  return 0;
}
