#ifndef LACEWINGBRIDGE_SOURCE_RETRY_UNSERVED_REQUESTS_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_UNSERVED_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "Core/time_point.h"

namespace lacewingbridge {

// Remembers when requests that were not served arrived first. If a caller resends such a request,
// its latency objective counts from the first arrival, because the caller has waited since then.
// The first arrival cannot be derived from the time that the caller still waits, because callers
// have different timeouts.
//
// The class is not thread-safe.
class UnservedRequests {
 public:
  // Limit on the number of remembered requests. The oldest one is removed first.
  static constexpr std::size_t kMaxRemembered = 2048;
  // Time after the first arrival for which a request is remembered. It is longer than current
  // callers wait for a response.
  static constexpr Duration kRetentionTime = std::chrono::seconds(10);

  // Returns when the request with this fingerprint arrived first, or `now` if it is unknown.
  TimePoint FindFirstArrival(TimePoint now, std::uint64_t fingerprint);

  // Records a request that was not served and that its caller may resend. The first arrival of a
  // request that is already known does not change.
  void RecordUnserved(TimePoint first_arrival, std::uint64_t fingerprint);

  std::size_t GetCount() const { return this->arrivals.size(); }

 private:
  struct Entry {
    TimePoint first_arrival;
    std::uint64_t fingerprint = 0;
  };

  // Removes the entries that are older than kRetentionTime.
  void Expire(TimePoint now);

  // First arrivals by fingerprint.
  std::unordered_map<std::uint64_t, TimePoint> arrivals;
  // The same entries in the order in which they were recorded.
  std::deque<Entry> order;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_UNSERVED_REQUESTS_H_
