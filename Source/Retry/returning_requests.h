#ifndef LACEWINGBRIDGE_SOURCE_RETRY_RETURNING_REQUESTS_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_RETURNING_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "Core/time_point.h"

namespace lacewingbridge {

// Remembers requests that were not served, so that a caller that sends one again is known
// to have waited since the first time: its objective counts from then on. The time that a
// caller still waits does not tell, since callers wait differently long.
class ReturningRequests {
 public:
  // Requests remembered at most; the oldest is forgotten first.
  static constexpr std::size_t kMaxRemembered = 2048;
  // Longer than callers of today wait for an answer.
  static constexpr Duration kMemory = std::chrono::seconds(10);

  // When the request of the fingerprint arrived first; now if it is not known.
  TimePoint FindFirstArrival(TimePoint now, std::uint64_t fingerprint);

  // The request was not served; its caller may send it again.
  void NoteUnserved(TimePoint first_arrival, std::uint64_t fingerprint);

  std::size_t GetCount() const { return this->arrivals.size(); }

 private:
  struct Entry {
    TimePoint first_arrival;
    std::uint64_t fingerprint = 0;
  };

  void Expire(TimePoint now);

  std::unordered_map<std::uint64_t, TimePoint> arrivals;
  std::deque<Entry> order;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_RETURNING_REQUESTS_H_
