#ifndef LACEWINGBRIDGE_REVIEW_STAND_INS_RECORD_H_
#define LACEWINGBRIDGE_REVIEW_STAND_INS_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace lacewingbridge::review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// The record of a case: one line for each event, with the time since the start in seconds. May be
// used from any thread.
class Record {
 public:
  explicit Record(const std::string& path) : file(path, std::ios::trunc) {}

  void Write(std::string_view line);
  // Seconds since the record was begun.
  double GetSeconds() const;

 private:
  const Clock::time_point begin = Clock::now();
  std::mutex mutex;
  std::ofstream file;
};

}  // namespace lacewingbridge::review

#endif  // LACEWINGBRIDGE_REVIEW_STAND_INS_RECORD_H_
