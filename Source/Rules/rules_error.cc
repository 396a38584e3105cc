#include "Rules/rules_error.h"

namespace lacewingbridge {

std::string FormatRulesError(const RulesError& error) {
  return error.file_name + ":" + std::to_string(error.line) + ":" + std::to_string(error.column) +
         ": " + error.what + "; " + error.remedy;
}

}  // namespace lacewingbridge
