#include "Proxy/mesh_state.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "Core/hash.h"

namespace lacewingbridge {

MeshState::MeshState(const MeshIdentity& daemon_identity, const RetryBound& fleet_bound)
    : identity(daemon_identity),
      retry_bound(fleet_bound),
      services(kShardCount, [] { return ServiceShard(); }),
      routes(kShardCount, [] { return RouteShard(); }) {}

template <typename Action>
decltype(auto) MeshState::WithService(std::string_view service, Action&& action) {
  return this->services.WithShard(HashBytes(service), [&](ServiceShard& shard) {
    auto found = shard.services.find(service);
    if (found == shard.services.end()) {
      // The retry bound is set with the next list of hosts. Until then nothing is retried.
      const MeshIdentity& self = this->identity;
      ServiceState state{HopPlacement(self.host, self.data_centre, self.region), {}};
      found = shard.services.emplace(std::string(service), std::move(state)).first;
    }
    return std::forward<Action>(action)(found->second);
  });
}

std::shared_ptr<const RouteIndex> MeshState::GetIndex() const {
  const std::lock_guard guard(this->index_mutex);
  return this->index;
}

std::uint64_t MeshState::GetTableVersion() const {
  const std::lock_guard guard(this->index_mutex);
  return this->GetVersion();
}

std::uint64_t MeshState::GetVersion() const {
  return this->index == nullptr ? 0 : this->index->GetTable().version;
}

bool MeshState::NeedsProof() const {
  return this->proof.GetBound() > Duration{0} && this->index != nullptr &&
         !this->index->GetTable().workspaces.empty();
}

std::optional<Duration> MeshState::GetProofAge(TimePoint now) const {
  const std::lock_guard guard(this->index_mutex);
  return this->NeedsProof() ? this->proof.GetAge(now) : std::nullopt;
}

bool MeshState::IsTableProven(TimePoint now) const {
  const std::lock_guard guard(this->index_mutex);
  return !this->NeedsProof() || this->proof.MayServeKeys(now);
}

void MeshState::SetRevokeBound(Duration bound) {
  const std::lock_guard guard(this->index_mutex);
  this->proof.SetBound(bound);
}

std::optional<Duration> MeshState::GetProofBound() const {
  const std::lock_guard guard(this->index_mutex);
  return this->NeedsProof() ? std::optional<Duration>(this->proof.GetBound()) : std::nullopt;
}

std::optional<TimePoint> MeshState::GetProvenAt() const {
  const std::lock_guard guard(this->index_mutex);
  return this->proof.GetProvenAt();
}

void MeshState::RecordNewestVersion(TimePoint sent, std::uint64_t version) {
  const std::lock_guard guard(this->index_mutex);
  if (this->NeedsProof()) {
    this->proof.RecordNewest(sent, version, this->GetVersion());
  }
}

void MeshState::RecordPeerProof(TimePoint sent, std::uint64_t version,
                                std::optional<std::uint32_t> age_ms) {
  if (!age_ms.has_value()) {
    return;
  }
  const std::lock_guard guard(this->index_mutex);
  if (this->NeedsProof()) {
    this->proof.RecordPeerProof(sent, std::chrono::milliseconds(*age_ms), version,
                                this->GetVersion());
  }
}

std::optional<std::uint32_t> MeshState::GetProofAgeMs(TimePoint now) const {
  const std::optional<Duration> age =
      this->NeedsProof() ? this->proof.GetAge(now) : std::optional<Duration>();
  if (!age.has_value()) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(*age).count());
}

void MeshState::FillVersion(TimePoint now, HopReport& report) const {
  const std::lock_guard guard(this->index_mutex);
  report.table_version = this->GetVersion();
  report.proof_age_ms = this->GetProofAgeMs(now);
}

