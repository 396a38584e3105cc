#include "Daemon/request_headers.h"

#include <httplib.h>

#include <algorithm>
#include <string_view>

#include "Transfer/field_syntax.h"

namespace lacewingbridge {

namespace {

bool IsTarget(std::string_view text) {
  return IsFieldText(text) && text.find_first_of(" \t") == std::string_view::npos;
}

}  // namespace

bool IsHeadWellFormed(const httplib::Request& request) {
  return IsToken(request.method) && IsTarget(request.target) &&
         std::all_of(request.headers.begin(), request.headers.end(), [](const auto& header) {
           return IsToken(header.first) && IsFieldText(header.second);
         });
}

}  // namespace lacewingbridge
