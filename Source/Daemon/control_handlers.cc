#include "Daemon/control_handlers.h"

#include <httplib.h>

#include <memory>
#include <string>

#include "Admin/admin_rpc_server.h"
#include "Core/socket_address.h"
#include "Daemon/admin_service.h"
#include "Daemon/daemon.h"
#include "Daemon/daemon_clock.h"
#include "Daemon/peer_traffic.h"
#include "admin_codec.h"
#include "dump_codec.h"
#include "peer_codec.h"

namespace lacewingbridge {

namespace {

constexpr int kBadRequest = 400;

// Makes a handler that decodes a protobuf request, calls build_reply(request), and encodes the
// reply.
template <typename Request, typename BuildReply>
httplib::Server::Handler MakePeerHandler(Daemon& daemon, BuildReply build_reply) {
  return [&daemon, build_reply](const httplib::Request& http, httplib::Response& response) {
    CountPeerRequest(daemon.GetMetrics(), http);
    Request request;
    if (!Decode(http.body, request)) {
      response.status = kBadRequest;
      response.set_content(Error{ErrorKind::kMalformedMessage, http.path}.GetMessage() + "\n",
                           "text/plain");
      return;
    }
    response.set_content(Encode(build_reply(request)), "application/x-protobuf");
  };
}

void AddClusterHandlers(httplib::Server& server, Daemon& daemon) {
  server.Post(kFetchRulesPath,
              MakePeerHandler<FetchRulesRequest>(daemon, [&daemon](const auto& request) {
                return daemon.GetRules().HandleFetchRequest(request);
              }));
  server.Post(kListMembersPath,
              MakePeerHandler<ListMembersRequest>(daemon, [&daemon](const auto& request) {
                ListMembersReply reply;
                daemon.Perform(daemon.GetCluster().HandleMembersRequest(request, reply, GetNow()));
                return reply;
              }));
  server.Post(kRelayExchangePath,
              MakePeerHandler<RelayExchangeRequest>(daemon, [&daemon](const auto& request) {
                RelayExchangeReply reply;
                daemon.Perform(daemon.GetCluster().HandleRelayRequest(request, reply, GetNow()));
                return reply;
              }));
}

void AddClaimHandlers(httplib::Server& server, Daemon& daemon) {
  server.Post(kClaimPath, MakePeerHandler<ClaimRequest>(daemon, [&daemon](const auto& request) {
                return daemon.GetClaims().HandleClaim(request, GetNow());
              }));
  server.Post(kClaimDonePath,
              MakePeerHandler<ClaimDoneRequest>(daemon, [&daemon](const auto& request) {
                return daemon.GetClaims().HandleClaimDone(request, GetNow());
              }));
  server.Post(kClaimTransferPath,
              MakePeerHandler<ClaimTransferRequest>(daemon, [&daemon](const auto& request) {
                return daemon.GetClaims().HandleClaimTransfer(request, GetNow());
              }));
  server.Post(kClaimOwnerMapPath,
              MakePeerHandler<ClaimOwnerMapRequest>(daemon, [&daemon](const auto& request) {
                return daemon.GetClaims().HandleOwnerMapRequest(request);
              }));
}

void HandleAnnouncement(Daemon& daemon, const httplib::Request& http, httplib::Response& response) {
  TargetAnnouncement announcement;
  const bool valid = DecodeJson(http.body, announcement) && !announcement.service.empty() &&
                     announcement.slots > 0 && IsOk(SocketAddress::Parse(announcement.address));
  if (!valid) {
    response.status = kBadRequest;
    response.set_content(
        "announcement refused: give a JSON object with service, address (IP:PORT) and slots "
        "above 0\n",
        "text/plain");
    return;
  }
  daemon.Perform(daemon.GetCluster().Announce(announcement, GetNow()));
}

}  // namespace

void AddControlHandlers(httplib::Server& server, Daemon& daemon) {
  AddClusterHandlers(server, daemon);
  AddClaimHandlers(server, daemon);
  server.Post("/announce", [&daemon](const httplib::Request& http, httplib::Response& response) {
    HandleAnnouncement(daemon, http, response);
  });
  server.Get("/metrics", [&daemon](const httplib::Request&, httplib::Response& response) {
    response.set_content(daemon.GetMetrics().Format(daemon.FormatGauges()), "text/plain");
  });
  server.Get("/dump", [&daemon](const httplib::Request&, httplib::Response& response) {
    response.set_content(EncodeJson(daemon.DumpState()), "application/json");
  });
  const auto rpc = std::make_shared<AdminRpcServer>(MakeAdminHandlers(daemon));
  server.Post("/rpc", [rpc](const httplib::Request& http, httplib::Response& response) {
    response.set_content(rpc->HandleRequest(http.body), "application/json");
  });
}

}  // namespace lacewingbridge
