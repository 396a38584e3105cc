// Guards against targets that repeat a response on a keep-alive connection, break off within the
// headers of a response, or send endless headers and bodies. Callers then received "not run" for
// requests that ran, responses that only looked complete, or no response in time.

#include <chrono>
#include <string>
#include <utility>

#include "Fakes/fake_mesh.h"
#include "Fakes/kept_target.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

std::string MakeHead(const std::string& status, const std::string& id) {
  return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\nX-Target: t1\r\nX-Signature: s\r\n";
}

std::string MakeAnswer(const std::string& id, const std::string& body) {
  return MakeHead("200 OK", id) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string MakeRefusal(const std::string& id) {
  return MakeHead("503 Full", id) + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

class Mesh : public FakeMesh<KeptTarget> {
 public:
  explicit Mesh(KeptTarget::Script script)
      : FakeMesh(0, std::move(script), MakeAnswer("health", "")) {}

  int CountRequests() { return this->GetTarget().CountRequests(); }
};

// Whether the response is neither a success nor a refusal as not run.
bool IsUnknown(const std::string& answer) {
  return HasStatus(answer, "502") || HasStatus(answer, "504");
}

}  // namespace

Test(faulty_targets, a_refusal_written_once_more_is_not_taken_for_the_next_request) {
  Mesh mesh([](const std::string&, int number) -> TargetReply {
    if (number == 1) {
      return {MakeRefusal("r1")};
    }
    return {MakeRefusal("r1") + MakeAnswer("r2", "done")};
  });
  const std::string refused = mesh.Send("POST", "/write/1", "r1");
  cr_assert(HasStatus(refused, "503"), "%s", refused.c_str());
  const std::string answer = mesh.Send("POST", "/write/2", "r2");
  cr_assert(HasStatus(answer, "200"), "%s", answer.c_str());
  cr_assert(answer.ends_with("done"), "%s", answer.c_str());
  cr_assert_eq(mesh.CountRequests(), 2);
}

// The duplicate refusal arrives only after the next request has been written, and the response to
// that request never arrives.
Test(faulty_targets, nothing_is_said_not_to_have_run_by_an_earlier_refusal) {
  for (const std::string method : {"POST", "GET"}) {
    Mesh mesh([](const std::string&, int) -> TargetReply { return {MakeRefusal("r1")}; });
    const std::string path = method == "POST" ? "/write/" : "/read/";
    cr_assert(HasStatus(mesh.Send(method, path + "1", "r1"), "503"));
    const std::string answer = mesh.Send(method, path + "2", "r2");
    cr_assert(IsUnknown(answer), "%s", answer.c_str());
  }
}

Test(faulty_targets, a_head_that_breaks_off_is_no_answer) {
  const std::string whole = MakeAnswer("r1", "");
  for (std::size_t length = 1; length < whole.size(); length += 7) {
    Mesh mesh([&](const std::string&, int) -> TargetReply {
      return {whole.substr(0, length), "", {}, true};
    });
    const std::string answer = mesh.Send("POST", "/write/1", "r1");
    cr_assert(IsUnknown(answer), "after %zu bytes: %s", length, answer.c_str());
    cr_assert_eq(mesh.CountRequests(), 1);
  }
}

Test(faulty_targets, heads_without_end_are_broken_off) {
  const std::string line = "X-Pad: " + std::string(1000, 'x') + "\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string noise(4000, 'x');
  for (const TargetReply& reply :
       {TargetReply{"HTTP/1.1 200 OK\r\n", line}, TargetReply{"", interim}, TargetReply{"", noise},
        TargetReply{"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", milliseconds(20)}}) {
    Mesh mesh([&](const std::string&, int) { return reply; });
    const std::string answer = mesh.Send("POST", "/write/1", "r1");
    cr_assert(IsUnknown(answer), "%s", answer.substr(0, 200).c_str());
    cr_assert_eq(mesh.CountRequests(), 1);
  }
}

// The first part of a body is kept in memory so that the request can be sent again. The deadline of
// the request applies meanwhile.
Test(faulty_targets, a_body_that_trickles_without_end_ends_with_the_time_of_the_request) {
  Mesh mesh([](const std::string&, int) -> TargetReply {
    return {MakeHead("200 OK", "r1") + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n",
            milliseconds(20)};
  });
  const std::string answer = mesh.Send("GET", "/read/1", "r1");
  cr_assert(HasStatus(answer, "504"), "%s", answer.c_str());
}

Test(faulty_targets, a_long_body_without_end_does_not_look_complete) {
  const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  Mesh mesh([&](const std::string&, int) -> TargetReply {
    return {MakeHead("200 OK", "r1") + "Transfer-Encoding: chunked\r\n\r\n", chunk,
            milliseconds(1)};
  });
  const std::string answer = mesh.Send("GET", "/read/1", "r1");
  cr_assert(!answer.ends_with("0\r\n\r\n"));
}

// A long response is limited by the deadline of its caller, not by the timeout of the route.
Test(faulty_targets, a_slow_long_answer_reaches_a_caller_that_states_no_time) {
  const std::string begin(70'000, 'x');
  const std::string part(26'500, 'x');
  // The parts take two seconds, on a route that times out after 1.5 s.
  const std::size_t length = begin.size() + 20 * part.size();
  Mesh mesh([&](const std::string&, int) -> TargetReply {
    return {
        MakeHead("200 OK", "r1") + "Content-Length: " + std::to_string(length) + "\r\n\r\n" + begin,
        part, milliseconds(100)};
  });
  RawClient client(mesh.GetFront().GetSettings().caller_address);
  client.Write("GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nConnection: close\r\n\r\n");
  const std::string answer = client.ReadFor(milliseconds(2500));
  const std::size_t head = answer.find("\r\n\r\n");
  cr_assert_neq(head, std::string::npos);
  cr_assert_eq(answer.size() - head - 4, length);
}
