#include "Daemon/peer_client.h"

#include <fmt/core.h>

#include <memory>

#include "Daemon/http_post.h"
#include "Daemon/peer_traffic.h"
#include "Daemon/target_connections.h"
#include "Http/io_shard.h"

namespace lacewingbridge {

std::variant<std::string, PeerFailure> PeerClient::Post(const std::string& address,
                                                        const char* path, const std::string& body,
                                                        std::chrono::milliseconds limit) {
  constexpr unsigned kOk = 200;
  std::unique_ptr<IoShard> connection = this->pool.Take(address);
  HttpPost post(*connection, address);
  const bool received =
      post.Send(path, body, "application/x-protobuf", this->pool.GetConnectLimit(), limit);
  if (!received) {
    return PeerFailure{{ErrorKind::kPeerUnreachable,
                        fmt::format("{}{}: {}", address, path, post.GetFailureText())},
                       post.WasNotConnected()};
  }
  if (post.GetStatus() != kOk) {
    return PeerFailure{{ErrorKind::kPeerUnreachable,
                        fmt::format("{}{}: status {}", address, path, post.GetStatus())},
                       false};
  }
  CountPeerResponse(this->metrics, path, post.GetHead(), post.GetBody().size());
  std::string reply = std::move(post.GetBody());
  this->pool.Return(address, std::move(connection));
  return reply;
}

}  // namespace lacewingbridge
