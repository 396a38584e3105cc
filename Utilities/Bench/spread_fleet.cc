#include "spread_fleet.h"

#include <fmt/core.h>

#include <algorithm>
#include <utility>

#include "membership_codec.h"
#include "peer_codec.h"
#include "processor_clock.h"

namespace lacewingbridge {

namespace {

constexpr Duration kTickInterval = MemberProber::kTickInterval;
constexpr Duration kPeerTimeout = std::chrono::seconds(2);
constexpr std::uint64_t kIncarnation = 1'796'000'000'000;
constexpr std::size_t kSeeds = 3;

std::string MakeAddress(std::size_t index) {
  return fmt::format("10.0.{}.{}:7501", index / 250, index % 250 + 1);
}

Settings MakeSettings(std::size_t index, std::size_t data_centre, const std::string& profile) {
  Settings settings;
  settings.host = fmt::format("host-{:04}", index);
  settings.data_centre = fmt::format("dc-{}", data_centre);
  settings.region = fmt::format("region-{}", SpreadNetwork::GetRegion(data_centre));
  settings.control_address = MakeAddress(index);
  settings.profile = profile;
  settings.probe_interval_ms = 1000;
  settings.suspicion_ms = 5000;
  // The first daemons of each region, so that a restart does not depend on one of them.
  for (std::size_t i = 0; i < kSeeds; ++i) {
    settings.seed_addresses.push_back(MakeAddress(i));
    settings.seed_addresses.push_back(MakeAddress(kDataCentres / kRegions + i));
  }
  return settings;
}

}  // namespace

SpreadFleet::SpreadFleet(SpreadNetwork& shared_network, SpreadStore& shared_store, std::size_t size,
                         const std::string& profile, std::uint64_t seed)
    : network(shared_network),
      store(shared_store),
      region_scope(profile != "convergence"),
      random(seed) {
  for (std::size_t i = 0; i < size; ++i) {
    this->AddNode(i, size, profile);
  }
}

void SpreadFleet::AddNode(std::size_t index, std::size_t size, const std::string& profile) {
  auto node = std::make_unique<Node>();
  node->data_centre = index % kDataCentres;
  const Settings settings = MakeSettings(index, node->data_centre, profile);
  node->address = settings.control_address;
  node->scope =
      this->region_scope ? "region/" + settings.region : "data_centre/" + settings.data_centre;
  const TimePoint now = this->network.GetNow();
  node->cluster =
      std::move(GetValue(ClusterNode::Create(settings, kIncarnation + index, now, this->random())));
  WatchElectionSettings election;
  election.scope = node->scope;
  election.host = settings.host;
  node->election = std::make_unique<WatchElection>(election, now, this->random);
  Node* const added = node.get();
  this->by_address[node->address] = added;
  this->nodes.push_back(std::move(node));
  // Ticks of the daemons are spread over the interval.
  const Duration offset =
      kTickInterval * static_cast<std::int64_t>(index) / static_cast<std::int64_t>(size);
  this->network.Schedule(now + offset, [this, added] { this->Tick(*added); });
  this->WakeElection(*added, now + offset);
}

template <typename Action>
auto SpreadFleet::Measure(Action&& action) {
  const bool outer = !std::exchange(this->measuring, true);
  const double before = GetProcessorNanoseconds();
  auto result = action();
  if (outer) {
    this->measuring = false;
    this->processor_time += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::nano>(GetProcessorNanoseconds() - before));
  }
  return result;
}

void SpreadFleet::Tick(Node& node) {
  SpreadRelayRole role;
  role.watching = this->IsActing(node);
  role.store_reachable = node.store_reachable;
  this->Perform(node, this->Measure([&] {
    node.cluster->SetRole(role);
    return node.cluster->Tick(this->network.GetNow());
  }));
  this->network.Schedule(this->network.GetNow() + kTickInterval,
                         [this, &node] { this->Tick(node); });
}

void SpreadFleet::Perform(Node& node, const ClusterActions& actions) {
  for (const ClusterAction& action : actions) {
    std::visit([&](const auto& one) { this->PerformOne(node, one); }, action);
  }
}

SpreadFleet::Node* SpreadFleet::FindNode(const std::string& address) {
  const auto found = this->by_address.find(address);
  return found == this->by_address.end() ? nullptr : found->second;
}

void SpreadFleet::PerformOne(Node& node, const SendDatagram& action) {
  Node* const peer = this->FindNode(action.address);
  if (peer == nullptr) {
    return;
  }
  std::string bytes = this->Measure([&] { return Encode(action.datagram); });
  const std::size_t size = bytes.size() + kDatagramHeadBytes;
  this->network.Send(node.data_centre, peer->data_centre, TrafficKind::kGossip, size,
                     [this, peer, &node, bytes = std::move(bytes)] {
                       this->Perform(*peer, this->Measure([&] {
                         GossipDatagram datagram;
                         Decode(bytes, datagram);
                         return peer->cluster->HandleDatagram(datagram, node.address,
                                                              this->network.GetNow());
                       }));
                     });
}

void SpreadFleet::PerformOne(Node& node, const SpreadApply& action) {
  if (action.delta.parent.number == node.held) {
    this->Hold(node, action.delta.result.number);
  }
}

