#ifndef LACEWINGBRIDGE_TESTS_FAKES_FAKE_PLATFORM_H_
#define LACEWINGBRIDGE_TESTS_FAKES_FAKE_PLATFORM_H_

#include <charconv>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "Fakes/fake_lease_store.h"
#include "Fakes/fake_table_source.h"
#include "Fakes/raw_target.h"
#include "Node/mesh_node.h"
#include "mesh_codec.h"

namespace lacewingbridge {

// A platform for tests: its header names, store, configuration and announcements.
struct FakePlatform {
  struct Wire {
    static CallerHeaders ReadCallerHeaders(const http::fields& fields) {
      CallerHeaders headers;
      headers.request_id = std::string(fields["X-Id"]);
      const std::string text(fields["X-Time-Left-Ms"]);
      int milliseconds = 0;
      if (std::from_chars(text.data(), text.data() + text.size(), milliseconds).ec == std::errc()) {
        headers.time_left = std::chrono::milliseconds(milliseconds);
      }
      if (fields.count("X-Key") == 1) {
        headers.api_key = std::string(fields["X-Key"]);
      }
      return headers;
    }
    static AccessHeaders GetAccessHeaders() { return {"X-Key", "X-Workspace", "Key"}; }
    static TargetResponseHeaders ReadResponseHeaders(const http::fields& fields) {
      TargetResponseHeaders headers;
      headers.request_id = std::string(fields["X-Id"]);
      headers.target_id = std::string(fields["X-Target"]);
      headers.has_signature = fields.count("X-Signature") > 0;
      headers.not_run = fields.count("X-Not-Run") > 0;
      headers.is_encoded = fields.count("Content-Encoding") > 0;
      return headers;
    }
    static void WriteTargetHeaders(http::fields& fields, const TargetHeaders& headers) {
      fields.set("X-Time-Left-Ms", std::to_string(CountMilliseconds(headers.time_left)));
      fields.set("X-Caller-Service", headers.caller_service);
      fields.set("X-Expected-Target", headers.target_id);
      if (!headers.workspace.empty()) {
        fields.set("X-Workspace", headers.workspace);
      }
    }
  };

  using StoreClient = FakeStoreClient;

  using Source = FakeTableSource;

  // Every request to the control address announces that the target t1 is ready.
  class ControlHandler {
   public:
    ControlHandler(TargetGate& target_gate, std::function<void()> change_listener)
        : gate(target_gate), on_change(std::move(change_listener)) {}
    Awaitable<void> Handle(IoShard&, ServerExchange& exchange) {
      TargetAnnouncement announcement;
      announcement.id = "t1";
      announcement.service = std::string(exchange.GetBody());
      announcement.slots = 4;
      announcement.sequence = ++this->sequence;
      announcement.born_unix_ms = 1000;
      this->gate.HandleAnnouncement(GetNow(), announcement);
      this->on_change();
      ServerExchange::Answer response(http::status::ok, 11);
      co_await exchange.Send(std::move(response));
    }
    bool MayRepeat(const ServerExchange&) const { return true; }
    ServerLimits GetLimits() const { return {}; }
    void NoteOpened() {}
    void NoteClosed() {}
    void NoteBusy() {}
    void NoteIdle() {}

   private:
    TargetGate& gate;
    std::function<void()> on_change;
    std::uint64_t sequence = 0;
  };

  class ReadyHandler {
   public:
    explicit ReadyHandler(std::function<bool()> ready_check) : is_ready(std::move(ready_check)) {}
    Awaitable<void> Handle(IoShard&, ServerExchange& exchange) {
      const http::status status =
          this->is_ready() ? http::status::ok : http::status::service_unavailable;
      ServerExchange::Answer response(status, 11);
      co_await exchange.Send(std::move(response));
    }
    bool MayRepeat(const ServerExchange&) const { return true; }
    ServerLimits GetLimits() const { return {}; }
    void NoteOpened() {}
    void NoteClosed() {}
    void NoteBusy() {}
    void NoteIdle() {}

