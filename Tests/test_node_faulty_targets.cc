// Guards against targets that repeat a response on a keep-alive connection, break off within the
// headers of a response, or send endless headers and bodies. Callers then received "not run" for
// requests that ran, responses that only looked complete, or no response in time.

#include <chrono>
#include <string>
#include <utility>

#include "Fakes/fake_mesh.h"
#include "Fakes/keep_alive_target.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

// A tenth of the memory of the smallest hosts. Most of it is for the buffers of the sockets.
constexpr std::size_t kMaxAcceptedBytes = 16'000'000;

std::string MakeHeaders(const std::string& status, const std::string& id) {
  return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\nX-Target: t1\r\nX-Signature: s\r\n";
}

std::string MakeResponse(const std::string& id, const std::string& body) {
  return MakeHeaders("200 OK", id) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string MakeRefusal(const std::string& id) {
  return MakeHeaders("503 Full", id) + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

class Mesh : public FakeMesh<KeepAliveTarget> {
 public:
  explicit Mesh(KeepAliveTarget::Script script)
      : FakeMesh(0, std::move(script), MakeResponse("health", "")) {}

  int CountRequests() { return this->GetTarget().CountRequests(); }
};

// Whether the response is neither a success nor a refusal as not run.
bool IsUnknown(const std::string& response) {
  return HasStatus(response, "502") || HasStatus(response, "504");
}

}  // namespace

Test(faulty_targets, a_duplicate_refusal_is_not_matched_to_the_next_request) {
  Mesh mesh([](const std::string&, int number) -> TargetReply {
    if (number == 1) {
      return {MakeRefusal("r1")};
    }
    return {MakeRefusal("r1") + MakeResponse("r2", "done")};
  });
  const std::string refused = mesh.Send("POST", "/write/1", "r1");
  cr_assert(HasStatus(refused, "503"), "%s", refused.c_str());
  const std::string response = mesh.Send("POST", "/write/2", "r2");
  cr_assert(HasStatus(response, "200"), "%s", response.c_str());
  cr_assert(response.ends_with("done"), "%s", response.c_str());
  cr_assert_eq(mesh.CountRequests(), 2);
}

// The duplicate refusal arrives only after the next request has been written, and the response to
// that request never arrives.
Test(faulty_targets, a_late_duplicate_refusal_does_not_mark_the_next_request_as_not_run) {
  for (const std::string method : {"POST", "GET"}) {
    Mesh mesh([](const std::string&, int) -> TargetReply { return {MakeRefusal("r1")}; });
    const std::string path = method == "POST" ? "/write/" : "/read/";
    cr_assert(HasStatus(mesh.Send(method, path + "1", "r1"), "503"));
    const std::string response = mesh.Send(method, path + "2", "r2");
    cr_assert(IsUnknown(response), "%s", response.c_str());
  }
}

Test(faulty_targets, truncated_headers_are_not_accepted_as_a_response) {
  const std::string whole = MakeResponse("r1", "");
  for (std::size_t length = 1; length < whole.size(); length += 7) {
    Mesh mesh([&](const std::string&, int) -> TargetReply {
      return {whole.substr(0, length), "", {}, true};
    });
    const std::string response = mesh.Send("POST", "/write/1", "r1");
    cr_assert(IsUnknown(response), "after %zu bytes: %s", length, response.c_str());
    cr_assert_eq(mesh.CountRequests(), 1);
  }
}

Test(faulty_targets, endless_headers_are_aborted) {
  const std::string line = "X-Pad: " + std::string(1000, 'x') + "\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string noise(4000, 'x');
  for (const TargetReply& reply :
       {TargetReply{"HTTP/1.1 200 OK\r\n", line}, TargetReply{"", interim}, TargetReply{"", noise},
        TargetReply{"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", milliseconds(20)}}) {
    Mesh mesh([&](const std::string&, int) { return reply; });
    const std::string response = mesh.Send("POST", "/write/1", "r1");
    cr_assert(IsUnknown(response), "%s", response.substr(0, 200).c_str());
    cr_assert_eq(mesh.CountRequests(), 1);
  }
}

// Guards against a target that sends bytes without end where the framing of a body is due. The
// daemon kept them all until the deadline, and its host ran out of memory.
Test(faulty_targets, endless_framing_is_aborted_and_other_requests_are_served) {
  const std::string chunked = MakeHeaders("200 OK", "r1") + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string noise(64'000, 'x');
  const std::string zeros(64'000, '0');
  const std::string trailer = "X-Pad: " + std::string(1000, 'x') + "\r\n";
  for (const TargetReply& reply :
       {TargetReply{MakeHeaders("200 OK", "r1") + "X-Pad: ", noise},
        TargetReply{MakeHeaders("200 OK", "r1"), trailer}, TargetReply{chunked + "5;a=", noise},
        TargetReply{chunked, zeros}, TargetReply{chunked + "5\r\nhello\r\n0\r\nX-Pad: ", noise},
        TargetReply{chunked + "5\r\nhello\r\n0\r\n", trailer}}) {
    Mesh mesh([&](const std::string&, int number) -> TargetReply {
      return number == 1 ? reply : TargetReply{MakeResponse("r2", "done")};
    });
    const std::string response = mesh.Send("POST", "/write/1", "r1");
    cr_assert(IsUnknown(response), "%s", response.substr(0, 200).c_str());
    cr_assert_leq(mesh.GetTarget().CountEndlessBytes(), kMaxAcceptedBytes, "%s: %zu bytes",
                  reply.bytes.c_str(), mesh.GetTarget().CountEndlessBytes());
    const std::string other = mesh.Send("POST", "/write/2", "r2");
    cr_assert(other.ends_with("done"), "%s", other.c_str());
  }
}

// The first part of a body is kept in memory so that the request can be sent again. The deadline of
// the request applies meanwhile.
Test(faulty_targets, an_endless_slow_body_ends_at_the_deadline_of_the_request) {
  Mesh mesh([](const std::string&, int) -> TargetReply {
    return {MakeHeaders("200 OK", "r1") + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n",
            milliseconds(20)};
  });
  const std::string response = mesh.Send("GET", "/read/1", "r1");
  cr_assert(HasStatus(response, "504"), "%s", response.c_str());
}

Test(faulty_targets, an_endless_long_body_does_not_look_complete) {
  const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  Mesh mesh([&](const std::string&, int) -> TargetReply {
    return {MakeHeaders("200 OK", "r1") + "Transfer-Encoding: chunked\r\n\r\n", chunk,
            milliseconds(1)};
  });
  const std::string response = mesh.Send("GET", "/read/1", "r1");
  cr_assert(!response.ends_with("0\r\n\r\n"));
}

// A long response is limited by the deadline of its caller, not by the timeout of the route.
Test(faulty_targets, a_slow_long_response_reaches_a_caller_without_a_deadline) {
  const std::string begin(70'000, 'x');
  const std::string part(26'500, 'x');
  // The parts take two seconds, on a route that times out after 1.5 s.
  const std::size_t length = begin.size() + 20 * part.size();
  Mesh mesh([&](const std::string&, int) -> TargetReply {
    return {MakeHeaders("200 OK", "r1") + "Content-Length: " + std::to_string(length) + "\r\n\r\n" +
                begin,
            part, milliseconds(100)};
  });
  RawClient client(mesh.GetFront().GetSettings().caller_address);
  client.Write("GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nConnection: close\r\n\r\n");
  const std::string response = client.ReadFor(milliseconds(2500));
  const std::size_t head = response.find("\r\n\r\n");
  cr_assert_neq(head, std::string::npos);
  cr_assert_eq(response.size() - head - 4, length);
}
