#ifndef LACEWINGBRIDGE_TESTS_FAKES_FAKE_LEASE_STORE_H_
#define LACEWINGBRIDGE_TESTS_FAKES_FAKE_LEASE_STORE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "Core/result.h"
#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Store/lease_store.h"

namespace lacewingbridge {

// An in-memory store of a platform that can be made to fail. It may be used from several threads.
class FakeLeaseStore {
 public:
  struct Entry {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard guard(this->mutex);
    this->items[key] = {value, ++this->revision, 0};
  }

  // While set, calls fail without effect.
  void SetRefusing(bool value) {
    const std::lock_guard guard(this->mutex);
    this->refusing = value;
  }
  // The same for the calls of the clients with this store address only.
  void SetRefusingOf(const std::string& address) {
    const std::lock_guard guard(this->mutex);
    this->refused_address = address;
  }
  // The next writes take effect, but their responses are lost.
  void LoseResponses(int count) {
    const std::lock_guard guard(this->mutex);
    this->responses_to_lose = count;
  }
  // Watches from a revision before the current one fail with kStoreHistoryGone.
  void ForgetHistory() {
    const std::lock_guard guard(this->mutex);
    this->history_from = this->revision;
  }
  // The watches that are pending now receive no further changes.
  void SilenceWatches() {
    const std::lock_guard guard(this->mutex);
    ++this->watch_generation;
  }
  // The same for the watches of the clients with this store address only.
  void SilenceWatchesOf(const std::string& address) {
    const std::lock_guard guard(this->mutex);
    ++this->watch_generations[address];
  }
  std::uint64_t GetWatchGeneration(const std::string& address) {
    const std::lock_guard guard(this->mutex);
    return this->watch_generation + this->watch_generations[address];
  }
  // Ends all leases and removes their keys without an event.
  void EndLeases() {
    const std::lock_guard guard(this->mutex);
    std::erase_if(this->items, [](const auto& item) { return item.second.lease != 0; });
    this->last_lease += 1000;
    this->first_lease = this->last_lease;
    this->history_from = ++this->revision;
  }

  // Keeps a copy of all items and leases for RestoreCopy.
  void SaveCopy() {
    const std::lock_guard guard(this->mutex);
    this->copy = Copy{this->items, this->revision, this->last_lease};
  }
  // Returns to the copy and begins a new era. Watches fail, and revisions and leases that were
  // given out since the copy are given out again.
  void RestoreCopy() {
    const std::lock_guard guard(this->mutex);
    this->items = this->copy.items;
    this->revision = this->copy.revision;
    this->last_lease = this->copy.last_lease;
    ++this->era;
  }
  // 0 until it is set, and then rises with each restore.
  void SetEra(std::uint64_t value) {
    const std::lock_guard guard(this->mutex);
    this->era = value;
  }
  std::uint64_t GetEra() {
    const std::lock_guard guard(this->mutex);
    return this->era;
  }

  bool Has(const std::string& key) {
    const std::lock_guard guard(this->mutex);
    return this->items.count(key) > 0;
  }
  std::uint64_t GetLease(const std::string& key) {
    const std::lock_guard guard(this->mutex);
    return this->items[key].lease;
  }
  int GetCalls() {
    const std::lock_guard guard(this->mutex);
    return this->calls;
  }

  bool BeginCall(const std::string& address) {
    const std::lock_guard guard(this->mutex);
    ++this->calls;
    return !this->refusing && this->refused_address != address;
  }
  StoreItem Get(const std::string& key) {
    const std::lock_guard guard(this->mutex);
    StoreItem item{key, std::nullopt, this->revision};
    if (this->items.count(key) > 0) {
      item.value = this->items[key].value;
    }
    return item;
  }
  StoreView List(std::string_view prefix, std::uint64_t after) {
    const std::lock_guard guard(this->mutex);
    StoreView view{{}, this->revision};
    for (const auto& [key, entry] : this->items) {
      if (key.starts_with(prefix) && entry.revision > after) {
        view.items.push_back({key, entry.value, entry.revision});
      }
    }
    return view;
  }
  bool IsHistoryGone(std::uint64_t after) {
    const std::lock_guard guard(this->mutex);
    return after < this->history_from || after > this->revision;
  }
  // Returns false if the lease has ended.
  bool Write(const std::string& key, const std::string& value, std::uint64_t lease) {
    const std::lock_guard guard(this->mutex);
    if (!this->IsLease(lease)) {
      return false;
    }
    this->items[key] = {value, ++this->revision, lease};
    return true;
  }
  std::uint64_t Grant() {
    const std::lock_guard guard(this->mutex);
    return ++this->last_lease;
  }
  bool Renew(std::uint64_t lease) {
    const std::lock_guard guard(this->mutex);
    return this->IsLease(lease);
  }
  // Ends the lease and removes its keys without an event.
  void End(std::uint64_t lease) {
    const std::lock_guard guard(this->mutex);
    std::erase_if(this->items, [lease](const auto& item) { return item.second.lease == lease; });
    ++this->revision;
  }
  bool TryLoseResponse() {
    const std::lock_guard guard(this->mutex);
    return this->responses_to_lose > 0 && this->responses_to_lose-- > 0;
  }

