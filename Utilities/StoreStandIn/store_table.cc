#include "store_table.h"

#include <algorithm>

namespace lacewingbridge {

using std::chrono::milliseconds;

StoreGetReply StoreTable::Get(const StoreGetRequest& request) {
  const std::lock_guard guard(this->mutex);
  ++this->counts.gets;
  this->RemoveLapsed(Clock::now());
  return {this->FindEntry(request.key)};
}

std::optional<StoreSwapReply> StoreTable::Swap(const StoreSwapRequest& request) {
  const std::lock_guard guard(this->mutex);
  ++this->counts.swaps;
  this->RemoveLapsed(Clock::now());
  StoreSwapReply reply;
  reply.entry = this->FindEntry(request.key);
  const bool lease_valid = request.lease_id == 0 || this->leases.contains(request.lease_id);
  if (reply.entry.revision == request.expected_revision && lease_valid) {
    Record& record = this->records[request.key];
    record.entry = {request.value, ++this->last_revision};
    record.lease_id = request.lease_id;
    reply.entry = record.entry;
    reply.succeeded = true;
    this->changed.notify_all();
  }
  if (reply.succeeded && this->faults.lose_swap_answers > 0) {
    --this->faults.lose_swap_answers;
    return std::nullopt;
  }
  return reply;
}

StoreLeaseReply StoreTable::Lease(const StoreLeaseRequest& request) {
  const std::lock_guard guard(this->mutex);
  ++this->counts.leases;
  const Clock::time_point now = Clock::now();
  this->RemoveLapsed(now);
  const Clock::time_point lapse = now + milliseconds(request.duration_ms);
  if (request.lease_id == 0) {
    this->leases[++this->last_lease_id] = lapse;
    return {true, this->last_lease_id};
  }
  const auto lease = this->leases.find(request.lease_id);
  if (lease == this->leases.end()) {
    return {false, request.lease_id};
  }
  lease->second = lapse;
  return {true, request.lease_id};
}

StoreWatchReply StoreTable::Watch(const StoreWatchRequest& request) {
  std::unique_lock lock(this->mutex);
  ++this->counts.watches;
  const Clock::time_point limit = Clock::now() + milliseconds(request.wait_ms);
  while (true) {
    const Clock::time_point now = Clock::now();
    this->RemoveLapsed(now);
    StoreEntry entry = this->FindEntry(request.key);
    const bool over = now >= limit || this->stopped || this->faults.down;
    if (entry.revision != request.known_revision || over) {
      return {std::move(entry)};
    }
    this->changed.wait_until(lock, std::min(limit, this->FindNextLapse().value_or(limit)));
  }
}

StoreCallCounts StoreTable::GetCounts() {
  const std::lock_guard guard(this->mutex);
  return this->counts;
}

void StoreTable::SetFaults(const StoreFaults& new_faults) {
  const std::lock_guard guard(this->mutex);
  this->faults = new_faults;
  this->changed.notify_all();
}

StoreFaults StoreTable::GetFaults() {
  const std::lock_guard guard(this->mutex);
  return this->faults;
}

void StoreTable::SaveCheckpoint() {
  const std::lock_guard guard(this->mutex);
  this->checkpoint = this->records;
}

void StoreTable::RestoreCheckpoint() {
  const std::lock_guard guard(this->mutex);
  this->records = this->checkpoint;
  this->changed.notify_all();
}

void StoreTable::Stop() {
  const std::lock_guard guard(this->mutex);
  this->stopped = true;
  this->changed.notify_all();
}

void StoreTable::RemoveLapsed(Clock::time_point now) {
  const auto lapsed = [now](const auto& lease) { return lease.second <= now; };
  if (std::erase_if(this->leases, lapsed) == 0) {
    return;
  }
  std::erase_if(this->records, [this](const auto& record) {
    return record.second.lease_id != 0 && !this->leases.contains(record.second.lease_id);
  });
  this->changed.notify_all();
}

StoreEntry StoreTable::FindEntry(const std::string& key) {
  const auto record = this->records.find(key);
  return record == this->records.end() ? StoreEntry{} : record->second.entry;
}

std::optional<StoreTable::Clock::time_point> StoreTable::FindNextLapse() const {
  std::optional<Clock::time_point> next;
  for (const auto& [id, lapse] : this->leases) {
    if (!next.has_value() || lapse < *next) {
      next = lapse;
    }
  }
  return next;
}

}  // namespace lacewingbridge
