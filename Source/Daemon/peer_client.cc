#include "Daemon/peer_client.h"

#include <fmt/core.h>
#include <httplib.h>

#include "Daemon/http_connection_pool.h"
#include "Daemon/peer_traffic.h"

namespace lacewingbridge {

std::variant<std::string, PeerFailure> PeerClient::Post(const std::string& address,
                                                        const char* path, const std::string& body,
                                                        std::chrono::milliseconds limit) {
  std::unique_ptr<httplib::Client> client = this->pool.Take(address);
  client->set_read_timeout(limit);
  client->set_write_timeout(limit);
  httplib::Result response = client->Post(path, body, "application/x-protobuf");
  if (!response) {
    const bool refused = response.error() == httplib::Error::Connection;
    return PeerFailure{
        {ErrorKind::kPeerUnreachable,
         fmt::format("{}{}: {}", address, path, httplib::to_string(response.error()))},
        refused};
  }
  if (response->status != 200) {
    return PeerFailure{{ErrorKind::kPeerUnreachable,
                        fmt::format("{}{}: status {}", address, path, response->status)},
                       false};
  }
  CountPeerResponse(this->metrics, path, *response);
  std::string reply = std::move(response->body);
  this->pool.Return(address, std::move(client));
  return reply;
}

}  // namespace lacewingbridge
