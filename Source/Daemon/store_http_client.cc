#include "Daemon/store_http_client.h"

#include <fmt/core.h>
#include <httplib.h>

#include "Core/socket_address.h"
#include "store_codec.h"

namespace lacewingbridge {

using std::chrono::milliseconds;

Result<std::unique_ptr<StoreHttpClient>> StoreHttpClient::Create(const std::string& address,
                                                                 milliseconds timeout) {
  const Result<SocketAddress> parsed = SocketAddress::Parse(address);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  return std::unique_ptr<StoreHttpClient>(new StoreHttpClient("http://" + address, timeout));
}

template <typename Reply, typename Request>
Result<Reply> StoreHttpClient::Call(const char* path, const Request& request,
                                    milliseconds extra_wait) {
  httplib::Client client(this->base_url);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(this->timeout);
  client.set_read_timeout(this->timeout + extra_wait);
  client.set_write_timeout(this->timeout);
  if (!this->AddActive(client)) {
    return Error{ErrorKind::kStoreUnavailable, "this daemon is shutting down"};
  }
  const httplib::Result response = client.Post(path, EncodeJson(request), "application/json");
  this->RemoveActive(client);
  if (!response) {
    return Error{ErrorKind::kStoreUnavailable, fmt::format("{}{}: {}", this->base_url, path,
                                                           httplib::to_string(response.error()))};
  }
  if (response->status != 200) {
    return Error{ErrorKind::kStoreUnavailable,
                 fmt::format("{}{}: status {}", this->base_url, path, response->status)};
  }
  Reply reply;
  if (!DecodeJson(response->body, reply)) {
    return Error{ErrorKind::kMalformedMessage, this->base_url + path};
  }
  return reply;
}

bool StoreHttpClient::AddActive(httplib::Client& client) {
  const std::lock_guard guard(this->mutex);
  if (this->cancelled) {
    return false;
  }
  this->active.insert(&client);
  return true;
}

void StoreHttpClient::RemoveActive(httplib::Client& client) {
  const std::lock_guard guard(this->mutex);
  this->active.erase(&client);
}

void StoreHttpClient::Cancel() {
  const std::lock_guard guard(this->mutex);
  this->cancelled = true;
  for (httplib::Client* client : this->active) {
    client->stop();
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
