// Guards against health checks that take trailers for headers, or a response that was cut for a
// whole one.

#include <string>

#include "Fakes/fake_platform.h"
#include "Fakes/raw_target.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nX-Id: h\r\nX-Target: t1\r\n";
constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n\r\n";

// Whether a target with this response to health checks gets requests.
bool IsAccepted(const std::string& health) {
  constexpr std::size_t kChecks = 3;
  RouteTable table;
  table.version = 1;
  table.services.push_back({"book", "/health", 100});
  FakeStoreClient::GetStore().Put("table", Encode(table));
  RawTarget target(health);
  MeshDaemon daemon("back", "book", target.GetAddress());
  bool accepted = false;
  while (!accepted && target.ListRequests().size() < kChecks) {
    daemon.Announce();
    accepted = daemon.SendGetRequest(daemon.GetSettings().metrics_address, "/dump")
                   .find("\"accepting\":true") != std::string::npos;
  }
  return accepted;
}

// A chunk that is longer than what a health check keeps.
std::string MakeChunk() { return "1770\r\n" + std::string(6000, 'x') + "\r\n"; }

}  // namespace

Test(health_check, a_chunked_response_is_read_to_the_end) {
  cr_assert(IsAccepted(std::string(kHead) + kChunked + "2\r\nok\r\n0\r\n\r\n"));
  cr_assert(IsAccepted(std::string(kHead) + kChunked + MakeChunk() + "0\r\n\r\n"));
}

Test(health_check, trailers_are_no_headers) {
  cr_assert(IsAccepted(std::string(kHead) + kChunked + "2\r\nok\r\n0\r\nX-Not-Run: 1\r\n\r\n"));
  cr_assert_not(IsAccepted(std::string("HTTP/1.1 200 OK\r\nX-Id: h\r\n") + kChunked +
                           "2\r\nok\r\n0\r\nX-Target: t1\r\n\r\n"));
}

Test(health_check, a_cut_response_is_refused) {
  cr_assert_not(IsAccepted(std::string(kHead) + kChunked + "2\r\nok\r\n"));
  cr_assert_not(IsAccepted(std::string(kHead) + kChunked + "2\r\nok\r\n0\r\nX-A: b\r\n"));
  cr_assert_not(IsAccepted(std::string(kHead) + kChunked + MakeChunk()));
  cr_assert_not(
      IsAccepted(std::string(kHead) + "Content-Length: 6001\r\n\r\n" + std::string(6000, 'x')));
}

Test(health_check, a_malformed_chunk_or_trailer_is_refused) {
  cr_assert_not(IsAccepted(std::string(kHead) + kChunked + "g\r\nok\r\n0\r\n\r\n"));
  cr_assert_not(IsAccepted(std::string(kHead) + kChunked + "2\r\nok\r\n0\r\nX A: b\r\n\r\n"));
}

// Guards against a body without an end, which keeps the thread of the daemon reading.
Test(health_check, a_long_body_is_not_read_to_the_end) {
  const auto make_body = [](std::size_t size) {
    return "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
  };
  cr_assert(IsAccepted(kHead + make_body(64 * 1024)));
  cr_assert_not(IsAccepted(kHead + make_body(64 * 1024 + 1)));
  cr_assert_not(IsAccepted(kHead + make_body(8 << 20)));
}
