#ifndef LACEWINGBRIDGE_SOAK_SOAK_OPTIONS_H_
#define LACEWINGBRIDGE_SOAK_SOAK_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lacewingbridge::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  int seeds = 1;
  std::chrono::seconds duration{20};
  int daemons = 4;
  int clients = 16;
  // Folder of the record of each seed.
  std::string records = ".";

  // Prints the usage and returns nothing if an option is unknown or out of range.
  static std::optional<SoakOptions> Parse(int argument_count, char** arguments);
};

}  // namespace lacewingbridge::soak

#endif  // LACEWINGBRIDGE_SOAK_SOAK_OPTIONS_H_
