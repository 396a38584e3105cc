#include "soak_options.h"

#include <fmt/core.h>
#include <getopt.h>

#include <charconv>
#include <string_view>

namespace lacewingbridge::soak {

namespace {

constexpr char kUsage[] =
    "usage: lacewing_stop_soak [--seed N] [--seeds 1..100] [--seconds 5..60] [--daemons 2..16]\n"
    "                          [--clients 1..128] [--records FOLDER]\n";

std::optional<std::uint64_t> ParseNumber(std::string_view text, std::uint64_t least,
                                         std::uint64_t most) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < least || number > most) {
    return std::nullopt;
  }
  return number;
}

// Returns whether the value is in range.
template <typename Field>
bool ReadNumber(std::string_view text, std::uint64_t least, std::uint64_t most, Field& field) {
  const std::optional<std::uint64_t> number = ParseNumber(text, least, most);
  if (number) {
    field = static_cast<Field>(*number);
  }
  return number.has_value();
}

}  // namespace

std::optional<SoakOptions> SoakOptions::Parse(int argument_count, char** arguments) {
  const option known[] = {{"seed", required_argument, nullptr, 's'},
                          {"seeds", required_argument, nullptr, 'n'},
                          {"seconds", required_argument, nullptr, 't'},
                          {"daemons", required_argument, nullptr, 'd'},
                          {"clients", required_argument, nullptr, 'c'},
                          {"records", required_argument, nullptr, 'r'},
                          {nullptr, 0, nullptr, 0}};
  SoakOptions options;
  bool valid = true;
  int name = 0;
  while (valid && (name = getopt_long(argument_count, arguments, "", known, nullptr)) != -1) {
    const std::string_view value = optarg == nullptr ? "" : optarg;
    switch (name) {
      case 's':
        valid = ReadNumber(value, 0, 1'000'000'000, options.seed);
        break;
      case 'n':
        valid = ReadNumber(value, 1, 100, options.seeds);
        break;
      case 't':
        valid = ReadNumber(value, 5, 60, options.duration);
        break;
      case 'd':
        valid = ReadNumber(value, 2, 16, options.daemons);
        break;
      case 'c':
        valid = ReadNumber(value, 1, 128, options.clients);
        break;
      case 'r':
        options.records = value;
        break;
      default:
        valid = false;
    }
  }
  if (!valid || optind != argument_count) {
    fmt::print(stderr, "{}", kUsage);
    return std::nullopt;
  }
  return options;
}

}  // namespace lacewingbridge::soak
