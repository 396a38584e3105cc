#include "Daemon/store_http_client.h"

#include <fmt/core.h>

#include "Core/socket_address.h"
#include "Daemon/http_post.h"
#include "Http/io_shard.h"
#include "store_codec.h"

namespace lacewingbridge {

using std::chrono::milliseconds;

namespace {

// An IoShard needs a seed for random numbers, which a single call never uses.
constexpr std::uint64_t kUnusedSeed = 0;

}  // namespace

Result<std::unique_ptr<StoreHttpClient>> StoreHttpClient::Create(const std::string& address,
                                                                 milliseconds timeout) {
  const Result<SocketAddress> parsed = SocketAddress::Parse(address);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  return std::unique_ptr<StoreHttpClient>(new StoreHttpClient(address, timeout));
}

template <typename Reply, typename Request>
Result<Reply> StoreHttpClient::Call(const char* path, const Request& request,
                                    milliseconds extra_wait) {
  constexpr unsigned kOk = 200;
  IoShard connection(kUnusedSeed);
  HttpPost post(connection, this->address);
  if (!this->AddActive(post)) {
    return Error{ErrorKind::kStoreUnavailable, "this daemon is shutting down"};
  }
  const bool received = post.Send(path, EncodeJson(request), "application/json", this->timeout,
                                  this->timeout + extra_wait);
  this->RemoveActive(post);
  if (!received) {
    return Error{ErrorKind::kStoreUnavailable,
                 fmt::format("{}{}: {}", this->address, path, post.GetFailureText())};
  }
  if (post.GetStatus() != kOk) {
    return Error{ErrorKind::kStoreUnavailable,
                 fmt::format("{}{}: status {}", this->address, path, post.GetStatus())};
  }
  Reply reply;
  if (!DecodeJson(post.GetBody(), reply)) {
    return Error{ErrorKind::kMalformedMessage, this->address + path};
  }
  return reply;
}

bool StoreHttpClient::AddActive(HttpPost& post) {
  const std::lock_guard guard(this->mutex);
  if (this->cancelled) {
    return false;
  }
  this->active.insert(&post);
  return true;
}

void StoreHttpClient::RemoveActive(HttpPost& post) {
  const std::lock_guard guard(this->mutex);
  this->active.erase(&post);
}

void StoreHttpClient::Cancel() {
  const std::lock_guard guard(this->mutex);
  this->cancelled = true;
  for (HttpPost* post : this->active) {
    post->Cancel();
  }
}

Result<StoreGetReply> StoreHttpClient::Get(const StoreGetRequest& request) {
  return this->Call<StoreGetReply>("/v1/get", request, milliseconds(0));
}

Result<StoreSwapReply> StoreHttpClient::Swap(const StoreSwapRequest& request) {
  return this->Call<StoreSwapReply>("/v1/swap", request, milliseconds(0));
}

Result<StoreLeaseReply> StoreHttpClient::Lease(const StoreLeaseRequest& request) {
  return this->Call<StoreLeaseReply>("/v1/lease", request, milliseconds(0));
}

Result<StoreWatchReply> StoreHttpClient::Watch(const StoreWatchRequest& request) {
  return this->Call<StoreWatchReply>("/v1/watch", request, milliseconds(request.wait_ms));
}

}  // namespace lacewingbridge