   private:
    std::function<bool()> is_ready;
  };
};

// Sends bytes to a loopback address and reads until the other side closes the connection or sends
// nothing for a given time.
class RawClient {
 public:
  explicit RawClient(const std::string& address) {
    const std::size_t colon = address.find(':');
    ErrorCode code;
    this->socket.connect({asio::ip::make_address(address.substr(0, colon)),
                          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))},
                         code);
  }

  void Write(const std::string& bytes) {
    ErrorCode ignored;
    asio::write(this->socket, asio::buffer(bytes), ignored);
  }

  std::string ReadFor(std::chrono::milliseconds silence) {
    std::string received;
    char buffer[4096];
    timeval limit{static_cast<time_t>(silence.count() / 1000),
                  static_cast<suseconds_t>(silence.count() % 1000 * 1000)};
    setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    while (true) {
      const ssize_t count = recv(this->socket.native_handle(), buffer, sizeof(buffer), 0);
      if (count <= 0) {
        this->reset = count < 0 && errno == ECONNRESET;
        this->ended = count == 0 || this->reset;
        return received;
      }
      received.append(buffer, static_cast<std::size_t>(count));
    }
  }

  bool IsEnded() const { return this->ended; }
  bool WasReset() const { return this->reset; }

 private:
  asio::io_context context;
  TcpSocket socket{this->context};
  bool ended = false;
  bool reset = false;
};

// A daemon with its threads, beside a target at the given address.
class MeshDaemon {
 public:
  // A link rate of 0 bytes per second means that the link of the host is not limited.
  MeshDaemon(const std::string& host, const std::string& service, const std::string& target,
             std::uint64_t link_bytes_per_second = 0)
      : settings(MakeSettings(host, service, target, link_bytes_per_second)),
        node(std::move(GetValue(MeshNode<FakePlatform>::Create(this->settings, 1)))),
        thread([this] { this->node->Run([] {}); }) {}

  ~MeshDaemon() {
    this->Stop();
    this->thread.join();
  }
  MeshDaemon(const MeshDaemon&) = delete;
  MeshDaemon& operator=(const MeshDaemon&) = delete;

  void Stop() {
    asio::post(this->node->GetControlContext(), [this] { this->node->Stop(); });
  }

  std::vector<std::string> Apply(const MeshSettings& changed) {
    std::promise<std::vector<std::string>> names;
    asio::post(this->node->GetControlContext(),
               [&] { names.set_value(this->node->ApplySettings(changed)); });
    return names.get_future().get();
  }

  // Sends the announcement that the target would send.
  void Announce() {
    RawClient client(this->settings.control_address);
    client.Write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                 std::to_string(this->settings.service.size()) + "\r\n\r\n" +
                 this->settings.service);
    client.ReadFor(std::chrono::milliseconds(50));
  }

  std::string SendGetRequest(const std::string& address, const std::string& path) {
    RawClient client(address);
    client.Write("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    return client.ReadFor(std::chrono::milliseconds(100));
  }

  const MeshSettings& GetSettings() const { return this->settings; }

 private:
  static MeshSettings MakeSettings(const std::string& host, const std::string& service,
                                   const std::string& target, std::uint64_t link_rate) {
    MeshSettings settings;
    settings.link_bytes_per_second = link_rate;
    settings.host = host;
    settings.data_centre = "a1";
    settings.region = "a";
    settings.service = service;
    settings.target_address = target;
    settings.caller_address = FindFreeAddress();
    settings.peer_address = FindFreeAddress();
    settings.control_address = FindFreeAddress();
    settings.ready_address = FindFreeAddress();
    settings.metrics_address = FindFreeAddress();
    settings.store_address = "store-of-" + host;
    settings.worker_threads = 2;
    settings.min_lease_ms = 1000;
    settings.stop_limit_ms = 1500;
    settings.retry_ratio = 2;
    settings.retry_slack = 100;
    settings.retry_window_ms = 10000;
    settings.table_bound_ms = 200;
    settings.revoke_bound_ms = 2000;
    return settings;
  }

  const MeshSettings settings;
  const std::unique_ptr<MeshNode<FakePlatform>> node;
  std::thread thread;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_FAKE_PLATFORM_H_
