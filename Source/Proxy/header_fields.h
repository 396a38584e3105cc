#ifndef LACEWINGBRIDGE_SOURCE_PROXY_HEADER_FIELDS_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_HEADER_FIELDS_H_

#include <optional>
#include <string_view>

#include "Http/asio_types.h"
#include "mesh.h"

namespace lacewingbridge {

struct AccessHeaders;

// Copies the end-to-end headers. Leaves out the headers that define the framing, which the writer
// sets, and the headers that daemons use among themselves.
void CopyEndToEndHeaders(const http::fields& from, http::fields& to);

// Removes the API key and the name of a workspace, also if they occur more than once.
void RemoveAccessHeaders(const AccessHeaders& names, http::fields& fields);

void SetHopRequest(http::fields& fields, const HopRequest& hop);
std::optional<HopRequest> GetHopRequest(const http::fields& fields);

void SetHopReport(http::fields& fields, const HopReport& report);
std::optional<HopReport> GetHopReport(const http::fields& fields);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_HEADER_FIELDS_H_
