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
#include "Proxy/answer_relay.h"
#include "Proxy/proxy_context.h"
#include "Proxy/proxy_wire.h"
#include "Retry/request_facts.h"
#include "Retry/request_progress.h"
#include "Routing/hop_placement.h"
#include "Routing/route_index.h"

namespace lacewingbridge {

class IoShard;

// A request of a caller at the daemon of the caller's host: finds its route, places it and
// answers it. RequestProgress decides; this class carries the decisions out.
class CallerRequest {
 public:
  CallerRequest(const ProxyContext& proxy_context, IoShard& io_shard,
                ServerExchange& server_exchange, const CallerHead& caller_head);

  Awaitable<void> Run();

 private:
  // Callers that state no time wait for the timeout of the route.
  bool FindRoute();
  void SetFacts(TimePoint now);
  Awaitable<ProgressDecision> PlaceOnce();
  Awaitable<HopEnd> SendHop(const HopChoice& choice);
  Awaitable<HopEnd> ReadHopAnswer(const HopChoice& choice, ExchangeStatus status);
  OutboundExchange::Request MakeHopRequest(TimePoint now, const HopChoice& choice);
  HopRequirements MakeNeed(TimePoint now);
  Awaitable<void> Finish(const ProgressDecision& decision);
  Awaitable<void> SendRefusal(http::status status, std::string_view reason,
                              std::optional<Duration> return_after);
  std::optional<Duration> ComputeReturn(TimePoint now);
  void NoteHop(const HopChoice& choice, const HopEnd& end, const HopReport* report);
  void LogEnd(unsigned status, std::string_view reason) const;
  RequestTrace MakeTrace(unsigned status, std::string_view reason) const;

  const ProxyContext& context;
  IoShard& shard;
  ServerExchange& exchange;
  const CallerHead head;
  std::shared_ptr<const RouteIndex> index;
  const HostRoute* route = nullptr;
  std::string service;
  // Of target and body: the same request, sent again, has the same one.
  std::uint64_t fingerprint = 0;
  // The same for the whole fleet, with route and service of the caller.
  std::uint64_t crash_fingerprint = 0;
  TimePoint first_arrival;
  RequestFacts facts;
  std::optional<RequestProgress> progress;
  std::vector<std::string> refused_by;
  std::vector<HopTrace> hops;
  std::string last_reason;
  std::unique_ptr<OutboundExchange> hop;
  std::uint64_t hop_id = 0;
  HeldAnswer held;
  bool body_spent = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_CALLER_REQUEST_H_
