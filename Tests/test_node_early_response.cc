// Guards against a response that waits for the caller: a target responds to the begin of an upload
// whose caller sends the rest only after the response, or never.

#include <chrono>
#include <string>

#include "Fakes/early_target.h"
#include "Fakes/fake_mesh.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Target: t1\r\nX-Signature: s\r\nContent-Length: ";

}  // namespace

Test(early_response, a_response_does_not_wait_for_the_rest_of_the_upload) {
  FakeMesh<EarlyTarget> mesh(0, EarlyReply{std::string(kHead) + "3\r\n\r\nnow", seconds(7)},
                             std::string(kHead) + "0\r\n\r\n");
  RawClient client(mesh.GetFront().GetSettings().caller_address);
  client.Write("POST /slow/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nContent-Length: 1000000\r\n\r\n" +
               std::string(200'000, 'u'));
  const std::string response = client.ReadFor(seconds(4));
  cr_assert(HasStatus(response, "200"), "%s", response.substr(0, 200).c_str());
  // The rest of the upload would be read as the next request.
  cr_assert(client.IsEnded());
}
