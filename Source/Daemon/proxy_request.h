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
#include "Rules/route_rule.h"

namespace lacewingbridge {

// One caller's request on one route, from admission to its answer. Lives on the thread
// of the caller's connection.
class ProxyRequest {
 public:
  ProxyRequest(const ProxyEnvironment& shared, const httplib::Request& incoming,
               const RouteRule& matched, TimePoint limit, unsigned request_depth);

  // Fills in the answer or a refusal.
  void Run(httplib::Response& response);

 private:
  // A complete answer, or the kind of refusal.
  using Ending = std::variant<TargetAnswer, RefusalKind>;

  // Holds a slot of the service while it lives.
  class Slot;

  std::optional<RefusalKind> Admit();
  Ending RunClaimed();
  Ending HandleGateStep(ClaimGate& gate, ClaimGateStep step);
  Ending RunAndReport(ClaimGate& gate);
  Ending EndWithStored(const ClaimRecord& record) const;
  Ending RunAttempts(const ClaimGate& gate);

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
  TimePoint deadline;
  unsigned depth;
  std::string key;
  std::uint64_t request_hash;
  std::uint64_t fingerprint;
  std::uint64_t id;
  // Targets that this request has already tried.
  std::vector<std::string> tried;
  // Set by the last attempt, for the report to the key's owner.
  ClaimAttemptOutcome claim_outcome = ClaimAttemptOutcome::kNotRun;
  bool retry_marked = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_REQUEST_H_
