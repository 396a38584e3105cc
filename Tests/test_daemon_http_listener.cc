// Guards against a shutdown that waits for idle connections, processor time that idle
// connections use, a shutdown that interrupts a request in flight, requests that are handled
// behind a response that closes their connection, and responses that are cut off by its end.
#include <criterion/criterion.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Daemon/http_listener.h"
#include "Fakes/pipelined_requests.h"
#include "Fakes/raw_target.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

std::unique_ptr<httplib::Client> OpenConnection(const std::string& address) {
  auto client = std::make_unique<httplib::Client>("http://" + address);
  client->set_keep_alive(true);
  const httplib::Result response = client->Get("/quick");
  cr_assert(response && response->body == "quick");
  return client;
}

double GetProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// More than the socket buffers of a connection hold.
constexpr std::size_t kLargeBytes = 16U << 20U;

// A connection whose bytes the test writes and reads itself.
class RawClient {
 public:
  explicit RawClient(const std::string& address) : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    // Keeps most bytes of a large response on the side of the server.
    const int buffer_bytes = 32 * 1024;
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    sockaddr_in server{};
    server.sin_family = AF_INET;
    server.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(":") + 1))));
    cr_assert_eq(connect(this->descriptor, reinterpret_cast<sockaddr*>(&server), sizeof(server)),
                 0);
  }
  ~RawClient() { close(this->descriptor); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Write(const std::string& bytes) {
    cr_assert_eq(send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                 static_cast<ssize_t>(bytes.size()));
  }

  // Reads until the server ends the connection. Pauses once this many bytes have been read.
  std::string ReadAll(std::size_t pause_at = std::string::npos) {
    std::string received;
    std::array<char, 65536> buffer{};
    while (true) {
      if (received.size() >= pause_at) {
        std::this_thread::sleep_for(milliseconds(200));
        pause_at = std::string::npos;
      }
      const ssize_t count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        return received;
      }
      received.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }

 private:
  int descriptor;
};

struct Fixture {
  Fixture() : address(FindFreeAddress()), listener(64) {
    this->listener.GetServer()
        .Get("/quick",
             [](const auto&, auto& response) { response.set_content("quick", "text/plain"); })
        .Get("/closing",
             [this](const auto&, auto& response) {
               ++this->closing_count;
               response.set_header("Connection", "close");
               response.set_content("closing", "text/plain");
             })
        .Get("/large",
             [](const auto&, auto& response) {
               response.set_content(std::string(kLargeBytes, 'x'), "text/plain");
             })
        .Get("/slow", [this](const auto&, auto& response) {
          this->slow_started = true;
          std::this_thread::sleep_for(milliseconds(500));
          response.set_content("slow", "text/plain");
        });
    cr_assert(IsOk(this->listener.Start(this->address)));
  }

  std::string address;
  std::atomic<bool> slow_started{false};
  std::atomic<int> closing_count{0};
  HttpListener listener;
};

}  // namespace

Test(http_listener, stop_does_not_wait_for_idle_connections) {
  Fixture fixture;
  std::vector<std::unique_ptr<httplib::Client>> clients;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(OpenConnection(fixture.address));
  }
  const auto started = Clock::now();
  fixture.listener.Stop();
  // The limit only distinguishes an immediate end from the 30 s limit of an idle connection.
  cr_assert(Clock::now() - started < std::chrono::seconds(10));
}

Test(http_listener, stop_completes_requests_in_flight) {
  Fixture fixture;
  std::string body;
  std::thread caller([&] {
    httplib::Client client("http://" + fixture.address);
    if (const httplib::Result response = client.Get("/slow")) {
      body = response->body;
    }
  });
  while (!fixture.slow_started) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  fixture.listener.Stop();
  caller.join();
  cr_assert_eq(body, "slow");
}

Test(http_listener, idle_connections_cost_no_processor_time) {
  Fixture fixture;
  std::vector<std::unique_ptr<httplib::Client>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(OpenConnection(fixture.address));
  }
  const double before = GetProcessorSeconds();
  std::this_thread::sleep_for(milliseconds(2000));
  const double used = GetProcessorSeconds() - before;
  cr_log_info("%.4f s of processor time in 2 s", used);
  // All control work of a daemon may use 1.2% of a core.
  cr_assert_lt(used, 2 * 0.012);
}

Test(http_listener, a_connection_serves_many_requests) {
  Fixture fixture;
  const auto client = OpenConnection(fixture.address);
  for (int i = 0; i < 100; ++i) {
    const httplib::Result response = client->Get("/quick");
    cr_assert(response && response->status == 200);
  }
}

Test(http_listener, handles_no_request_behind_a_response_that_closes) {
  Fixture fixture;
  RawClient client(fixture.address);
  client.Write(MakeGet("/closing") + MakeGet("/closing") + MakeGet("/closing"));
  const std::string received = client.ReadAll();
  cr_assert_eq(fixture.closing_count, 1);
  const std::size_t head_end = received.find("\r\n\r\n");
  cr_assert_neq(head_end, std::string::npos);
  cr_assert_eq(received.substr(head_end + 4), "closing");
  cr_assert_eq(received.find("Keep-Alive"), std::string::npos, "%s", received.c_str());
}

Test(http_listener, completes_a_response_before_unread_requests) {
  Fixture fixture;
  RawClient client(fixture.address);
  std::string requests = MakeGet("/large", "Connection: close\r\n");
  for (int i = 0; i < 400; ++i) {
    requests += MakeGet("/quick");
  }
  client.Write(requests);
  // What is left at the pause fits into the send buffer, so the server has reached the close.
  const std::string received = client.ReadAll(kLargeBytes - (512U << 10U));
  const std::size_t head_end = received.find("\r\n\r\n");
  cr_assert_neq(head_end, std::string::npos);
  cr_assert_eq(received.size() - head_end - 4, kLargeBytes);
}
