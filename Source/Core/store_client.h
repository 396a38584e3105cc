#ifndef LACEWINGBRIDGE_SOURCE_CORE_STORE_CLIENT_H_
#define LACEWINGBRIDGE_SOURCE_CORE_STORE_CLIENT_H_

#include <concepts>

#include "Core/result.h"
#include "store.h"

namespace lacewingbridge {

// Calls of the platform's key-value store. An Error means that the answer is missing:
// a swap whose answer is missing may have taken effect.
template <typename Client>
concept StoreClient = requires(Client& client, const StoreGetRequest& get,
                               const StoreSwapRequest& swap, const StoreLeaseRequest& lease,
                               const StoreWatchRequest& watch) {
  { client.Get(get) } -> std::same_as<Result<StoreGetReply>>;
  { client.Swap(swap) } -> std::same_as<Result<StoreSwapReply>>;
  { client.Lease(lease) } -> std::same_as<Result<StoreLeaseReply>>;
  { client.Watch(watch) } -> std::same_as<Result<StoreWatchReply>>;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_STORE_CLIENT_H_
