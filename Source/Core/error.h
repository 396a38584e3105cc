#ifndef LACEWINGBRIDGE_SOURCE_CORE_ERROR_H_
#define LACEWINGBRIDGE_SOURCE_CORE_ERROR_H_

#include <string>

#include "errors.h"

namespace lacewingbridge {

// A typed failure. The kind carries the remedy; the detail names the particulars.
struct Error {
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;

  // "<summary>: <detail>. Remedy: <remedy>."
  std::string GetMessage() const;

  bool operator==(const Error&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_ERROR_H_
