// Guards against responses whose head is not well-formed. Passed on, they reach the caller with
// other headers or another body than the target sent.

#include <string>

#include "Fakes/fake_mesh.h"
#include "Fakes/keep_alive_target.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

constexpr char kFields[] = "X-Id: r1\r\nX-Target: t1\r\nX-Signature: s\r\n";
constexpr char kBody[] = "Content-Length: 5\r\n\r\nhello";

std::string MakeResponse(const std::string& status, const std::string& line) {
  return "HTTP/1.1 " + status + "\r\n" + kFields + line + kBody;
}

std::string SendThrough(const std::string& response) {
  FakeMesh<KeepAliveTarget> mesh(
      0,
      [&](const std::string&, int) {
        return TargetReply{response, "", {}, true};
      },
      MakeResponse("200 OK", ""));
  return mesh.Send("POST", "/write/1", "r1");
}

void ExpectRejected(const std::string& response) {
  const std::string received = SendThrough(response);
  cr_expect(HasStatus(received, "502"), "%s\ngave\n%s", response.c_str(), received.c_str());
  cr_expect_eq(received.find("hello"), std::string::npos, "%s", received.c_str());
}

}  // namespace

Test(response_head, a_status_outside_of_the_range_is_rejected) {
  for (const char* status : {"000 Odd", "099 Odd", "20 OK", "600 Odd", "2000 OK", "2x0 OK"}) {
    ExpectRejected(MakeResponse(status, ""));
  }
}

Test(response_head, a_field_that_is_not_well_formed_is_rejected) {
  for (const std::string line :
       {"X Odd: 1\r\n", "X-Odd : 1\r\n", "X-\x01Odd: 1\r\n", "X-Odd: 1\x02\r\n", ": 1\r\n",
        "X-Odd\r\n", "X-Odd: 1\r\n folded\r\n", "X-Odd: 1\r\n\tfolded\r\n", "X-Odd: 1\n"}) {
    ExpectRejected(MakeResponse("200 OK", line));
  }
  ExpectRejected(MakeResponse("200 OK", std::string("X-Odd: 1\0\r\n", 11)));
}

Test(response_head, an_ambiguous_length_is_rejected) {
  ExpectRejected(MakeResponse("200 OK", "Content-Length: 3\r\n"));
  ExpectRejected(MakeResponse("200 OK", "Transfer-Encoding: chunked\r\n"));
}

Test(response_head, an_interim_response_is_checked_too) {
  const std::string final_response = MakeResponse("200 OK", "");
  for (const std::string interim :
       {"HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n", "HTTP/1.1 103 Hints\r\nX-Odd: 1\x02\r\n\r\n",
        "HTTP/1.1 103 Hints\r\nLink: 1\r\n folded\r\n\r\n", "HTTP/1.1 099 Odd\r\n\r\n"}) {
    ExpectRejected(interim + final_response);
  }
  const std::string received =
      SendThrough("HTTP/1.1 103 Hints\r\nLink: a\tb\r\n\r\n" + final_response);
  cr_assert(received.ends_with("hello"), "%s", received.c_str());
}