 private:
  bool IsLease(std::uint64_t lease) const {
    return lease > this->first_lease && lease <= this->last_lease;
  }

  struct Copy {
    std::map<std::string, Entry> items;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
  };

  std::mutex mutex;
  Copy copy;
  std::uint64_t era = 0;
  std::map<std::string, Entry> items;
  std::uint64_t revision = 1;
  std::uint64_t history_from = 0;
  std::uint64_t first_lease = 0;
  std::uint64_t last_lease = 0;
  std::uint64_t watch_generation = 0;
  std::map<std::string, std::uint64_t> watch_generations;
  int responses_to_lose = 0;
  int calls = 0;
  bool refusing = false;
  std::optional<std::string> refused_address;
};

// A client of the fake store that all daemons of the test share.
class FakeStoreClient {
 public:
  FakeStoreClient(IoShard& io_shard, std::string_view store_address)
      : shard(io_shard), address(store_address) {}

  static FakeLeaseStore& GetStore() {
    static FakeLeaseStore store;
    return store;
  }

  Awaitable<Result<StoreItem>> Get(std::string_view key) {
    if (!GetStore().BeginCall(this->address)) {
      co_return MakeRefused();
    }
    StoreItem item = GetStore().Get(std::string(key));
    this->ObserveEra();
    co_return item;
  }
  Awaitable<Result<StoreView>> List(std::string_view prefix) {
    if (!GetStore().BeginCall(this->address)) {
      co_return MakeRefused();
    }
    StoreView view = GetStore().List(prefix, 0);
    this->ObserveEra();
    co_return view;
  }
  Awaitable<Result<StoreView>> Watch(std::string_view prefix, std::uint64_t after, Duration wait) {
    constexpr Duration kPollInterval = std::chrono::milliseconds(5);
    const TimePoint until = GetNow() + wait;
    if (!GetStore().BeginCall(this->address)) {
      co_return MakeRefused();
    }
    asio::steady_timer timer(this->shard.GetContext());
    const std::uint64_t generation = GetStore().GetWatchGeneration(this->address);
    const int cancelled_before = this->cancelled;
    while (true) {
      if (this->cancelled != cancelled_before) {
        co_return MakeRefused();
      }
      if (generation != GetStore().GetWatchGeneration(this->address) && GetNow() < until) {
        ErrorCode ignored;
        timer.expires_after(kPollInterval);
        co_await timer.async_wait(AwaitInto(ignored));
        continue;
      }
      if (GetStore().IsHistoryGone(after)) {
        this->ObserveEra();
        co_return Error{ErrorKind::kStoreHistoryGone, "forgotten"};
      }
      StoreView view = GetStore().List(prefix, after);
      if (!view.items.empty() || GetNow() >= until) {
        this->ObserveEra();
        co_return view;
      }
      ErrorCode code;
      timer.expires_after(kPollInterval);
      co_await timer.async_wait(AwaitInto(code));
    }
  }
  Awaitable<Status> Write(std::string_view key, std::string_view value, std::uint64_t lease) {
    if (!GetStore().BeginCall(this->address)) {
      co_return MakeRefused();
    }
    const bool written = GetStore().Write(std::string(key), std::string(value), lease);
    if (written && GetStore().TryLoseResponse()) {
      co_return MakeRefused();
    }
    this->ObserveEra();
    if (!written) {
      co_return Error{ErrorKind::kLeaseEnded, "ended"};
    }
    co_return MakeOkStatus();
  }
  Awaitable<Result<std::uint64_t>> GrantLease(Duration) {
    if (!GetStore().BeginCall(this->address)) {
      co_return MakeRefused();
    }
    const std::uint64_t lease = GetStore().Grant();
    this->ObserveEra();
    co_return lease;
  }
  Awaitable<Status> RenewLease(std::uint64_t lease) {
    if (!GetStore().BeginCall(this->address)) {
      co_return MakeRefused();
    }
    const bool renewed = GetStore().Renew(lease);
    this->ObserveEra();
    if (!renewed) {
      co_return Error{ErrorKind::kLeaseEnded, "ended"};
    }
    co_return MakeOkStatus();
  }
  Awaitable<Status> EndLease(std::uint64_t lease) {
    if (!GetStore().BeginCall(this->address)) {
      co_return MakeRefused();
    }
    GetStore().End(lease);
    co_return MakeOkStatus();
  }
  void CancelWatches() { ++this->cancelled; }
  std::uint64_t GetEra() const { return this->era; }
  void SetEraListener(std::function<void()> listener) { this->on_new_era = std::move(listener); }

 private:
  static Error MakeRefused() { return {ErrorKind::kStoreUnavailable, "refused"}; }

  void ObserveEra() {
    const std::uint64_t before = std::exchange(this->era, GetStore().GetEra());
    if (this->era != before && this->on_new_era) {
      this->on_new_era();
    }
  }

  IoShard& shard;
  const std::string address;
  int cancelled = 0;
  std::uint64_t era = 0;
  std::function<void()> on_new_era;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_FAKE_LEASE_STORE_H_
