#ifndef LACEWINGBRIDGE_SOURCE_STORE_LEASE_STORE_H_
#define LACEWINGBRIDGE_SOURCE_STORE_LEASE_STORE_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/result.h"
#include "Core/time_point.h"
#include "Http/asio_types.h"

namespace lacewingbridge {

// A key of the store and its value. It has no value if the key was removed at the revision.
struct StoreItem {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t revision = 0;
};

// Items or changes of the store, as of a revision of the whole store.
struct StoreView {
  std::vector<StoreItem> items;
  std::uint64_t revision = 0;
};

// The calls to the platform's store that a daemon of a mesh makes. Their errors mean:
// kStoreUnavailable, the response was not received, and a write may have taken effect;
// kStoreHistoryGone, a watch has to start again from the current items; kLeaseEnded, the lease does
// not exist.
//
// A store that is restored from a copy begins a new era: revisions and leases are given out again.
// Responses of an era that is older than the newest one count as not received.
template <typename Client>
concept LeaseStore = requires(Client& client, std::string_view text, std::uint64_t number,
                              Duration duration, std::function<void()> listener) {
  // Returns the item; without a value if the key does not exist.
  { client.Get(text) } -> std::same_as<Awaitable<Result<StoreItem>>>;
  { client.List(text) } -> std::same_as<Awaitable<Result<StoreView>>>;
  // Returns the changes below the prefix after the revision, or none if the call times out.
  { client.Watch(text, number, duration) } -> std::same_as<Awaitable<Result<StoreView>>>;
  // Writes key and value under the lease.
  { client.Write(text, text, number) } -> std::same_as<Awaitable<Status>>;
  { client.GrantLease(duration) } -> std::same_as<Awaitable<Result<std::uint64_t>>>;
  { client.RenewLease(number) } -> std::same_as<Awaitable<Status>>;
  { client.EndLease(number) } -> std::same_as<Awaitable<Status>>;
  // Makes pending watches return an error at once.
  client.CancelWatches();
  // Newest era in a response; 0 if the store states none.
  { client.GetEra() } -> std::same_as<std::uint64_t>;
  // Calls the listener when a response shows a new era, before the call returns.
  client.SetEraListener(listener);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_LEASE_STORE_H_
