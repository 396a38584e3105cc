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

// What ran where and what callers were told, and whether that agrees with the invariants
// on requests. A send is one transmission of a request by its caller.
class RequestOracle {
 public:
  struct Send {
    std::string key;
    bool idempotent = false;
  };

  RequestOracle(Duration key_retention, Duration drain_limit)
      : retention(key_retention), drain_time(drain_limit) {}

  std::uint64_t AddSend(const Send& send);
  const Send& GetSend(std::uint64_t id) const { return this->sends[id - 1]; }

  // A target has begun to run the request. drained_for: how long it has been draining,
  // or zero.
  void NoteRun(std::uint64_t send, TimePoint now, Duration drained_for);
  void NoteNotRun(std::uint64_t send);
  void NoteAnswer(std::uint64_t send, std::string_view answer);
  // The complete answer of a run of this send.
  static std::string MakeAnswer(const Send& send) { return "<answer of " + send.key + ">"; }

  const std::string& GetViolation() const { return this->violation; }
  std::size_t GetRunCount() const { return this->ran.size(); }
  std::size_t GetAnswerCount() const { return this->answers; }

 private:
  void Report(std::string_view text, std::uint64_t send);

  Duration retention;
  Duration drain_time;
  std::vector<Send> sends;
  std::set<std::uint64_t> ran;
  std::set<std::uint64_t> told_not_run;
  std::map<std::string, TimePoint> last_run;
  std::size_t answers = 0;
  std::string violation;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_ORACLE_H_
