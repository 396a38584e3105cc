// Guards against sound responses and uploads that are cut because their receiver pauses while it
// reads: the system ends a connection with TCP_USER_TIMEOUT whose receiver keeps its window closed.
// Guards also against a receiver that never reads again and holds a slot of the target.

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Fakes/early_target.h"
#include "Fakes/fake_mesh.h"
#include "Fakes/keep_alive_target.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Target: t1\r\nX-Signature: s\r\nContent-Length: ";

}  // namespace

Test(slow_reader, a_long_response_outlasts_a_caller_that_pauses) {
  const std::string body(std::size_t{24} * 1024 * 1024, 'x');
  FakeMesh<KeepAliveTarget> mesh(
      0,
      [&](const std::string&, int) {
        return TargetReply{kHead + std::to_string(body.size()) + "\r\n\r\n" + body};
      },
      std::string(kHead) + "0\r\n\r\n");
  RawClient client(mesh.GetFront().GetSettings().caller_address);
  client.Write("GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nX-Time-Left-Ms: 20000\r\n\r\n");
  std::this_thread::sleep_for(seconds(6));
  const std::string received = client.ReadFor(milliseconds(1500));
  cr_assert(HasStatus(received, "200"));
  cr_assert(received.size() > body.size(), "only %zu bytes", received.size());
}

Test(slow_reader, a_response_that_is_written_whole_outlasts_a_caller_that_pauses) {
  // Longer than the window of the caller, shorter than the buffer of the daemon's socket.
  const std::string body(std::size_t{400} * 1024, 'x');
  FakeMesh<KeepAliveTarget> mesh(
      0,
      [&](const std::string&, int) {
        return TargetReply{kHead + std::to_string(body.size()) + "\r\n\r\n" + body};
      },
      std::string(kHead) + "0\r\n\r\n");
  for (const std::string connection : {"keep-alive", "close"}) {
    RawClient client(mesh.GetFront().GetSettings().caller_address);
    client.Write("GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nConnection: " + connection +
                 "\r\n\r\n");
    std::this_thread::sleep_for(seconds(4));
    const std::string received = client.ReadFor(milliseconds(1500));
    cr_assert(received.size() > body.size(), "%s: only %zu bytes", connection.c_str(),
              received.size());
  }
}

Test(slow_reader, an_upload_outlasts_a_target_that_pauses) {
  FakeMesh<EarlyTarget> mesh(0, EarlyReply{"", seconds(4), false, std::string(kHead) + "0\r\n\r\n"},
                             std::string(kHead) + "0\r\n\r\n");
  const std::string body(std::size_t{24} * 1024 * 1024, 'u');
  RawClient client(mesh.GetFront().GetSettings().caller_address);
  client.Write("POST /slow/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n");
  client.Write(body);
  const std::string received = client.ReadFor(seconds(5));
  cr_assert(HasStatus(received, "200"), "%s", received.substr(0, 200).c_str());
}

// The target has 4 slots.
Test(slow_reader, callers_that_stop_reading_hold_no_slot_beyond_their_deadline) {
  const std::string body(std::size_t{24} * 1024 * 1024, 'x');
  FakeMesh<KeepAliveTarget> mesh(
      0,
      [&](const std::string& request, int) {
        const std::string& sent = request.starts_with("GET /read/long") ? body : std::string();
        return TargetReply{kHead + std::to_string(sent.size()) + "\r\n\r\n" + sent};
      },
      std::string(kHead) + "0\r\n\r\n");
  std::vector<std::unique_ptr<RawClient>> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(std::make_unique<RawClient>(mesh.GetFront().GetSettings().caller_address));
    callers.back()->Write(
        "GET /read/long HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nX-Time-Left-Ms: 2000\r\n\r\n");
  }
  std::this_thread::sleep_for(seconds(5));
  const std::string received = mesh.Send("GET", "/read/short", "r1");
  cr_assert(HasStatus(received, "200"), "%s", received.substr(0, 200).c_str());
  for (const auto& caller : callers) {
    const std::string part = caller->ReadFor(milliseconds(500));
    cr_assert(part.size() < body.size());
    cr_assert(caller->IsEnded());
  }
}

// A target that responds early and leaves the rest of the upload unread. Its response waited until
// the target went on reading.
Test(slow_reader, an_early_response_does_not_wait_for_the_rest_of_the_upload) {
  FakeMesh<EarlyTarget> mesh(0, EarlyReply{std::string(kHead) + "3\r\n\r\nnow", seconds(7)},
                             std::string(kHead) + "0\r\n\r\n");
  const std::string body(std::size_t{24} * 1024 * 1024, 'u');
  RawClient client(mesh.GetFront().GetSettings().caller_address);
  client.Write("POST /slow/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n");
  std::thread writer([&client, &body] { client.Write(body); });
  const std::string response = client.ReadFor(seconds(5));
  cr_assert(HasStatus(response, "200"), "%s", response.substr(0, 200).c_str());
  cr_assert(response.ends_with("now"));
  writer.join();
  // The target reads the rest of the upload on its connection, so it does not respond there again.
  cr_assert(HasStatus(mesh.Send("GET", "/write/1"), "200"));
}