Result<TableOffer> MeshState::OfferTable(RouteTable table) {
  if (table.version <= this->GetTableVersion()) {
    return TableOffer::kOlder;
  }
  Result<RouteIndex> created = RouteIndex::Create(std::move(table));
  if (!IsOk(created)) {
    return GetError(created);
  }
  auto next = std::make_shared<const RouteIndex>(std::move(GetValue(created)));
  const std::lock_guard guard(this->index_mutex);
  if (this->index != nullptr && next->GetTable().version <= this->index->GetTable().version) {
    return TableOffer::kOlder;
  }
  this->index = std::move(next);
  return TableOffer::kApplied;
}

void MeshState::MergeHost(TimePoint now, const HostRecord& record) {
  const std::lock_guard guard(this->hosts_mutex);
  const bool dropped = this->directory.DropRemoved(now);
  if (this->directory.Merge(record) || dropped) {
    this->PublishHosts();
  }
}

void MeshState::RemoveHost(TimePoint now, std::string_view host) {
  const std::lock_guard guard(this->hosts_mutex);
  this->directory.Remove(now, host);
}

void MeshState::ReplaceHosts(TimePoint now, std::span<const HostRecord> records) {
  const std::lock_guard guard(this->hosts_mutex);
  if (this->directory.ReplaceAll(now, records)) {
    this->PublishHosts();
  }
}

void MeshState::DropRemovedHosts(TimePoint now) {
  const std::lock_guard guard(this->hosts_mutex);
  if (this->directory.DropRemoved(now)) {
    this->PublishHosts();
  }
}

std::vector<HostRecord> MeshState::GetHosts() const {
  const std::lock_guard guard(this->hosts_mutex);
  return this->directory.GetHosts();
}

PeerProgress MeshState::GetProgress(TimePoint now) const {
  PeerProgress progress;
  {
    const std::lock_guard guard(this->index_mutex);
    progress.table_version = this->GetVersion();
    progress.proof_age_ms = this->GetProofAgeMs(now);
  }
  const std::lock_guard guard(this->hosts_mutex);
  const StorePosition position = this->directory.GetNewestPosition();
  progress.hosts_revision = position.revision;
  progress.hosts_era = position.era;
  return progress;
}

void MeshState::PublishHosts() {
  ++this->hosts_generation;
  const std::vector<HostRecord> hosts = this->directory.GetHosts();
  std::map<std::string, std::vector<HostRecord>, std::less<>> by_service;
  for (const HostRecord& record : hosts) {
    if (record.target.has_value()) {
      by_service[record.target->service].push_back(record);
    }
  }
  for (const auto& [service, records] : by_service) {
    this->WithService(service, [](ServiceState&) {});
  }
  // Daemons that have left may have used their part of the slack within the window, so the number
  // only grows while this daemon runs.
  this->retry_bound.daemons = std::max(this->retry_bound.daemons, hosts.size());
  this->services.ForEachShard([&](ServiceShard& shard) {
    for (auto& [name, state] : shard.services) {
      state.placement.UpdateHosts(by_service[name]);
      state.budget.SetBound(this->retry_bound);
    }
  });
}

void MeshState::SetRetryBound(const RetryBound& fleet_bound) {
  const std::lock_guard guard(this->hosts_mutex);
  const std::size_t daemons = this->retry_bound.daemons;
  this->retry_bound = fleet_bound;
  this->retry_bound.daemons = std::max(daemons, fleet_bound.daemons);
  this->PublishHosts();
}

std::string MeshState::PickDestination(const HostRoute& route, std::mt19937_64& random) {
  return this->routes.WithShard(HashBytes(route.name), [&](RouteShard& shard) {
    return route.destinations[shard.round_robin.Pick(route.name, route.destinations, random)]
        .service;
  });
}

TimePoint MeshState::FindFirstArrival(TimePoint now, std::string_view route,
                                      std::uint64_t fingerprint) {
  return this->routes.WithShard(HashBytes(route), [&](RouteShard& shard) {
    return shard.unserved_requests.FindFirstArrival(now, fingerprint);
  });
}

void MeshState::RecordUnserved(TimePoint first_arrival, std::string_view route,
                               std::uint64_t fingerprint) {
  this->routes.WithShard(HashBytes(route), [&](RouteShard& shard) {
    shard.unserved_requests.RecordUnserved(first_arrival, fingerprint);
  });
}

