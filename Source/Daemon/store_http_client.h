#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_STORE_HTTP_CLIENT_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_STORE_HTTP_CLIENT_H_

#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "Core/result.h"
#include "Core/store_client.h"

namespace lacewingbridge {

class HttpPost;

// Calls the platform's store over HTTP with JSON bodies. Satisfies StoreClient and may be used
// from any thread. Each call opens a connection of its own, so that calls of different
// threads do not wait for each other. The cost is low because the store is called a few times
// a second at most.
class StoreHttpClient {
 public:
  // Fails when the address is not IP:PORT.
  static Result<std::unique_ptr<StoreHttpClient>> Create(const std::string& address,
                                                         std::chrono::milliseconds timeout);

  Result<StoreGetReply> Get(const StoreGetRequest& request);
  Result<StoreSwapReply> Swap(const StoreSwapRequest& request);
  Result<StoreLeaseReply> Lease(const StoreLeaseRequest& request);
  Result<StoreWatchReply> Watch(const StoreWatchRequest& request);

  // Aborts the calls in progress and refuses all later ones. Used for shutdown.
  void Cancel();

 private:
  StoreHttpClient(std::string store_address, std::chrono::milliseconds limit)
      : address(std::move(store_address)), timeout(limit) {}

  // extra_wait extends the limit of the call by the time that the store may hold the call open.
  template <typename Reply, typename Request>
  Result<Reply> Call(const char* path, const Request& request,
                     std::chrono::milliseconds extra_wait);

  // Returns false after Cancel.
  bool AddActive(HttpPost& post);
  void RemoveActive(HttpPost& post);

  std::string address;
  std::chrono::milliseconds timeout;
  std::mutex mutex;
  bool cancelled = false;
  std::set<HttpPost*> active;
};

static_assert(StoreClient<StoreHttpClient>);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_STORE_HTTP_CLIENT_H_
