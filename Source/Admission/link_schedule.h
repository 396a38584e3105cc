#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_LINK_SCHEDULE_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_LINK_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "Admission/admission_types.h"
#include "Core/time_point.h"

namespace lacewingbridge {

// Schedules when the responses of the local target are sent on the network link of this host.
// Without a schedule, long responses that together exceed a slow link fill the link's queue, and
// all other traffic of the host, such as short responses and the configuration, waits for seconds
// behind them.
//
// Long responses are sent one after the other, at a rate below the link's, so that the link's queue
// stays short. Short responses are sent at once; the time they take is only added to the
// schedule. The wait of a further response is therefore known before its request is admitted.
//
// Not thread-safe; the caller passes the current time.
class LinkSchedule {
 public:
  // Responses up to this size are sent at once. They take 14 ms on a link of 9 Mbit/s.
  static constexpr std::size_t kMaxShortBytes = std::size_t{16} * 1024;

  // The capacity of the link; 0 means that it is not limited.
  explicit LinkSchedule(std::uint64_t link_bytes_per_second);

  // Returns the rate at which responses are sent, in bytes per second; 0 if the link is not
  // limited.
  std::uint64_t GetRate() const { return this->rate; }
  // Returns the time that a long response of that size takes on the link, and zero for a short one.
  Duration GetTransferTime(std::uint64_t bytes) const;

  // Estimates the time until the link is free for a further long response.
  Duration EstimateWait(TimePoint now) const;

  // Adds an admitted request whose response is expected to have that size to the estimate.
  void AddExpectedResponse(RequestId id, std::uint64_t bytes);
  // Removes the request from the estimate, since its response has arrived or the request ended
  // without one. Ignores an unknown id.
  void RemoveExpectedResponse(RequestId id);

  // Reserves time on the link for a message with a body of that size and returns the time until
  // its first byte may be sent, which is zero for a short message.
  Duration Reserve(TimePoint now, std::uint64_t bytes);

 private:
  // Percentage of the link's rate that is used for the schedule. The rest is left for packet
  // headers, acknowledgements, retransmissions, the store and the requests of the target.
  static constexpr std::uint64_t kScheduledPercent = 80;
  // Assumed size of the start line and the headers of a message between daemons.
  static constexpr std::uint64_t kHeaderBytes = 512;

  // Returns the time that the bytes take at the rate of the schedule; zero if the link is not
  // limited.
  Duration GetTransmissionTime(std::uint64_t bytes) const;

  std::uint64_t rate;
  TimePoint free_at;
  std::unordered_map<RequestId, std::uint64_t> expected;
  std::uint64_t expected_bytes = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_LINK_SCHEDULE_H_
