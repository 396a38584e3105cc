#ifndef LACEWINGBRIDGE_SOURCE_CORE_RESULT_H_
#define LACEWINGBRIDGE_SOURCE_CORE_RESULT_H_

#include <utility>
#include <variant>

#include "Core/error.h"

namespace lacewingbridge {

// Either a value or the reason why there is none.
template <typename Value>
using Result = std::variant<Value, Error>;

// Result of an operation that yields nothing.
using Status = Result<std::monostate>;

inline Status MakeOkStatus() { return std::monostate{}; }

template <typename Value>
bool IsOk(const Result<Value>& result) {
  return std::holds_alternative<Value>(result);
}

// The caller has checked IsOk.
template <typename Value>
Value& GetValue(Result<Value>& result) {
  return std::get<Value>(result);
}

template <typename Value>
const Value& GetValue(const Result<Value>& result) {
  return std::get<Value>(result);
}

template <typename Value>
Value GetValue(Result<Value>&& result) {
  return std::get<Value>(std::move(result));
}

// The caller has checked that the result is not ok.
template <typename Value>
const Error& GetError(const Result<Value>& result) {
  return std::get<Error>(result);
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_RESULT_H_
