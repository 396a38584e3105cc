#include "Fakes/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Retry/request_facts.h"
#include "Retry/resend_delay.h"

namespace lacewingbridge {

namespace {

// One-way network delays between hosts.
constexpr Duration kDelayInDataCentre = std::chrono::microseconds(300);
constexpr Duration kDelayInRegion = std::chrono::microseconds(1200);
constexpr Duration kDelayBetweenRegions = std::chrono::microseconds(8500);
constexpr Duration kExpiryInterval = std::chrono::milliseconds(25);

}  // namespace

FleetSimulation::FleetSimulation(const FleetLoad& fleet_load, std::uint64_t seed)
    : load(fleet_load), random(seed) {
  std::vector<HostRecord> hosts;
  for (std::size_t i = 0; i < load.targets; ++i) {
    Target target{TargetAdmission(), LinkSchedule(load.link_bytes_per_second), FailureThrottle(),
                  load.speeds[(i / load.data_centres) % load.speeds.size()]};
    target.admission.SetSlots(TimePoint(), load.slots);
    this->targets.push_back(std::move(target));
    hosts.push_back(this->MakeHost(i));
  }
  for (std::size_t i = 0; i < load.daemons; ++i) {
    const HostRecord self = this->MakeHost(i);
    HopPlacement placement(self.host, self.data_centre, self.region);
    placement.UpdateHosts(hosts);
    this->placements.push_back(std::move(placement));
  }
  this->result.responses_by_target.resize(load.targets);
  this->result.arrived_by_workspace.resize(load.workspaces);
  this->result.served_by_workspace.resize(load.workspaces);
  this->result.refusals_by_workspace.resize(load.workspaces);
  this->result.refused_hops_by_workspace.resize(load.workspaces);
}

HostRecord FleetSimulation::MakeHost(std::size_t number) const {
  const std::size_t data_centre = number % this->load.data_centres;
  HostRecord record;
  record.host = std::to_string(number);
  record.peer_address = record.host;
  record.data_centre = std::to_string(data_centre);
  record.region = std::to_string(data_centre % this->load.regions);
  record.target = LocalTargetRecord{"book", "t" + record.host, 1, this->load.slots, true};
  return record;
}

bool FleetSimulation::IsFailing(std::size_t target) const {
  return target < this->load.failing_targets && this->now >= TimePoint() + this->load.failing_from;
}

Duration FleetSimulation::GetNetworkDelay(std::size_t caller, std::size_t target) const {
  const std::size_t from = caller % this->load.data_centres;
  const std::size_t to = target % this->load.data_centres;
  if (from == to) {
    return kDelayInDataCentre;
  }
  return from % this->load.regions == to % this->load.regions ? kDelayInRegion
                                                              : kDelayBetweenRegions;
}

void FleetSimulation::Schedule(TimePoint at, std::function<void()> action) {
  this->events.push({at, ++this->last_event, std::move(action)});
}

std::size_t FleetSimulation::FindBestTarget(const Request& request) const {
  const auto expect = [&](std::size_t number) {
    const Target& target = this->targets[number];
    const double pace = this->GetPace(number) / target.speed;
    const Duration queue = target.admission.EstimateWait(this->now, this->GetPriority(request)) +
                           FromSeconds(target.inbound * pace / this->load.slots);
    const auto work = std::chrono::duration<double>(this->GetMeanWork(request)).count();
    return queue + FromSeconds(work * pace) + this->GetNetworkDelay(request.caller, number) * 2;
  };
  const auto was_refused_by = [&](std::size_t number) {
    return std::find(request.refused_by.begin(), request.refused_by.end(),
                     std::to_string(number)) != request.refused_by.end();
  };
  std::size_t best = 0;
  for (std::size_t i = 1; i < this->targets.size(); ++i) {
    if (was_refused_by(best) || (!was_refused_by(i) && expect(i) < expect(best))) {
      best = i;
    }
  }
  return best;
}

FleetResult FleetSimulation::Run(Duration length) {
  this->AddArrivals(length);
  for (std::size_t i = 0; i<this->load.targets&& this->load.slow_share> 0; ++i) {
    this->ChangePace(i, length);
  }
  TimePoint next_expiry;
  while (!this->events.empty()) {
    const Event event = this->events.top();
    this->events.pop();
    for (; next_expiry <= event.at; next_expiry += kExpiryInterval) {
      this->now = next_expiry;
      for (Target& target : this->targets) {
        this->Apply(target.admission.Expire(this->now));
      }
    }
    this->now = event.at;
    event.action();
  }
  return this->result;
}

void FleetSimulation::Place(RequestId id) {
  Request& request = this->requests.at(id);
  HopPlacement& placement = this->placements[request.caller];
  const HopRequirements requirements{request.objective_at - this->now, request.deadline - this->now,
                                     this->load.mean_response_bytes, GetWorkClass(request),
                                     this->GetWork(request)};
  if (request.refused_hops == 0) {
    request.share_refusals =
        placement.GetShareRefusals().FindPeers(this->now, this->GetWork(request)).size();
    if (request.share_refusals >= kMaxRefusedHops) {
      this->RefuseToCaller(id, true);
      return;
    }
  }
  std::optional<HopChoice> choice =
      placement.Choose(this->now, requirements, request.refused_by, this->random);
  if (this->load.perfect_knowledge) {
    choice = HopChoice{std::to_string(this->FindBestTarget(request)), {}, std::nullopt, {}};
  }
  if (!choice.has_value()) {
    this->RefuseToCaller(id);
    return;
  }
  request.target = static_cast<std::size_t>(std::stoul(choice->peer_address));
  request.has_alternatives = choice->has_alternatives;
  placement.RecordStart(choice->peer_address);
  this->targets[request.target].inbound +=
      std::chrono::duration<double>(this->GetMeanWork(request)).count();
  const std::size_t regions = this->load.regions;
  this->result.remote_hops += request.caller % this->load.data_centres % regions !=
                                      request.target % this->load.data_centres % regions
                                  ? 1
                                  : 0;
  this->Schedule(this->now + this->GetNetworkDelay(request.caller, request.target),
                 [this, id] { this->Offer(id); });
}

void FleetSimulation::Offer(RequestId id) {
  Request& request = this->requests.at(id);
  Target& target = this->targets[request.target];
  target.inbound -= std::chrono::duration<double>(this->GetMeanWork(request)).count();
  if (!target.throttle.TryAdmit()) {
    this->Refuse(id);
    return;
  }
  WorkOffer offer;
  offer.id = id;
  offer.priority = this->GetPriority(request);
  offer.work_class = GetWorkClass(request);
  offer.objective_at = request.objective_at;
  offer.deadline = request.deadline;
  offer.has_alternatives = request.has_alternatives;
  offer.workspace = request.workspace;
  const auto expected_bytes = static_cast<std::uint64_t>(this->load.mean_response_bytes);
  offer.transfer = target.link.GetTransferTime(expected_bytes);
  offer.link_free_at = this->now + target.link.EstimateWait(this->now);
  const AdmissionVerdict verdict = target.admission.Offer(this->now, offer);
  if (verdict == AdmissionVerdict::kAdmitted || verdict == AdmissionVerdict::kQueued) {
    target.link.AddExpectedResponse(id, expected_bytes);
  }
  if (verdict == AdmissionVerdict::kAdmitted) {
    this->Begin(id);
  } else if (verdict != AdmissionVerdict::kQueued) {
    this->Refuse(id, verdict == AdmissionVerdict::kRefusedBeyondShare);
  }
}

void FleetSimulation::Begin(RequestId id) {
  this->requests.at(id).started_at = this->now;
  if (this->IsFailing(this->requests.at(id).target)) {
    this->requests.at(id).fails = true;
    this->Schedule(this->now + this->load.failure_time, [this, id] { this->End(id); });
    return;
  }
  const Target& target = this->targets[this->requests.at(id).target];
  std::lognormal_distribution<double> spread(-this->load.work_spread * this->load.work_spread / 2,
                                             this->load.work_spread);
  const double work =
      std::chrono::duration<double>(this->GetMeanWork(this->requests.at(id))).count() *
      spread(this->random) * this->GetPace(this->requests.at(id).target);
  this->Schedule(this->now + FromSeconds(work / target.speed), [this, id] { this->End(id); });
}

void FleetSimulation::End(RequestId id) {
  const Request& request = this->requests.at(id);
  Target& target = this->targets[request.target];
  ++this->result.responses_by_target[request.target];
  this->result.slot_time += this->now - request.started_at;
  target.link.RemoveExpectedResponse(id);
  const Duration on_link = target.link.Reserve(this->now, request.response_bytes) +
                           target.link.GetTransferTime(request.response_bytes);
  target.throttle.RecordEnd(request.fails);
  if (this->load.slow_share > 0 && this->load.states_work_percent) {
    target.admission.RecordWorkPercent(
        this->now, static_cast<std::uint32_t>(std::lround(this->GetPace(request.target) * 100)));
  }
  this->Apply(target.admission.Finish(this->now, id, !request.fails));
  const HopReport report = this->MakeReport(request);
  this->Schedule(this->now + on_link + this->GetNetworkDelay(request.caller, request.target),
                 [this, id, report] {
                   const Request& completed = this->requests.at(id);
                   HopPlacement& placement = this->placements[completed.caller];
                   const std::string peer = std::to_string(completed.target);
                   placement.RecordEnd(peer);
                   placement.RecordReport(this->now, peer, report);
                   placement.RecordShare(this->now, peer, this->GetWork(completed), report);
                   this->Deliver(id);
                 });
}

void FleetSimulation::Deliver(RequestId id) {
  const Request& request = this->requests.at(id);
  const Duration taken = this->now - request.arrived_at;
  if (!request.workspace.empty() && taken <= this->load.deadline) {
    ++this->result.served_by_workspace[std::stoul(request.workspace)];
  }
  this->result.times.push_back(std::min(taken, this->load.deadline));
  if (request.fails) {
    ++this->result.failed;
    this->result.failed_later += this->now >= TimePoint() + this->load.later_from ? 1 : 0;
  } else if (this->now <= request.objective_at) {
    ++this->result.on_time;
    this->result.on_time_light += request.weight_class;
  } else if (taken <= this->load.deadline) {
    ++this->result.late;
  }
}

void FleetSimulation::Refuse(RequestId id, bool beyond_share) {
  const Request& request = this->requests.at(id);
  ++this->result.refused_hops;
  Target& target = this->targets[request.target];
  target.link.RemoveExpectedResponse(id);
  target.link.Reserve(this->now, 0);
  HopReport report = this->MakeReport(request);
  if (beyond_share && this->load.states_share_wait) {
    report.share_wait_ms = static_cast<std::uint32_t>(
        CountMilliseconds(target.admission.GetShareWait(this->now, request.workspace)));
  }
  this->Schedule(this->now + this->GetNetworkDelay(request.caller, request.target),
                 [this, id, report] { this->HandleRefusal(id, report); });
}

void FleetSimulation::HandleRefusal(RequestId id, const HopReport& report) {
  Request& request = this->requests.at(id);
  HopPlacement& placement = this->placements[request.caller];
  const std::string peer = std::to_string(request.target);
  placement.RecordEnd(peer);
  placement.RecordReport(this->now, peer, report);
  placement.RecordShare(this->now, peer, this->GetWork(request), report);
  request.refused_by.push_back(peer);
  ++request.refused_hops;
  const std::size_t known = report.share_wait_ms > 0 ? request.share_refusals : 0;
  if (request.refused_hops + known >= kMaxRefusedHops) {
    this->RefuseToCaller(id, report.share_wait_ms > 0);
  } else {
    this->Place(id);
  }
}

void FleetSimulation::RefuseToCaller(RequestId id, bool beyond_share) {
  Request& request = this->requests.at(id);
  const HopPlacement& placement = this->placements[request.caller];
  Duration wait =
      placement.EstimateMinWait(this->now, this->GetWork(request)).value_or(Duration{0});
  if (beyond_share) {
    wait = std::max(wait,
                    placement.GetShareRefusals().GetLeastWait(this->now, this->GetWork(request)));
  }
  if (!request.workspace.empty()) {
    const std::size_t number = std::stoul(request.workspace);
    ++this->result.refusals_by_workspace[number];
    this->result.refused_hops_by_workspace[number] += request.refused_hops;
  }
  const std::optional<Duration> interval =
      ComputeResendDelay(wait, request.deadline - this->now,
                         (request.objective_at - request.arrived_at) / 2, this->random);
  if (request.resends_left-- <= 0 || !interval.has_value()) {
    ++this->result.refused;
    this->result.times.push_back(this->load.deadline);
    return;
  }
  request.refused_by.clear();
  request.refused_hops = 0;
  this->Schedule(this->now + *interval, [this, id] { this->Place(id); });
}

void FleetSimulation::Apply(const AdmissionRelease& release) {
  for (const RequestId id : release.admitted) {
    this->Begin(id);
  }
  for (const RequestId id : release.refused) {
    this->Refuse(id);
  }
}

HopReport FleetSimulation::MakeReport(const Request& request) const {
  const Target& target = this->targets[request.target];
  HopReport report;
  report.running = static_cast<std::uint32_t>(target.admission.GetRunningCount());
  report.waiting = static_cast<std::uint32_t>(target.admission.GetWaitingCount());
  report.slots = target.admission.GetSlots();
  report.expected_wait_ms = static_cast<std::uint32_t>(
      CountMilliseconds(target.admission.EstimateWait(this->now, this->GetPriority(request))));
  report.service_time_ms =
      static_cast<std::uint32_t>(CountMilliseconds(target.admission.GetServiceTimes().GetMean()));
  report.work_class = GetWorkClass(request);
  report.class_time_ms = static_cast<std::uint32_t>(
      CountMilliseconds(target.admission.GetServiceTimes().GetMeanOf(report.work_class)));
  const WorkPace& pace = target.admission.GetPace();
  if (pace.IsKnown()) {
    report.work_percent =
        static_cast<std::uint32_t>(std::lround(pace.EstimateFactor(this->now) * 100));
    report.work_lifetime_ms = static_cast<std::uint32_t>(CountMilliseconds(pace.GetLifetime()));
  }
  report.accepting = true;
  report.failing = target.throttle.IsThrottling();
  report.link_wait_ms =
      static_cast<std::uint32_t>(CountMilliseconds(target.link.EstimateWait(this->now)));
  report.link_bytes_per_second = target.link.GetRate();
  return report;
}

}  // namespace lacewingbridge
