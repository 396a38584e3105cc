#ifndef LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_RUNNER_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_RUNNER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <random>
#include <string>

#include "Fuzz/fuzz_options.h"
#include "Fuzz/fuzz_step.h"

namespace lacewingbridge {

// An invariant violation and the history that reproduces it. Shrink removes steps from the
// history that the violation does not need.
struct FuzzFailure {
  std::uint64_t seed = 0;
  std::string violation;
  FuzzSteps steps;
};

// Runs random histories against a simulated system (World) and shrinks the first history that
// violates an invariant. A World is constructed from a seed and has the members RunStep(step),
// Finish(), the static Describe(step), and GetViolation(), which returns an empty string while
// every invariant holds.
template <typename World>
class FuzzRunner {
 public:
  explicit FuzzRunner(const FuzzOptions& fuzz_options) : options(fuzz_options) {}

  // Returns the first failure, with its complete history, or nullopt if all runs pass.
  std::optional<FuzzFailure> Run() {
    for (std::size_t run = 0; run < this->options.runs; ++run) {
      const std::uint64_t seed = this->options.first_seed + run;
      FuzzSteps steps = MakeSteps(seed, this->options.steps);
      std::string violation = this->RunSteps(seed, steps);
      if (!violation.empty()) {
        return FuzzFailure{seed, std::move(violation), std::move(steps)};
      }
    }
    return std::nullopt;
  }

  // Removes parts of the history, from halves down to single steps, and keeps each removal
  // after which some invariant is still violated. Runs at most max_tries shorter histories.
  void Shrink(FuzzFailure& failure, std::size_t max_tries) {
    for (std::size_t size = failure.steps.size() / 2; size > 0; size /= 2) {
      for (std::size_t start = 0; start < failure.steps.size() && max_tries > 0; --max_tries) {
        FuzzSteps rest = failure.steps;
        const auto first = rest.begin() + static_cast<std::ptrdiff_t>(start);
        const std::size_t count = std::min(size, rest.size() - start);
        rest.erase(first, first + static_cast<std::ptrdiff_t>(count));
        std::string violation = this->RunSteps(failure.seed, rest);
        if (violation.empty()) {
          start += size;
        } else {
          failure.steps = std::move(rest);
          failure.violation = std::move(violation);
        }
      }
    }
  }

  void Print(const FuzzFailure& failure) {
    std::fprintf(stderr, "seed %llu, %zu steps of %zu left: %s\n",
                 static_cast<unsigned long long>(failure.seed), failure.steps.size(),
                 this->options.steps, failure.violation.c_str());
    for (const FuzzStep& step : failure.steps) {
      std::fprintf(stderr, "  %s\n", World::Describe(step).c_str());
    }
  }

  // Runs all histories. After a failure, prints the seed and the shrunk history to stderr.
  bool Passes() {
    std::optional<FuzzFailure> failure = this->Run();
    if (failure.has_value()) {
      this->Shrink(*failure, 200);
      this->Print(*failure);
    }
    return !failure.has_value();
  }

  // Number of steps that were run, including those run to shrink a history.
  std::size_t GetStepCount() const { return this->step_count; }

  // The steps depend only on the seed and the count.
  static FuzzSteps MakeSteps(std::uint64_t seed, std::size_t count) {
    std::mt19937_64 random(seed);
    FuzzSteps steps(count);
    for (FuzzStep& step : steps) {
      step.action = static_cast<std::uint32_t>(random());
      step.first = static_cast<std::uint32_t>(random());
      step.second = static_cast<std::uint32_t>(random());
    }
    return steps;
  }

 private:
  // Runs the steps in a new World. Returns the violation, or an empty string.
  std::string RunSteps(std::uint64_t seed, const FuzzSteps& steps) {
    World world(seed);
    for (const FuzzStep& step : steps) {
      world.RunStep(step);
      ++this->step_count;
      if (!world.GetViolation().empty()) {
        return world.GetViolation();
      }
    }
    world.Finish();
    return world.GetViolation();
  }

  FuzzOptions options;
  std::size_t step_count = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_RUNNER_H_
