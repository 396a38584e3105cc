// Guards against a sound response that is cut because its caller pauses while it reads: the system
// ends a connection with TCP_USER_TIMEOUT whose receiver keeps its window closed.

#include <chrono>
#include <string>
#include <thread>

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
