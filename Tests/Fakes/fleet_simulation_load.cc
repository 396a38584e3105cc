// The load of a simulated fleet.
#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

#include "Fakes/fleet_simulation.h"

namespace lacewingbridge {

double FleetLoad::CountServable() const {
  double speed = 0;
  for (std::size_t i = 0; i < this->targets; ++i) {
    speed += this->speeds[(i / this->data_centres) % this->speeds.size()];
  }
  const double work =
      (1 - this->light_share) * std::chrono::duration<double>(this->mean_work).count() +
      this->light_share * std::chrono::duration<double>(this->light_work).count();
  const double pace = 1 - this->slow_share + this->slow_share / this->slow_factor;
  return this->slots * speed * pace / work;
}

std::uint64_t FleetSimulation::DrawResponseBytes() {
  const double spread = this->load.response_spread;
  std::lognormal_distribution<double> factor(-spread * spread / 2, spread);
  return static_cast<std::uint64_t>(this->load.mean_response_bytes * factor(this->random));
}

void FleetSimulation::AddArrivals(Duration length) {
  std::exponential_distribution<double> gap(this->load.per_second * (1 + this->load.swing));
  std::bernoulli_distribution light(this->load.light_share);
  std::uniform_int_distribution<std::size_t> any(0, this->load.daemons - 1);
  for (TimePoint at; at - TimePoint() < length; at += FromSeconds(gap(this->random))) {
    Request request;
    request.caller = any(this->random);
    if (!this->IsInDemand(at, request.caller % this->load.data_centres)) {
      continue;
    }
    const RequestId id = ++this->last_id;
    request.weight_class = this->load.light_share > 0 && light(this->random) ? 1 : 0;
    request.response_bytes = this->DrawResponseBytes();
    this->SetWorkspace(request);
    request.arrived_at = at;
    const bool call = this->load.light_are_calls && request.weight_class == 1;
    request.objective_at = at + (call ? this->load.light_objective : this->load.objective);
    request.deadline = call ? request.objective_at : at + this->load.deadline;
    request.resends_left = call ? 0 : this->load.resends;
    this->result.arrived_light += request.weight_class;
    this->result.arrived_later += at >= TimePoint() + this->load.later_from ? 1 : 0;
    this->requests.emplace(id, std::move(request));
    this->Schedule(at, [this, id] { this->Place(id); });
  }
  this->result.arrived = static_cast<std::uint32_t>(this->requests.size());
}

void FleetSimulation::SetWorkspace(Request& request) {
  if (this->load.workspaces == 0) {
    return;
  }
  std::uniform_real_distribution<double> any(1 - this->load.hot_factor,
                                             static_cast<double>(this->load.workspaces));
  const auto number = static_cast<std::size_t>(std::max(any(this->random), 0.0));
  ++this->result.arrived_by_workspace[number];
  request.workspace = std::to_string(number);
}

bool FleetSimulation::IsInDemand(TimePoint at, std::size_t data_centre) {
  if (this->load.swing == 0) {
    return true;
  }
  const double phase =
      0.1 + 0.4 * static_cast<double>(data_centre) / static_cast<double>(this->load.data_centres);
  const double turn = std::chrono::duration<double>(at - TimePoint()) /
                          std::chrono::duration<double>(this->load.swing_period) +
                      phase;
  const double demand = 1 + this->load.swing * std::sin(2 * std::numbers::pi * turn);
  return std::bernoulli_distribution(demand / (1 + this->load.swing))(this->random);
}

void FleetSimulation::ChangePace(std::size_t target, Duration length) {
  this->targets[target].slow = std::bernoulli_distribution(this->load.slow_share)(this->random);
  std::exponential_distribution<double> interval(
      1 / std::chrono::duration<double>(this->load.slow_interval).count());
  const TimePoint next = this->now + FromSeconds(interval(this->random));
  if (next - TimePoint() < length) {
    this->Schedule(next, [this, target, length] { this->ChangePace(target, length); });
  }
}

double FleetSimulation::GetPace(std::size_t target) const {
  return this->targets[target].slow ? this->load.slow_factor : 1;
}

Duration FleetSimulation::GetMeanWork(const Request& request) const {
  return request.weight_class == 0 ? this->load.mean_work : this->load.light_work;
}

}  // namespace lacewingbridge
