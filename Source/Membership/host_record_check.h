#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_HOST_RECORD_CHECK_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_HOST_RECORD_CHECK_H_

#include <cstdint>
#include <string_view>

#include "Core/result.h"

namespace lacewingbridge {

struct HostRecord;

// Maximum number of slots of a target. A larger number is an error of its writer, and would draw
// all requests of the service to one target.
inline constexpr std::uint32_t kMaxTargetSlots = 10'000;

// Checks a record that was read from the store as the one of that host. Anyone who can write to the
// store can leave a record there, and an odd one must not replace a sound one or attract requests.
Status CheckHostRecord(const HostRecord& record, std::string_view host);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_HOST_RECORD_CHECK_H_
