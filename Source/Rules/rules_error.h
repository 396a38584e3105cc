#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_ERROR_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_ERROR_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

// An error in a rules file, with its position and how to correct it.
struct RulesError {
  std::string file_name;
  // Line and column count from 1. The column counts characters, not bytes.
  std::uint32_t line = 1;
  std::uint32_t column = 1;
  std::string what;
  std::string remedy;

  bool operator==(const RulesError&) const = default;
};

// Returns the error in the form "file:line:column: what; remedy".
std::string FormatRulesError(const RulesError& error);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_ERROR_H_
