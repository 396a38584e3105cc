#ifndef LACEWINGBRIDGE_SOURCE_STORE_TABLE_SOURCE_H_
#define LACEWINGBRIDGE_SOURCE_STORE_TABLE_SOURCE_H_

#include <concepts>
#include <string_view>

#include "Core/result.h"
#include "mesh.h"

namespace lacewingbridge {

// The key of the operators' configuration in the store, and its decoder.
template <typename Source>
concept TableSource = requires(std::string_view bytes) {
  { Source::GetKey() } -> std::convertible_to<std::string_view>;
  { Source::Decode(bytes) } -> std::same_as<Result<RouteTable>>;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_TABLE_SOURCE_H_
