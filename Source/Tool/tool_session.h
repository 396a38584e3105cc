#ifndef LACEWINGBRIDGE_SOURCE_TOOL_TOOL_SESSION_H_
#define LACEWINGBRIDGE_SOURCE_TOOL_TOOL_SESSION_H_

#include <string>

#include "Admin/admin_rpc_client.h"
#include "Core/result.h"

namespace lacewingbridge {

// Calls to one daemon over HTTP.
class ToolSession {
 public:
  explicit ToolSession(const std::string& daemon_address);

  AdminRpcClient& GetClient() { return this->client; }

  // Turns the text of a call into the reply message, or the failure of the call.
  template <typename Reply>
  Result<Reply> Decode(const std::string& json, bool (*decode)(std::string_view, Reply&)) {
    Reply reply;
    if (json.empty()) {
      return Error{ErrorKind::kPeerUnreachable, this->address + ": " + this->client.GetFailure()};
    }
    if (!decode(json, reply)) {
      return Error{ErrorKind::kMalformedMessage, this->address};
    }
    return reply;
  }

 private:
  static std::string Post(const std::string& daemon_address, const std::string& body);

  std::string address;
  AdminRpcClient client;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_TOOL_TOOL_SESSION_H_
