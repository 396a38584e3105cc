#ifndef LACEWINGBRIDGE_SOAK_SOAK_VERDICT_H_
#define LACEWINGBRIDGE_SOAK_SOAK_VERDICT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "sent_request.h"
#include "stop_player.h"

namespace lacewingbridge::soak {

// How often upstreams ran the requests with these ids.
using RunCounts = std::unordered_map<std::string, int>;

// Judges the requests of all clients by the rules of the service mesh.
class SoakVerdict {
 public:
  // The least timeout of a route that a configuration of the run has.
  explicit SoakVerdict(review::Milliseconds least_timeout) : route_timeout(least_timeout) {}

  // Writes requests that break a rule to the record.
  void Judge(std::span<const SentRequest> requests, const RunCounts& runs, review::Record& record);
  void AddStops(const StopCounts& counts) { this->stops = counts; }

  bool IsBroken() const;
  bool HasSuccess() const { return this->succeeded > 0; }
  // One line.
  std::string Format(std::uint64_t seed) const;

 private:
  // Returns the name of the rule that the request breaks; empty if there is none.
  std::string_view JudgeRequest(const SentRequest& request, int runs);
  std::string_view JudgeCut(const SentRequest& request, int runs);
  std::string_view JudgeResponse(const SentRequest& request, int runs);

  const review::Milliseconds route_timeout;
  StopCounts stops;
  int sent = 0;
  int succeeded = 0;
  int failed = 0;
  int lost_after_run = 0;
  int lost_unread = 0;
  // Not run, and sent as the daemon closed the connection.
  int crossed = 0;
  // Run, and answered by a daemon in the upstream's place.
  int replaced = 0;
  int twice = 0;
  int refused = 0;
  int mixed = 0;
  int late = 0;
};

}  // namespace lacewingbridge::soak

#endif  // LACEWINGBRIDGE_SOAK_SOAK_VERDICT_H_
