#include "Fakes/fake_store.h"

#include <algorithm>
#include <chrono>

namespace lacewingbridge {

namespace {

// Decrements the counter; returns false if it is 0 already.
bool TryDecrement(std::uint32_t& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace

std::optional<StoreGetReply> FakeStore::Get(const StoreGetRequest& request, TimePoint now) {
  ++this->counts.gets;
  this->ExpireLeases(now);
  if (this->down) {
    return std::nullopt;
  }
  return StoreGetReply{this->Find(request.key)};
}

std::optional<StoreSwapReply> FakeStore::Swap(const StoreSwapRequest& request, TimePoint now) {
  ++this->counts.swaps;
  this->ExpireLeases(now);
  if (this->down) {
    return std::nullopt;
  }
  const bool lease_known = request.lease_id == 0 || this->lease_ends.contains(request.lease_id);
  StoreSwapReply reply;
  if (this->Find(request.key).revision == request.expected_revision && lease_known) {
    this->entries[request.key] = {{request.value, ++this->last_revision}, request.lease_id};
    reply.succeeded = true;
  }
  reply.entry = this->Find(request.key);
  if (TryDecrement(this->lost_swap_responses)) {
    return std::nullopt;
  }
  return reply;
}

std::optional<StoreLeaseReply> FakeStore::Lease(const StoreLeaseRequest& request, TimePoint now) {
  ++this->counts.leases;
  this->ExpireLeases(now);
  if (this->down) {
    return std::nullopt;
  }
  StoreLeaseReply reply;
  reply.lease_id = request.lease_id == 0 ? ++this->last_lease_id : request.lease_id;
  reply.granted = request.lease_id == 0 || this->lease_ends.contains(request.lease_id);
  if (reply.granted) {
    this->lease_ends[reply.lease_id] = now + std::chrono::milliseconds(request.duration_ms);
  }
  if (TryDecrement(this->lost_lease_responses)) {
    return std::nullopt;
  }
  return reply;
}

std::uint64_t FakeStore::Watch(const StoreWatchRequest& request, TimePoint now) {
  ++this->counts.watches;
  const TimePoint ends_at = now + std::chrono::milliseconds(request.wait_ms);
  this->watches.push_back({++this->last_watch_id, request, ends_at});
  return this->last_watch_id;
}

std::vector<FakeStore::FinishedWatch> FakeStore::TakeFinishedWatches(TimePoint now) {
  this->ExpireLeases(now);
  std::vector<FinishedWatch> finished;
  std::erase_if(this->watches, [&](const PendingWatch& watch) {
    const StoreEntry entry = this->Find(watch.request.key);
    if (this->down) {
      finished.push_back({watch.watch_id, std::nullopt});
    } else if (entry.revision != watch.request.known_revision || now >= watch.ends_at) {
      finished.push_back({watch.watch_id, StoreWatchReply{entry}});
    } else {
      return false;
    }
    return true;
  });
  return finished;
}

StoreEntry FakeStore::Peek(const std::string& key, TimePoint now) {
  this->ExpireLeases(now);
  return this->Find(key);
}

void FakeStore::ExpireLeases(TimePoint now) {
  std::erase_if(this->lease_ends, [&](const auto& lease) { return now >= lease.second; });
  std::erase_if(this->entries, [&](const auto& entry) {
    const std::uint64_t lease_id = entry.second.lease_id;
    return lease_id != 0 && !this->lease_ends.contains(lease_id);
  });
}

StoreEntry FakeStore::Find(const std::string& key) const {
  const auto found = this->entries.find(key);
  return found == this->entries.end() ? StoreEntry{} : found->second.entry;
}

}  // namespace lacewingbridge
