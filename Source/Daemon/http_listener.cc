#include "Daemon/http_listener.h"

#include <httplib.h>

#include <string>
#include <utility>

#include "Core/socket_address.h"
#include "Daemon/http_server.h"

namespace lacewingbridge {

namespace {

constexpr std::size_t kMaxRequestsPerConnection = 1'000'000;
constexpr time_t kIdleConnectionSeconds = 30;
constexpr std::size_t kMaxBodyBytes = 8U << 20U;

// Replaces the library's default, which sets SO_REUSEPORT: a second daemon on the same port
// would take half of the connections without an error.
void SetSocketOptions(socket_t socket) {
  const int enabled = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

}  // namespace

HttpListener::HttpListener(std::size_t thread_count) : server(std::make_unique<HttpServer>()) {
  this->server->new_task_queue = [thread_count] { return new httplib::ThreadPool(thread_count); };
  this->server->set_tcp_nodelay(true);
  this->server->set_keep_alive_max_count(kMaxRequestsPerConnection);
  this->server->set_keep_alive_timeout(kIdleConnectionSeconds);
  this->server->set_payload_max_length(kMaxBodyBytes);
  this->server->set_socket_options(SetSocketOptions);
}

HttpListener::~HttpListener() { this->Stop(); }

httplib::Server& HttpListener::GetServer() { return *this->server; }

void HttpListener::SetRequestHook(std::function<void(httplib::Request&)> hook) {
  this->server->SetRequestHook(std::move(hook));
}

Status HttpListener::Start(std::string_view address) {
  Result<SocketAddress> parsed = SocketAddress::Parse(address);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  const SocketAddress& socket_address = GetValue(parsed);
  if (!this->server->bind_to_port(socket_address.GetIp(), socket_address.GetPort())) {
    return Error{ErrorKind::kListenFailed, std::string(address)};
  }
  this->thread = std::thread([this] { this->server->listen_after_bind(); });
  return MakeOkStatus();
}

void HttpListener::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  this->server->stop();
  this->server->CloseConnections();
  this->thread.join();
}

}  // namespace lacewingbridge
