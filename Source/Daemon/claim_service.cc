#include "Daemon/claim_service.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "Core/hash.h"
#include "Daemon/daemon_clock.h"
#include "Daemon/peer_client.h"
#include "Daemon/work_queue.h"
#include "Observe/event_log.h"

namespace lacewingbridge {

namespace {

ClaimLimits MakeLimits(const Settings& settings) {
  ClaimLimits limits;
  limits.retention = std::chrono::milliseconds(settings.claim_retention_ms);
  limits.key_capacity = settings.claim_capacity;
  return limits;
}

ClaimPlannerLimits MakePlannerLimits(const ClaimLimits& limits) {
  ClaimPlannerLimits planner;
  planner.claim_lifetime = limits.GetClaimLifetime();
  return planner;
}

}  // namespace

Result<std::unique_ptr<ClaimService>> ClaimService::Create(const Settings& settings,
                                                           std::uint64_t incarnation, TimePoint now,
                                                           PeerClient& peers, WorkQueue& work,
                                                           AddressFinder find_address) {
  Result<ClaimShards> shards = ClaimShards::Create(settings.host, incarnation, MakeLimits(settings),
                                                   settings.state_shards, GetUnixMilliseconds());
  if (!IsOk(shards)) {
    return GetError(shards);
  }
  return std::unique_ptr<ClaimService>(new ClaimService(settings, incarnation, now, peers, work,
                                                        std::move(find_address),
                                                        std::move(GetValue(shards))));
}

ClaimService::ClaimService(const Settings& settings, std::uint64_t own_incarnation, TimePoint now,
                           PeerClient& peer_client, WorkQueue& work_queue, AddressFinder finder,
                           ClaimShards tables)
    : host(settings.host),
      incarnation(own_incarnation),
      peers(peer_client),
      work(work_queue),
      find_address(std::move(finder)),
      shards(std::move(tables)),
      planner(MakePlannerLimits(MakeLimits(settings))),
      transfer(settings.host),
      isolation(now, settings.host, MakeLimits(settings).GetClaimLifetime()) {}

ClaimReply ClaimService::HandleClaim(const ClaimRequest& request, TimePoint now) {
  return this->shards.Claim(now, GetUnixMilliseconds(), request);
}

ClaimDoneReply ClaimService::HandleClaimDone(const ClaimDoneRequest& request, TimePoint now) {
  return this->shards.Finish(now, request);
}

ClaimTransferReply ClaimService::HandleClaimTransfer(const ClaimTransferRequest& request,
                                                     TimePoint now) {
  return this->shards.AcceptTransfer(now, request);
}

ClaimOwnerMap ClaimService::HandleOwnerMapRequest(const ClaimOwnerMapRequest& request) {
  const std::lock_guard guard(this->map_mutex);
  return this->view.GetEpoch() > request.have_epoch ? this->view.GetMap() : ClaimOwnerMap{};
}

std::string ClaimService::FindOwner(std::string_view key) {
  const std::lock_guard guard(this->map_mutex);
  return std::string(this->view.FindOwner(key));
}

std::optional<ClaimReply> ClaimService::SendClaim(const ClaimRequest& request, Duration limit) {
  const std::string owner = this->FindOwner(request.key);
  if (owner == this->host) {
    return this->HandleClaim(request, GetNow());
  }
  const std::string address = owner.empty() ? std::string() : this->find_address(owner);
  if (address.empty()) {
    return std::nullopt;
  }
  auto response = this->peers.Call<ClaimReply>(
      address, kClaimPath, request, std::chrono::duration_cast<std::chrono::milliseconds>(limit));
  if (std::holds_alternative<PeerFailure>(response)) {
    return std::nullopt;
  }
  return std::get<ClaimReply>(std::move(response));
}

bool ClaimService::SendReport(const ClaimDoneRequest& request) {
  const std::string owner = this->FindOwner(request.key);
  if (owner == this->host) {
    return this->HandleClaimDone(request, GetNow()).recorded;
  }
  const std::string address = owner.empty() ? std::string() : this->find_address(owner);
  if (address.empty()) {
    return false;
  }
  const auto response = this->peers.Call<ClaimDoneReply>(address, kClaimDonePath, request);
  const auto* reply = std::get_if<ClaimDoneReply>(&response);
  return reply != nullptr && reply->recorded;
}

void ClaimService::Report(const ClaimDoneRequest& request) {
  if (this->SendReport(request)) {
    return;
  }
  const std::lock_guard guard(this->report_mutex);
  this->reports.push_back({request, kReportAttempts, GetNow() + kReportRetryInterval});
}

void ClaimService::RetryReports(TimePoint now) {
  std::vector<PendingReport> due;
  {
    const std::lock_guard guard(this->report_mutex);
    const auto is_later = [now](const PendingReport& report) { return report.due > now; };
    const auto first_due =
        std::stable_partition(this->reports.begin(), this->reports.end(), is_later);
    due.assign(std::make_move_iterator(first_due), std::make_move_iterator(this->reports.end()));
    this->reports.erase(first_due, this->reports.end());
  }
  for (PendingReport& report : due) {
    if (this->SendReport(report.request) || --report.attempts_left == 0) {
      continue;
    }
    report.due = GetNow() + kReportRetryInterval;
    const std::lock_guard guard(this->report_mutex);
    this->reports.push_back(std::move(report));
  }
}

void ClaimService::FetchMap(const std::string& address) {
  const auto response = this->peers.Call<ClaimOwnerMap>(address, kClaimOwnerMapPath,
                                                        ClaimOwnerMapRequest{this->GetEpoch()});
  if (const auto* map = std::get_if<ClaimOwnerMap>(&response)) {
    this->AdoptMap(*map, GetNow());
  }
}

void ClaimService::RefreshMap(std::string_view key) {
  const std::string owner = this->FindOwner(key);
  const std::string address = owner.empty() ? std::string() : this->find_address(owner);
  if (!address.empty()) {
    this->FetchMap(address);
  }
}

std::uint64_t ClaimService::GenerateAttemptId() {
  // With 64 random bits, a collision becomes likely only after about 2^32 attempts.
  thread_local std::mt19937_64 generator{std::random_device{}()};
  std::uint64_t id = 0;
  while (id == 0) {
    id = generator();
  }
  return id;
}

bool ClaimService::AdoptMap(const ClaimOwnerMap& map, TimePoint now) {
  const std::lock_guard guard(this->map_mutex);
  if (!this->view.Adopt(map)) {
    return false;
  }
  this->shards.AdoptMap(now, this->view);
  this->transfer.AdoptMap(this->view);
  EventLog::Write(Event::kClaimOwnersChanged, "epoch={} hosts={}", map.epoch, map.hosts.size());
  return true;
}

std::uint64_t ClaimService::GetEpoch() {
  const std::lock_guard guard(this->map_mutex);
  return this->view.GetEpoch();
}

void ClaimService::RecordHost(std::string_view noted_host, std::uint64_t noted_incarnation,
                              ClaimHostStatus status, TimePoint now) {
  {
    const std::lock_guard guard(this->map_mutex);
    this->planner.NoteHost(now, noted_host, noted_incarnation, status);
  }
  if (!this->RecordStatus(noted_host, noted_incarnation, status)) {
    return;
  }
  // When a host is alive with an incarnation, its processes with a smaller one have ended.
  const bool gone = status == ClaimHostStatus::kGone;
  if (gone || noted_incarnation > 0) {
    const std::uint64_t last_gone = gone ? noted_incarnation : noted_incarnation - 1;
    this->shards.MarkCallerGone(now, noted_host, last_gone);
  }
}

bool ClaimService::RecordStatus(std::string_view noted_host, std::uint64_t noted_incarnation,
                                ClaimHostStatus status) {
  const std::lock_guard guard(this->map_mutex);
  const std::pair<std::uint64_t, ClaimHostStatus> noted(noted_incarnation, status);
  const auto [entry, added] = this->statuses.try_emplace(std::string(noted_host), noted);
  return added || std::exchange(entry->second, noted) != noted;
}

void ClaimService::RecordMessageFrom(std::string_view sender_host, TimePoint now) {
  const std::lock_guard guard(this->map_mutex);
  this->isolation.NoteHeard(now, sender_host);
}

std::optional<ClaimOwnerMap> ClaimService::Propose(bool store_has_no_map, TimePoint now) {
  const std::lock_guard guard(this->map_mutex);
  return this->planner.Propose(now, GetUnixMilliseconds(), this->view, store_has_no_map);
}

void ClaimService::Tick(TimePoint now) {
  std::vector<std::string> destinations;
  bool isolated = false;
  bool connected = false;
  {
    const std::lock_guard guard(this->map_mutex);
    isolated = this->isolation.IsIsolated(now, this->view);
    connected = this->isolation.IsConnected(now, this->view);
    destinations = this->transfer.ListDestinations();
  }
  this->shards.SetIsolated(isolated);
  this->shards.SetConnected(connected);
  for (const std::string& destination : destinations) {
    this->SendTransferPart(destination, now);
  }
  this->SendQueries(now);
  this->RetryReports(now);
}

void ClaimService::SendTransferPart(const std::string& to_host, TimePoint now) {
  std::optional<ClaimTransferRequest> part;
  {
    const std::lock_guard guard(this->map_mutex);
    part = this->transfer.MakePart(now, this->shards, to_host);
  }
  const std::string address = this->find_address(to_host);
  if (!part.has_value() || address.empty()) {
    return;
  }
  const auto response = this->peers.Call<ClaimTransferReply>(address, kClaimTransferPath, *part);
  if (const auto* reply = std::get_if<ClaimTransferReply>(&response)) {
    const std::lock_guard guard(this->map_mutex);
    this->transfer.HandleReply(this->shards, to_host, *part, *reply);
    if (part->complete && reply->accepted) {
      EventLog::Write(Event::kClaimsHandedOver, "to={} epoch={}", to_host, part->change_epoch);
    }
  }
}

void ClaimService::SendQueries(TimePoint now) {
  std::set<std::string> awaited;
  for (const ClaimWait& wait : this->shards.ListWaits(now)) {
    if (!wait.host.empty() && wait.host != this->host) {
      awaited.insert(wait.host);
    }
  }
  for (const std::string& from : awaited) {
    const std::string address = this->find_address(from);
    if (address.empty()) {
      continue;
    }
    ClaimTransferRequest query;
    {
      const std::lock_guard guard(this->map_mutex);
      query = this->transfer.MakeQuery();
    }
    const auto response = this->peers.Call<ClaimTransferReply>(address, kClaimTransferPath, query);
    if (const auto* reply = std::get_if<ClaimTransferReply>(&response)) {
      this->shards.ConfirmEpoch(now, from, reply->owner_map_epoch);
    }
  }
}

bool ClaimService::IsReleased() {
  const std::lock_guard guard(this->map_mutex);
  return !this->view.HasHost(this->host) && this->transfer.IsDone();
}

std::size_t ClaimService::CountKeys() { return this->shards.GetKeyCount(); }

}  // namespace lacewingbridge