double MeshState::GetResponseBytes(std::string_view route) {
  return this->routes.WithShard(HashBytes(route), [&](RouteShard& shard) {
    const auto found = shard.response_bytes.find(route);
    return found == shard.response_bytes.end() ? 0.0 : found->second;
  });
}

void MeshState::RecordResponseBytes(std::string_view route, std::uint64_t bytes) {
  this->routes.WithShard(HashBytes(route), [&](RouteShard& shard) {
    const auto value = static_cast<double>(bytes);
    auto [found, added] = shard.response_bytes.try_emplace(std::string(route), value);
    found->second += (value - found->second) * kResponseBytesWeight;
  });
}

void MeshState::RecordRequest(TimePoint now, std::string_view service, double repeat_share) {
  this->WithService(service,
                    [&](ServiceState& state) { state.budget.RecordRequest(now, repeat_share); });
}

bool MeshState::HasRoomForCalls(TimePoint now, double repeated_runs, double runs) {
  bool has_room = true;
  this->services.ForEachShard([&](ServiceShard& shard) {
    for (const auto& [name, state] : shard.services) {
      has_room = has_room && state.budget.HasRoomForCalls(now, repeated_runs, runs);
    }
  });
  return has_room;
}

std::optional<HopChoice> MeshState::ChooseHop(TimePoint now, std::string_view service,
                                              const HopRequirements& requirements,
                                              std::span<const std::string> excluded,
                                              std::mt19937_64& random) {
  return this->WithService(service, [&](ServiceState& state) {
    return state.placement.Choose(now, requirements, excluded, random);
  });
}

void MeshState::RecordHopStart(std::string_view service, std::string_view peer_address) {
  this->WithService(service,
                    [&](ServiceState& state) { state.placement.RecordStart(peer_address); });
}

void MeshState::RecordHopEnd(TimePoint now, std::string_view service, const WorkspaceWork& work,
                             std::string_view peer_address, const HopReport* report, bool failed) {
  if (report != nullptr) {
    const std::lock_guard guard(this->hosts_mutex);
    this->directory.RecordResponse(now, peer_address);
  }
  this->WithService(service, [&](ServiceState& state) {
    state.placement.RecordEnd(peer_address);
    if (report != nullptr) {
      state.placement.RecordReport(now, peer_address, *report);
      state.placement.RecordShare(now, peer_address, work, *report);
    } else if (failed) {
      state.placement.RecordFailure(now, peer_address);
    }
  });
}

ProgressDecision MeshState::DecideNext(TimePoint now, std::string_view service, const HopEnd& end,
                                       RequestProgress& progress) {
  return this->WithService(
      service, [&](ServiceState& state) { return progress.HandleHopEnd(now, end, state.budget); });
}

std::optional<Duration> MeshState::EstimateMinWait(TimePoint now, std::string_view service,
                                                   const WorkspaceWork& work) {
  return this->WithService(
      service, [&](ServiceState& state) { return state.placement.EstimateMinWait(now, work); });
}

std::size_t MeshState::CountShareRefusals(TimePoint now, std::string_view service,
                                          const WorkspaceWork& work) {
  return this->WithService(service, [&](ServiceState& state) {
    return state.placement.GetShareRefusals().FindPeers(now, work).size();
  });
}

Duration MeshState::GetShareWait(TimePoint now, std::string_view service,
                                 const WorkspaceWork& work) {
  return this->WithService(service, [&](ServiceState& state) {
    return state.placement.GetShareRefusals().GetLeastWait(now, work);
  });
}

bool MeshState::IsBeyondShare(TimePoint now, std::string_view service, const WorkspaceWork& work,
                              std::span<const std::string> excluded) {
  return this->WithService(service, [&](ServiceState& state) {
    return state.placement.IsBeyondShare(now, work, excluded);
  });
}

}  // namespace lacewingbridge
