#ifndef LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_ATTEMPT_H_
#define LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_ATTEMPT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Core/time_point.h"

namespace lacewingbridge {

// One attempt at a request and what the test knows of it.
template <typename Gate>
struct ClaimsAttempt {
  Gate gate;
  std::size_t host;
  std::uint64_t incarnation;
  std::size_t key;
  std::optional<TimePoint> started{};
  bool running = false;
  bool surely_not_run = false;
  bool told_not_run = false;
  bool HasRun() const { return this->started.has_value() && !this->surely_not_run; }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_ATTEMPT_H_
