#ifndef LACEWINGBRIDGE_SOURCE_PROXY_CALLER_REQUEST_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_CALLER_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"
#include "Http/outbound_exchange.h"
#include "Http/server_exchange.h"
#include "Proxy/proxy_context.h"
#include "Proxy/proxy_wire.h"
#include "Proxy/response_relay.h"
#include "Quota/credit_holder.h"
#include "Retry/request_facts.h"
#include "Retry/request_progress.h"
#include "Routing/hop_placement.h"
#include "Routing/route_index.h"

namespace lacewingbridge {

class IoShard;

// A request of a caller, at the daemon of the caller's host: finds the route, places the request on
// a target and sends the response. RequestProgress makes the decisions; this class carries them
// out.
class CallerRequest {
 public:
  CallerRequest(const ProxyContext& proxy_context, IoShard& io_shard,
                ServerExchange& server_exchange, const CallerHeaders& caller_headers,
                const AccessHeaders& access_header_names);

  Awaitable<void> Run();

 private:
  // Retry-After while the daemon does not know whether its version is the newest one, which it
  // learns as soon as it reaches the store or another daemon that does.
  static constexpr Duration kProofResendDelay = std::chrono::milliseconds(500);

  Awaitable<void> Handle();
  // Sets the route; returns false if none matches.
  bool FindRoute();
  // Sets the workspace. Returns false if the request was refused because of its API key.
  Awaitable<bool> CheckAccess();
  // Whether the API key of the request is valid in the version in force, and that version is still
  // known to be the newest.
  bool IsAccessCurrent(TimePoint now) const;
  // Empty on public routes and without workspaces.
  std::string_view GetWorkspaceName() const {
    return this->workspace == nullptr ? std::string_view() : this->workspace->name;
  }
  // Priority of the workspace, or that of the route.
  std::uint32_t GetPriority() const;
  WorkspaceWork GetWork() const { return {this->GetWorkspaceName(), this->GetPriority()}; }
  // Decides whether enough targets have refused work of the workspace because of its share.
  ProgressDecision CheckShareRefusals();
  // Takes one request from the quota of the workspace. Returns false if the request was refused
  // because the quota is used up.
  Awaitable<bool> TakeQuota();
  // Returns it if the request has surely not run.
  void ReturnUnusedQuota(const ProgressDecision& decision);
  // Takes credit, and waits for a granting daemon if none is held.
  Awaitable<CreditTake> WaitForCredit();
  // Sets the deadlines, fingerprints and limits of the request. A caller that states no deadline
  // gets the timeout of the route.
  void SetFacts(TimePoint now);
  // Makes one attempt: chooses a target, sends the request and decides what to do next.
  Awaitable<ProgressDecision> PlaceOnce();
  Awaitable<HopEnd> SendHop(const HopChoice& choice);
  Awaitable<HopEnd> ReadHopResponse(const HopChoice& choice, TimePoint sent, ExchangeStatus status);
  OutboundExchange::Request MakeHopRequest(TimePoint now, const HopChoice& choice);
  // Returns what the next hop has to fulfil: the time left and the expected size of the response.
  HopRequirements MakeHopRequirements(TimePoint now);
  Awaitable<void> Finish(const ProgressDecision& decision);
  Awaitable<void> SendRefusal(http::status status, std::string_view reason,
                              std::optional<Duration> resend_delay);
  // Returns the value of Retry-After in the refusal: the delay after which the caller should resend
  // the request. Empty if a resend would be refused as well.
  std::optional<Duration> EstimateResendDelay(TimePoint now, ProgressReason reason);
  void RecordHop(const HopChoice& choice, const HopEnd& end, const HopReport* report);
  void LogEnd(unsigned status, std::string_view reason) const;
  // Logs and counts a request whose connection ended before the whole response was sent.
  void RecordUnanswered() const;
  RequestTrace MakeTrace(unsigned status, std::string_view reason) const;

  const ProxyContext& context;
  IoShard& shard;
  ServerExchange& exchange;
  const CallerHeaders headers;
  const AccessHeaders access_headers;
  std::shared_ptr<const RouteIndex> index;
  const HostRoute* route = nullptr;
  // Null on public routes and without workspaces.
  const MeshWorkspace* workspace = nullptr;
  // When credit of the workspace's quota was taken; empty if none was.
  std::optional<TimePoint> credit_taken_at;
  std::string service;
  // Hash of the request target and the body. A resend of the same request has the same value.
  std::uint64_t fingerprint = 0;
  // Hash that also covers the route and the service of the caller. It is the same on every daemon
  // of the fleet and identifies requests that crash targets.
  std::uint64_t crash_fingerprint = 0;
  TimePoint first_arrival;
  // Probability that the request is a call of a repeated run of the local target.
  double repeat_share = 0;
  RequestFacts facts;
  std::optional<RequestProgress> progress;
  // Peer addresses that the request has been sent to without success.
  std::vector<std::string> refused_by;
  std::vector<HopTrace> hops;
  std::string last_reason;
  std::unique_ptr<OutboundExchange> hop;
  std::uint64_t hop_id = 0;
  BufferedResponse buffered;
  // Whether a part of the body that is not in memory has been sent, so that the request cannot be
  // sent again.
  bool body_consumed = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_CALLER_REQUEST_H_