void SpreadFleet::PerformOne(Node& node, const SpreadFetch& action) {
  Node* const peer = this->FindNode(action.source.address);
  const auto fail = [this, &node, host = action.source.host] {
    this->Perform(node, node.cluster->HandleFetchEnd(host, false, this->network.GetNow()));
  };
  const bool sent =
      peer != nullptr &&
      this->network.Send(node.data_centre, peer->data_centre, TrafficKind::kFetch,
                         kRequestHeadBytes + Encode(FetchRulesRequest{action.have}).size(),
                         [this, peer, &node, action, fail] {
                           const std::size_t number = peer->held;
                           const bool has_delta = number > 1 && action.have.number + 1 == number;
                           FetchRulesReply reply;
                           if (has_delta) {
                             reply.delta = this->store.GetHead(number).delta;
                           } else if (number > 0) {
                             reply.whole.emplace().text = this->store.GetText(number);
                           }
                           const std::size_t size = Encode(reply).size();
                           this->network.Send(
                               peer->data_centre, node.data_centre, TrafficKind::kFetch,
                               kAnswerHeadBytes + size, [this, &node, action, number] {
                                 this->Hold(node, number);
                                 this->Perform(
                                     node, node.cluster->HandleFetchEnd(action.source.host, true,
                                                                        this->network.GetNow()));
                               });
                         });
  if (!sent) {
    this->network.Schedule(this->network.GetNow() + kPeerTimeout, fail);
  }
}

void SpreadFleet::PerformOne(Node& node, const RelayCall& action) {
  Node* const peer = this->FindNode(action.address);
  const std::string request = this->Measure([&] { return Encode(action.request); });
  const auto answer = [this, peer, &node, request, name = action.data_centre] {
    RelayExchangeReply reply;
    const std::string bytes = this->Measure([&] {
      RelayExchangeRequest decoded;
      Decode(request, decoded);
      this->Perform(*peer,
                    peer->cluster->HandleRelayRequest(decoded, reply, this->network.GetNow()));
      return Encode(reply);
    });
    this->network.Send(peer->data_centre, node.data_centre, TrafficKind::kRelay,
                       kAnswerHeadBytes + bytes.size(), [this, &node, bytes, name] {
                         this->Perform(node, this->Measure([&] {
                           RelayExchangeReply decoded;
                           Decode(bytes, decoded);
                           return node.cluster->HandleRelayReply(name, decoded,
                                                                 this->network.GetNow());
                         }));
                       });
  };
  const bool sent = peer != nullptr &&
                    this->network.Send(node.data_centre, peer->data_centre, TrafficKind::kRelay,
                                       kRequestHeadBytes + request.size(), answer);
  if (!sent) {
    this->network.Schedule(
        this->network.GetNow() + kPeerTimeout, [this, &node, name = action.data_centre] {
          this->Perform(node, node.cluster->HandleRelayFailure(name, this->network.GetNow()));
        });
  }
}

void SpreadFleet::PerformOne(Node& node, const JoinAskPeer& action) {
  Node* const peer = this->FindNode(action.address);
  if (peer == nullptr) {
    return;
  }
  const ListMembersRequest request{node.cluster->GetOwnRecord()};
  this->network.Send(
      node.data_centre, peer->data_centre, TrafficKind::kJoin,
      kRequestHeadBytes + Encode(request).size(), [this, peer, &node, request] {
        ListMembersReply reply;
        this->Perform(*peer,
                      peer->cluster->HandleMembersRequest(request, reply, this->network.GetNow()));
        this->network.Send(peer->data_centre, node.data_centre, TrafficKind::kJoin,
                           kAnswerHeadBytes + Encode(reply).size(), [this, &node, reply] {
                             this->Perform(
                                 node, node.cluster->HandleMembers(reply, this->network.GetNow()));
                           });
      });
}

void SpreadFleet::PerformOne(Node& node, const JoinReadStoreSeeds& /*action*/) {
  this->store.Read(node.data_centre, 0, [](bool) {});
}

void SpreadFleet::PerformOne(Node& node, const JoinReadStoreHead& /*action*/) {
  const std::size_t number = this->store.GetNumber();
  const std::size_t size = this->store.GetText(number).size();
  this->store.Read(node.data_centre, 0, [this, &node, number, size](bool answered) {
    if (!answered) {
      return;
    }
    if (number <= node.held) {
      node.cluster->HandleStoreHead();
      return;
    }
    this->store.Read(node.data_centre, size, [this, &node, number](bool read) {
      if (read) {
        this->Hold(node, number);
        node.cluster->HandleStoreHead();
      }
    });
  });
}

void SpreadFleet::Hold(Node& node, std::size_t number) {
  if (number <= node.held) {
    return;
  }
  node.held = number;
  node.held_at.resize(number, this->network.GetNow());
  const RulesHead& head = this->store.GetHead(number);
  this->Perform(node, this->Measure([&] {
    return node.cluster->HandleHeld(head.stamp, head.delta, this->network.GetNow());
  }));
}

std::optional<TimePoint> SpreadFleet::GetConvergence(std::size_t number,
                                                     std::optional<std::size_t> region) {
  TimePoint latest;
  for (const std::unique_ptr<Node>& node : this->nodes) {
    if (region.has_value() && SpreadNetwork::GetRegion(node->data_centre) != *region) {
      continue;
    }
    if (node->held < number) {
      return std::nullopt;
    }
    latest = std::max(latest, node->held_at.at(number - 1));
  }
  return latest;
}

std::size_t SpreadFleet::CountReady() {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->nodes, [](const std::unique_ptr<Node>& node) { return node->cluster->IsReady(); }));
}

std::size_t SpreadFleet::CountKnownMembers() {
  std::size_t lowest = this->nodes.size();
  for (const std::unique_ptr<Node>& node : this->nodes) {
    lowest = std::min(lowest, node->cluster->ListMembers().size());
  }
  return lowest;
}

}  // namespace lacewingbridge
