#include "Fakes/fake_fleet.h"

#include <algorithm>

#include "Core/digest.h"

namespace lacewingbridge {

namespace {

// Each daemon ticks every 100 ms. The ticks of the daemons are spread over these steps, so
// that they do not all happen at the same time.
constexpr long long kStepsPerTick = 50;
constexpr Duration kStep = MemberProber::kTickInterval / kStepsPerTick;

MemberRecord MakeRecord(const FakeDataCentre& data_centre, std::size_t index) {
  MemberRecord record;
  record.host = data_centre.name + "-host-" + std::to_string(index);
  record.region = data_centre.region;
  record.data_centre = data_centre.name;
  record.control_address = "10.0." + std::to_string(index / 250) + "." +
                           std::to_string(index % 250) + ":7400@" + data_centre.name;
  record.incarnation = 1764846000000;
  record.state = MemberState::kAlive;
  record.targets.push_back({"orders", "10.0.0." + std::to_string(index) + ":8080", 9, false, 0});
  return record;
}

}  // namespace

FakeFleet::FakeFleet(const std::vector<FakeDataCentre>& data_centres, std::uint64_t seed)
    : network(seed) {
  std::vector<MemberRecord> records;
  for (const FakeDataCentre& data_centre : data_centres) {
    for (std::size_t i = 0; i < data_centre.daemon_count; ++i) {
      records.push_back(MakeRecord(data_centre, i));
    }
  }
  for (const MemberRecord& record : records) {
    this->index_by_address.emplace(record.control_address, this->daemons.size());
    this->daemons.push_back(
        std::make_unique<FakeDaemon>(record, this->network, seed + this->daemons.size()));
    for (const MemberRecord& other : records) {
      this->daemons.back()->table.MergeListed(other, this->now);
    }
  }
}

void FakeFleet::Step() {
  this->now += kStep;
  const auto phase = static_cast<std::size_t>(this->now.time_since_epoch() / kStep) %
                     static_cast<std::size_t>(kStepsPerTick);
  for (std::size_t i = phase; i < this->daemons.size(); i += kStepsPerTick) {
    const std::string& address = this->daemons[i]->GetAddress();
    if (!this->network.IsDown(address) && !this->network.IsPaused(address)) {
      this->daemons[i]->Tick(this->now);
    }
  }
  while (std::optional<FakePacket> packet = this->network.Take(this->now)) {
    const auto found = this->index_by_address.find(packet->to);
    if (found != this->index_by_address.end()) {
      this->daemons[found->second]->Deliver(*packet, this->now);
    }
  }
}

void FakeFleet::Run(Duration duration) {
  for (const TimePoint end = this->now + duration; this->now < end;) {
    this->Step();
  }
}

bool FakeFleet::RunUntil(Duration limit, const std::function<bool()>& condition) {
  for (const TimePoint end = this->now + limit; this->now < end;) {
    this->Run(MemberProber::kTickInterval);
    if (condition()) {
      return true;
    }
  }
  return false;
}

void FakeFleet::SetPaused(std::size_t index, bool paused) {
  this->network.SetPaused(this->Get(index).GetAddress(), paused, this->now);
}

void FakeFleet::SetDown(std::size_t index, bool down) {
  this->network.SetDown(this->Get(index).GetAddress(), down);
}

std::size_t FakeFleet::Count(const std::function<bool(const FakeDaemon&)>& predicate) const {
  return static_cast<std::size_t>(
      std::count_if(this->daemons.begin(), this->daemons.end(), [&](const auto& daemon) {
        return !this->network.IsDown(daemon->GetAddress()) &&
               !this->network.IsPaused(daemon->GetAddress()) && predicate(*daemon);
      }));
}

std::size_t FakeFleet::CountState(std::string_view host, MemberState state) const {
  return this->Count([&](const FakeDaemon& daemon) {
    const MemberRecord* record = daemon.table.Find(host);
    return record != nullptr && record->state == state;
  });
}

std::size_t FakeFleet::CountHolding(std::uint64_t number) const {
  return this->Count(
      [&](const FakeDaemon& daemon) { return daemon.node.GetHeld().number == number; });
}

VersionStamp FakeFleet::MakeStamp(std::uint64_t number) {
  return number == 0 ? VersionStamp{} : VersionStamp{number, ComputeDigest(std::to_string(number))};
}

RulesDeltaScript FakeFleet::MakeDelta(std::uint64_t number, std::size_t bytes) {
  RulesDeltaScript delta;
  delta.parent = MakeStamp(number - 1);
  delta.result = MakeStamp(number);
  delta.edits.push_back({40, 1, std::string(bytes, 'x')});
  return delta;
}

}  // namespace lacewingbridge
