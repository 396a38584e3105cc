#include "Version/snapshot_builder.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "Rules/rules_document.h"
#include "Version/route_snapshot.h"

namespace lacewingbridge {

namespace {

// A target with the record of the host that announces it.
struct Announcement {
  const MemberRecord* member;
  const TargetRecord* target;
};

// A service that a route names, with all announcements of its targets.
struct RoutedService {
  ServiceRule rule;
  std::vector<Announcement> announcements;
};

// Ordered by name, which is the order of services in the snapshot.
using RoutedServices = std::map<std::string_view, RoutedService>;

// Collects the services that routes name. A document that did not come from the parser may name a
// service that it does not declare. Such a service gets default limits, so that every route has a
// service.
RoutedServices CollectServices(const RulesDocument& document) {
  RoutedServices services;
  for (const RouteRule& route : document.routes) {
    services[route.service].rule.name = route.service;
  }
  for (const ServiceRule& rule : document.services) {
    const auto position = services.find(rule.name);
    if (position != services.end()) {
      position->second.rule = rule;
    }
  }
  return services;
}

bool IsDraining(const Announcement& announcement) {
  return announcement.target->draining || announcement.member->state == MemberState::kDraining;
}

// Orders announcements by address. Two hosts announce the same address when one has replaced the
// other; the announcement that is more likely to be current then comes first.
bool Precedes(const Announcement& left, const Announcement& right) {
  const auto get_key = [](const Announcement& announcement) {
    const MemberRecord& member = *announcement.member;
    return std::make_tuple(std::string_view{announcement.target->address},
                           member.state == MemberState::kSuspect, IsDraining(announcement),
                           ~member.incarnation, ~member.sequence, std::string_view{member.host},
                           announcement.target->slots);
  };
  return get_key(left) < get_key(right);
}

// Returns the slots of a target. The rule can lower the number that the target announces but not
// raise it. Either value may be absent (0).
std::uint32_t GetSlots(const ServiceRule& rule, const TargetRecord& target) {
  if (rule.slots == 0 || target.slots == 0) {
    return std::max({rule.slots, target.slots, std::uint32_t{1}});
  }
  return std::min(rule.slots, target.slots);
}

std::vector<SnapshotEndpoint> BuildEndpoints(RoutedService& service) {
  std::vector<Announcement>& announcements = service.announcements;
  std::sort(announcements.begin(), announcements.end(), Precedes);
  std::vector<SnapshotEndpoint> endpoints;
  endpoints.reserve(announcements.size());
  for (const Announcement& announcement : announcements) {
    const auto& [member, target] = announcement;
    if (endpoints.empty() || endpoints.back().address != target->address) {
      endpoints.push_back({member->host, member->data_centre, member->region, target->address,
                           GetSlots(service.rule, *target), IsDraining(announcement)});
    }
  }
  return endpoints;
}

}  // namespace

std::shared_ptr<const RouteSnapshot> SnapshotBuilder::Build(
    VersionStamp version, std::shared_ptr<const RulesDocument> document,
    std::span<const MemberRecord> members) {
  RoutedServices named = CollectServices(*document);
  for (const MemberRecord& member : members) {
    if (member.state == MemberState::kDead) {
      continue;
    }
    for (const TargetRecord& target : member.targets) {
      const auto position = named.find(target.service);
      if (position != named.end() && !target.address.empty()) {
        position->second.announcements.push_back({&member, &target});
      }
    }
  }
  std::vector<SnapshotService> services;
  services.reserve(named.size());
  for (auto& [name, service] : named) {
    std::vector<SnapshotEndpoint> endpoints = BuildEndpoints(service);
    services.push_back({std::move(service.rule), std::move(endpoints)});
  }
  // The constructor is private, so std::make_shared cannot call it.
  return std::shared_ptr<const RouteSnapshot>(
      new RouteSnapshot(std::move(version), std::move(document), std::move(services)));
}

}  // namespace lacewingbridge
