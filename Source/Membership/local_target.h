#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_LOCAL_TARGET_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_LOCAL_TARGET_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "Core/time_point.h"
#include "Membership/target_announcement.h"
#include "mesh.h"

namespace lacewingbridge {

// How LocalTarget has handled an announcement.
enum class AnnouncementVerdict {
  // The newest announcement of the running instance. It was applied.
  kCurrent,
  // From an earlier instance, not newer than one already applied, or from an instance that
  // has left. It was ignored.
  kStale,
  // For a service other than that of this daemon. It was ignored.
  kWrongService,
};

// The state of the target beside this daemon: which instance of it runs and whether that
// accepts new requests. An instance is one run of the target's process; it is identified by
// its id and start time. An instance leaves when it announces that it stops.
//
// An instance that drains or has left never accepts requests again. After a restart of the
// daemon, an announcement may arrive that was sent before the instance left. Therefore an
// announcement alone does not make a target usable; it also has to pass a health check.
class LocalTarget {
 public:
  // Time between two health checks of a target that has not passed one yet.
  static constexpr Duration kHealthCheckInterval = std::chrono::milliseconds(400);
  // Time without new requests after a refused connection. A target that restarts announces
  // itself and ends this pause; one that only ran out of connections accepts some again soon.
  static constexpr Duration kRefusedPause = std::chrono::milliseconds(300);

  explicit LocalTarget(std::string_view service_name) : service(service_name) {}

  AnnouncementVerdict HandleAnnouncement(const TargetAnnouncement& announcement);
  // The instance has announced that it stops. A start time of 0 means the instance that is
  // known under this id.
  void HandleLeave(std::string_view id, std::uint64_t start_unix_ms);
  // Applies the record in the store that an earlier daemon process of this host has written.
  // Only a record that says that the target leaves has an effect.
  void HandleStoredRecord(const LocalTargetRecord& record);

  // Returns whether the caller has to check the target's health now. If so, the next check
  // is due after kHealthCheckInterval.
  bool TakeHealthCheckTurn(TimePoint now);
  // Handles the response to a health check. A response with an id other than the announced
  // one is ignored.
  void HandleHealthResponse(bool healthy, std::string_view id, std::uint32_t slots);

  // The target has refused a connection. It gets no new requests for kRefusedPause.
  void HandleConnectionRefused(TimePoint now) { this->refused_until = now + kRefusedPause; }

  // Whether the target may get new requests.
  bool IsAccepting(TimePoint now) const;
  // Empty until an instance is known.
  const std::string& GetId() const { return this->id; }
  const std::string& GetService() const { return this->service; }
  // Start time of the instance in Unix milliseconds by its own clock; 0 while not known.
  std::uint64_t GetStartUnixMs() const { return this->born_unix_ms; }
  // Requests that the target runs at a time; 0 while not known.
  std::uint32_t GetSlots() const { return this->slots; }
  // Returns the record to write to the store.
  LocalTargetRecord MakeRecord() const;

 private:
  // Number of instances that have left and are remembered, so that their late announcements
  // are ignored.
  static constexpr std::size_t kMaxLeftInstances = 16;

  struct LeftInstance {
    std::string id;
    std::uint64_t born_unix_ms = 0;
  };

  // Whether this instance, or a later one with the same id, has left.
  bool HasLeft(std::string_view target_id, std::uint64_t start_unix_ms) const;
  // Resets the state for a new instance.
  void BeginInstance(const TargetAnnouncement& announcement);

  std::string service;
  std::string id;
  std::uint64_t born_unix_ms = 0;
  std::uint64_t sequence = 0;
  std::uint32_t slots = 0;
  bool leaving = false;
  bool health_confirmed = false;
  TimePoint next_health_check;
  TimePoint refused_until;
  std::deque<LeftInstance> left_instances;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_LOCAL_TARGET_H_
