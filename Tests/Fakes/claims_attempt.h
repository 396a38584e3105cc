#ifndef LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_ATTEMPT_H_
#define LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_ATTEMPT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Core/time_point.h"

namespace lacewingbridge {

// One attempt of a request, with the gate that decides on it and what the test knows about
// its course.
template <typename Gate>
struct ClaimsAttempt {
  Gate gate;
  // Index and incarnation of the daemon that makes the attempt.
  std::size_t host;
  std::uint64_t incarnation;
  // Number of the key in ClaimsKeys.
  std::size_t key;
  // When the request was sent to a target, if it was.
  std::optional<TimePoint> started{};
  bool running = false;
  // The result of the run was that no target ran the request.
  bool reported_not_run = false;
  // The caller received a refusal as not run.
  bool refused_as_not_run = false;
  // Whether the request ran or may have run.
  bool HasRun() const { return this->started.has_value() && !this->reported_not_run; }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_ATTEMPT_H_
