#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_REQUEST_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Claims/claim_gate.h"
#include "Core/time_point.h"
#include "Daemon/proxy_exchange.h"
#include "Daemon/proxy_handler.h"
#include "Daemon/proxy_refusal.h"
#include "Daemon/request_access.h"
#include "Rules/route_rule.h"

namespace lacewingbridge {

// Handles one request of a caller on its route, from admission to the response. Lives on the
// thread of the caller's connection.
class ProxyRequest {
 public:
  ProxyRequest(const ProxyEnvironment& shared, const httplib::Request& incoming,
               const RouteRule& matched, RequestAccess allowed, TimePoint limit,
               unsigned request_depth);

  // Runs the request and fills in the response of a target or a refusal.
  void Run(httplib::Response& response);

 private:
  // A complete response, or the kind of refusal.
  using Outcome = std::variant<TargetResponse, RefusalKind>;

  // Holds the request's slot of the service and releases it when destroyed.
  class Slot;

  // Takes a slot of the service, or waits for one in its queue. Returns the refusal if any.
  std::optional<RefusalKind> Admit();
  // Claims the idempotency key if the route uses one, and runs the request.
  Outcome RunClaimed();
  // Performs the steps of the claim gate until the request has been run or refused.
  Outcome HandleGateStep(ClaimGate& gate, ClaimGateStep step);
  // Runs the request and reports its outcome to the owner of the key.
  Outcome RunAndReport(ClaimGate& gate);
  // Makes the response from the owner's record of an earlier run.
  Outcome MakeStoredResponse(const ClaimRecord& record) const;
  // Returns why the request must not be sent to a target at this time, if there is a reason.
  std::optional<RefusalKind> FindBar(const ClaimGate& gate) const;
  // Sends the request to one target after another until the retry policy ends it.
  Outcome RunAttempts(const ClaimGate& gate);

  struct Choice {
    std::string address;
    std::uint64_t incarnation = 0;
    std::optional<RefusalKind> refusal;
  };
  Choice ChooseTarget();
  TargetAttempt Send(const Choice& choice);
  Duration GetTimeLeft() const;

  const ProxyEnvironment& environment;
  const httplib::Request& request;
  const RouteRule& route;
  const RequestAccess access;
  TimePoint deadline;
  unsigned depth;
  std::string key;
  std::uint64_t request_hash;
  std::uint64_t fingerprint;
  std::uint64_t id;
  // Addresses of the targets to which this request has already been sent.
  std::vector<std::string> tried;
  // Outcome of the last attempt, which is reported to the owner of the key.
  ClaimAttemptOutcome claim_outcome = ClaimAttemptOutcome::kNotRun;
  // Whether the response tells the caller not to retry.
  bool do_not_retry = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_REQUEST_H_
