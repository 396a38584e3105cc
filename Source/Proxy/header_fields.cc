#include "Proxy/header_fields.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <vector>

#include "Core/base64.h"
#include "Proxy/proxy_wire.h"
#include "mesh_codec.h"

namespace lacewingbridge {

namespace {

constexpr std::string_view kHopRequestHeader = "Lacewing-Hop";
constexpr std::string_view kHopReportHeader = "Lacewing-Hop-Report";

// Connection-specific headers (RFC 9110, section 7.6.1) and headers that define the framing of the
// body.
constexpr std::array<std::string_view, 10> kConnectionHeaders = {
    "connection", "keep-alive",        "proxy-connection", "te",     "trailer",
    "upgrade",    "transfer-encoding", "content-length",   "expect", "proxy-authenticate"};

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char character) { return std::tolower(character); });
  return lower;
}

std::vector<std::string> GetConnectionTokens(const http::fields& fields) {
  std::vector<std::string> tokens;
  for (const auto& token : http::token_list(fields[http::field::connection])) {
    tokens.push_back(ToLower({token.data(), token.size()}));
  }
  return tokens;
}

boost::string_view ToBoost(std::string_view text) { return {text.data(), text.size()}; }

template <typename Message>
void SetMessage(http::fields& fields, std::string_view name, const Message& message) {
  fields.set(ToBoost(name), EncodeBase64(Encode(message)));
}

template <typename Message>
std::optional<Message> GetMessage(const http::fields& fields, std::string_view name) {
  const auto value = fields[ToBoost(name)];
  const std::optional<std::string> bytes = DecodeBase64({value.data(), value.size()});
  Message message;
  if (value.empty() || !bytes.has_value() || !Decode(*bytes, message)) {
    return std::nullopt;
  }
  return message;
}

}  // namespace

void CopyEndToEndHeaders(const http::fields& from, http::fields& to) {
  const std::vector<std::string> tokens = GetConnectionTokens(from);
  for (const auto& field : from) {
    const std::string name = ToLower({field.name_string().data(), field.name_string().size()});
    const bool of_connection = std::find(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                                         name) != kConnectionHeaders.end() ||
                               std::find(tokens.begin(), tokens.end(), name) != tokens.end();
    if (!of_connection && name != ToLower(kHopRequestHeader) && name != ToLower(kHopReportHeader)) {
      to.insert(field.name_string(), field.value());
    }
  }
}

void RemoveAccessHeaders(const AccessHeaders& names, http::fields& fields) {
  fields.erase(ToBoost(names.key));
  fields.erase(ToBoost(names.workspace));
}

void SetHopRequest(http::fields& fields, const HopRequest& hop) {
  SetMessage(fields, kHopRequestHeader, hop);
}

std::optional<HopRequest> GetHopRequest(const http::fields& fields) {
  return GetMessage<HopRequest>(fields, kHopRequestHeader);
}

void SetHopReport(http::fields& fields, const HopReport& report) {
  SetMessage(fields, kHopReportHeader, report);
}

std::optional<HopReport> GetHopReport(const http::fields& fields) {
  return GetMessage<HopReport>(fields, kHopReportHeader);
}

}  // namespace lacewingbridge
