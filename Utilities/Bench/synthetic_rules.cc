#include "synthetic_rules.h"

#include <fmt/core.h>

namespace lacewingbridge {

namespace {

constexpr std::size_t kServices = 39;
constexpr std::size_t kPlaces = 8;
constexpr std::size_t kPlacesPerRegion = 4;
constexpr std::uint64_t kIncarnation = 1'796'000'000'000;

}  // namespace

std::string MakeSyntheticRules(std::size_t route_count) {
  std::string text;
  for (std::size_t i = 0; i < kServices; ++i) {
    text += fmt::format(
        "service service-{} slots=9 connections=120 queue=64  # Maria Pruitt: desk\n", i);
  }
  for (std::size_t i = 0; i < route_count; ++i) {
    text += fmt::format(
        "route route-{} path=/area-{}/part-{} methods=GET service=service-{} idempotent=yes "
        "deadline=800ms retries=2  # Ana: lookups of area {}\n",
        i, i / 16, i % 16, i % kServices, i / 16);
  }
  return text;
}

std::vector<MemberRecord> MakeSyntheticMembers(std::size_t count) {
  std::vector<MemberRecord> members;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t place = i % kPlaces;
    MemberRecord record;
    record.host = fmt::format("host-{:04}", i);
    record.data_centre = fmt::format("dc-{}", place);
    record.region = fmt::format("region-{}", place / kPlacesPerRegion);
    record.control_address = fmt::format("10.{}.{}.{}:7501", place, i / 250, i % 250 + 1);
    record.incarnation = kIncarnation + i;
    record.sequence = 2;
    record.state = MemberState::kAlive;
    TargetRecord target;
    target.service = fmt::format("service-{}", i % kServices);
    target.address = fmt::format("10.{}.{}.{}:7502", place, i / 250, i % 250 + 1);
    target.slots = 9;
    target.incarnation = kIncarnation + i;
    record.targets.push_back(std::move(target));
    members.push_back(std::move(record));
  }
  return members;
}

}  // namespace lacewingbridge
