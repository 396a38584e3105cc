#ifndef LACEWINGBRIDGE_SOURCE_PROXY_HEADER_FIELDS_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_HEADER_FIELDS_H_

#include <optional>
#include <string_view>

#include "Http/asio_types.h"
#include "mesh.h"

namespace lacewingbridge {

// Adds the headers that concern more than one connection. Framing is left to the writer,
// and the headers between daemons are not passed on.
void CopyEndToEndHeaders(const http::fields& from, http::fields& to);

void SetHopRequest(http::fields& fields, const HopRequest& hop);
std::optional<HopRequest> GetHopRequest(const http::fields& fields);

void SetHopReport(http::fields& fields, const HopReport& report);
std::optional<HopReport> GetHopReport(const http::fields& fields);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_HEADER_FIELDS_H_
