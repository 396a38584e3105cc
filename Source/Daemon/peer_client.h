#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_PEER_CLIENT_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_PEER_CLIENT_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "Core/result.h"
#include "peer_codec.h"

namespace lacewingbridge {

class MetricsRegistry;
class TargetConnections;

// A failed call to another daemon, and whether it may have reached that daemon.
struct PeerFailure {
  Error error;
  // Whether the connection was refused. Nothing listens at the address then, so the call has
  // not reached the other daemon.
  bool refused = false;
};

// Calls other daemons by HTTP POST with protobuf bodies. May be used from any thread.
class PeerClient {
 public:
  // The pool and the registry must outlive the client.
  PeerClient(TargetConnections& connections, MetricsRegistry& registry,
             std::chrono::milliseconds call_limit)
      : pool(connections), metrics(registry), timeout(call_limit) {}

  // Sends the request and blocks until the reply is received. A limit below the time limit of
  // the client replaces it.
  template <typename Reply, typename Request>
  std::variant<Reply, PeerFailure> Call(
      const std::string& address, const char* path, const Request& request,
      std::chrono::milliseconds limit = std::chrono::milliseconds::max()) {
    std::variant<std::string, PeerFailure> response =
        this->Post(address, path, Encode(request), std::min(limit, this->timeout));
    if (auto* failure = std::get_if<PeerFailure>(&response)) {
      return std::move(*failure);
    }
    Reply reply;
    if (!Decode(std::get<std::string>(response), reply)) {
      return PeerFailure{{ErrorKind::kMalformedMessage, address + path}, false};
    }
    return reply;
  }

 private:
  std::variant<std::string, PeerFailure> Post(const std::string& address, const char* path,
                                              const std::string& body,
                                              std::chrono::milliseconds limit);

  TargetConnections& pool;
  MetricsRegistry& metrics;
  std::chrono::milliseconds timeout;
};

// Paths of the calls between daemons.
inline constexpr char kFetchRulesPath[] = "/peer/fetch";
inline constexpr char kListMembersPath[] = "/peer/members";
inline constexpr char kRelayExchangePath[] = "/peer/relay";
inline constexpr char kClaimPath[] = "/peer/claim";
inline constexpr char kClaimDonePath[] = "/peer/claim-done";
inline constexpr char kClaimTransferPath[] = "/peer/claim-transfer";
inline constexpr char kClaimOwnerMapPath[] = "/peer/claim-owners";

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PEER_CLIENT_H_
