#ifndef LACEWINGBRIDGE_TESTS_FAKES_FAKE_TABLE_SOURCE_H_
#define LACEWINGBRIDGE_TESTS_FAKES_FAKE_TABLE_SOURCE_H_

#include <string_view>

#include "Core/result.h"
#include "mesh_codec.h"

namespace lacewingbridge {

// A table source whose configuration is an encoded RouteTable.
struct FakeTableSource {
  static std::string_view GetKey() { return "table"; }
  static Result<RouteTable> Decode(std::string_view bytes) {
    RouteTable table;
    if (!lacewingbridge::Decode(bytes, table)) {
      return Error{ErrorKind::kRulesInvalid, "not a table"};
    }
    return table;
  }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_FAKE_TABLE_SOURCE_H_
