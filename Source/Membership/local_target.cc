#include "Membership/local_target.h"

#include <algorithm>

namespace lacewingbridge {

bool LocalTarget::HasLeft(std::string_view target_id, std::uint64_t start_unix_ms) const {
  return std::any_of(this->left_instances.begin(), this->left_instances.end(),
                     [&](const LeftInstance& entry) {
                       return entry.id == target_id && entry.born_unix_ms >= start_unix_ms;
                     });
}

void LocalTarget::BeginInstance(const TargetAnnouncement& announcement) {
  this->id = announcement.id;
  this->born_unix_ms = announcement.born_unix_ms;
  this->sequence = 0;
  this->leaving = false;
  this->health_confirmed = false;
  this->next_health_check = TimePoint();
  this->refused_until = TimePoint();
}

AnnouncementVerdict LocalTarget::HandleAnnouncement(const TargetAnnouncement& announcement) {
  if (announcement.service != this->service) {
    return AnnouncementVerdict::kWrongService;
  }
  if (this->HasLeft(announcement.id, announcement.born_unix_ms) ||
      announcement.born_unix_ms < this->born_unix_ms) {
    return AnnouncementVerdict::kStale;
  }
  // The start time of an instance that is known only from a health response is still 0.
  const bool same_instance =
      announcement.id == this->id &&
      (announcement.born_unix_ms == this->born_unix_ms || this->born_unix_ms == 0);
  if (!same_instance) {
    this->BeginInstance(announcement);
  } else if (announcement.sequence <= this->sequence) {
    return AnnouncementVerdict::kStale;
  }
  this->born_unix_ms = announcement.born_unix_ms;
  this->sequence = announcement.sequence;
  this->slots = announcement.slots;
  this->leaving = this->leaving || announcement.draining;
  this->refused_until = TimePoint();
  return AnnouncementVerdict::kCurrent;
}

void LocalTarget::HandleLeave(std::string_view left_id, std::uint64_t start_unix_ms) {
  const bool current =
      left_id == this->id && (start_unix_ms == 0 || start_unix_ms >= this->born_unix_ms);
  if (current) {
    this->leaving = true;
  }
  this->left_instances.push_back(
      {std::string(left_id), start_unix_ms == 0 && current ? this->born_unix_ms : start_unix_ms});
  if (this->left_instances.size() > kMaxLeftInstances) {
    this->left_instances.pop_front();
  }
}

void LocalTarget::HandleStoredRecord(const LocalTargetRecord& record) {
  // A record that does not accept requests may also mean that the daemon stopped, or that it had
  // not confirmed the target's health yet.
  const bool leaves = record.stay == TargetStay::kLeaves ||
                      (record.stay == TargetStay::kUnknown && !record.accepting);
  if (!leaves || record.id.empty()) {
    return;
  }
  this->HandleLeave(record.id, record.born_unix_ms);
}

bool LocalTarget::TakeHealthCheckTurn(TimePoint now) {
  if (this->health_confirmed || this->leaving || now < this->next_health_check) {
    return false;
  }
  this->next_health_check = now + kHealthCheckInterval;
  return true;
}

void LocalTarget::HandleHealthResponse(bool healthy, std::string_view reported_id,
                                       std::uint32_t reported_slots) {
  if (!healthy || reported_id.empty()) {
    return;
  }
  // A daemon that has just started identifies its target from the health response, without
  // waiting for the next announcement.
  if (this->id.empty() && !this->HasLeft(reported_id, 0)) {
    this->id = reported_id;
  }
  if (reported_id != this->id) {
    return;
  }
  this->health_confirmed = true;
  if (this->slots == 0) {
    this->slots = reported_slots;
  }
}

bool LocalTarget::IsAccepting(TimePoint now) const {
  return this->health_confirmed && !this->leaving && this->slots > 0 && now >= this->refused_until;
}

LocalTargetRecord LocalTarget::MakeRecord() const {
  LocalTargetRecord record;
  record.service = this->service;
  record.id = this->id;
  record.born_unix_ms = this->born_unix_ms;
  record.slots = this->slots;
  record.accepting = this->health_confirmed && !this->leaving;
  record.stay = this->leaving ? TargetStay::kLeaves : TargetStay::kStays;
  return record;
}

}  // namespace lacewingbridge
