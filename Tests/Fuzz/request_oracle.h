#ifndef LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_ORACLE_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_ORACLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"

namespace lacewingbridge {

// Records which requests ran and what their callers received, and checks the invariants on
// requests:
//   I4: a caller receives only the complete response to its own request.
//   I5: a request that was reported to its caller as not run never runs.
//   I6: a request that is not idempotent runs at most once while its key is retained.
//   I7: a target receives no new requests once it has been draining for longer than
//       drain_limit.
// A send is one transmission of a request by its caller; ids of sends start at 1.
class RequestOracle {
 public:
  struct Send {
    std::string key;
    bool idempotent = false;
  };

  // drain_limit: how long after the start of a drain a target may still receive new requests.
  RequestOracle(Duration key_retention, Duration drain_limit)
      : retention(key_retention), drain_time(drain_limit) {}

  std::uint64_t AddSend(const Send& send);
  const Send& GetSend(std::uint64_t id) const { return this->sends[id - 1]; }

  // Called when a target starts to run the request. drained_for: how long the daemon could
  // have known that the target drains, or zero.
  void RecordRun(std::uint64_t send, TimePoint now, Duration drained_for);
  // Called when the caller receives the report that the request was not run.
  void RecordNotRun(std::uint64_t send);
  // Called when the caller receives a response with this body.
  void RecordResponse(std::uint64_t send, std::string_view response);
  // The complete response body that a target gives to this send.
  static std::string MakeResponse(const Send& send) { return "<answer of " + send.key + ">"; }

  // The first violation, which starts with the name of the invariant; empty if there is none.
  const std::string& GetViolation() const { return this->violation; }
  std::size_t GetRunCount() const { return this->ran.size(); }
  std::size_t GetResponseCount() const { return this->responses; }

 private:
  void Report(std::string_view text, std::uint64_t send);

  Duration retention;
  Duration drain_time;
  std::vector<Send> sends;
  // Sends that ran, and sends that were reported to their callers as not run.
  std::set<std::uint64_t> ran;
  std::set<std::uint64_t> reported_not_run;
  // By key, for requests that are not idempotent.
  std::map<std::string, TimePoint> last_run;
  std::size_t responses = 0;
  std::string violation;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_ORACLE_H_
