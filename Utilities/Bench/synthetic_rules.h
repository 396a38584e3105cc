#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_SYNTHETIC_RULES_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_SYNTHETIC_RULES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "membership.h"

namespace lacewingbridge {

// A rules text with 39 services and the given number of routes.
std::string MakeSyntheticRules(std::size_t route_count);

// Records of hosts in 8 data centres of 2 regions, each with one target of one of the 39
// services.
std::vector<MemberRecord> MakeSyntheticMembers(std::size_t count);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_SYNTHETIC_RULES_H_
