// Guards against a response without a length that a target cuts off while the request is still
// being uploaded. The failed write took the error of the connection, so the daemon read an orderly
// end and passed the part on as a complete response.

#include <chrono>
#include <string>
#include <thread>

#include "Fakes/early_target.h"
#include "Fakes/fake_mesh.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Target: t1\r\nX-Signature: s\r\n";
constexpr std::size_t kUploadBytes = 1'500'000;
// Written every 10 ms.
constexpr std::size_t kPartBytes = 25'000;

class Mesh : public FakeMesh<EarlyTarget> {
 public:
  explicit Mesh(EarlyReply reply)
      : FakeMesh(0, std::move(reply), std::string(kHead) + "Content-Length: 0\r\n\r\n") {}

  // Uploads a body and reads the response meanwhile.
  std::string Upload() {
    RawClient client(this->GetFront().GetSettings().caller_address);
    client.Write(
        "POST /write/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nX-Time-Left-Ms: 4000\r\n"
        "Content-Length: " +
        std::to_string(kUploadBytes) + "\r\n\r\n");
    std::thread writer([&client] {
      const std::string part(kPartBytes, 'u');
      for (std::size_t sent = 0; sent < kUploadBytes; sent += part.size()) {
        client.Write(part);
        std::this_thread::sleep_for(milliseconds(10));
      }
    });
    std::string response = client.ReadFor(milliseconds(2000));
    writer.join();
    return response;
  }
};

bool LooksComplete(const std::string& response) {
  const std::size_t head = response.find("\r\n\r\n");
  if (head == std::string::npos) {
    return false;
  }
  const std::size_t length = response.find("Content-Length: ");
  if (length < head) {
    return response.size() - head - 4 >= std::stoul(response.substr(length + 16));
  }
  return response.ends_with("\r\n0\r\n\r\n");
}

}  // namespace

Test(cut_responses, a_short_part_is_not_passed_on) {
  for (const milliseconds pause : {milliseconds(60), milliseconds(250)}) {
    Mesh mesh({kHead + ("\r\n" + std::string(3000, 'x')), pause, true});
    const std::string response = mesh.Upload();
    cr_assert(HasStatus(response, "502"), "%s", response.substr(0, 200).c_str());
  }
}

Test(cut_responses, a_long_part_does_not_look_complete) {
  for (const milliseconds pause : {milliseconds(60), milliseconds(250)}) {
    Mesh mesh({kHead + ("\r\n" + std::string(200'000, 'x')), pause, true});
    const std::string response = mesh.Upload();
    cr_assert(!HasStatus(response, "200") || !LooksComplete(response),
              "%zu bytes look like a complete response", response.size());
  }
}

Test(cut_responses, a_response_that_ends_in_order_is_complete) {
  const std::string body(3000, 'x');
  Mesh mesh({kHead + ("\r\n" + body), milliseconds(60), false});
  const std::string response = mesh.Upload();
  cr_assert(HasStatus(response, "200"), "%s", response.substr(0, 200).c_str());
  cr_assert(LooksComplete(response) && response.ends_with(body), "%zu bytes", response.size());
}

// The reset shows as EPIPE to the write, because the end of the response has arrived before it.
Test(cut_responses, a_response_that_ends_in_order_before_a_reset_is_complete) {
  const std::string body(3000, 'x');
  Mesh mesh({kHead + ("\r\n" + body), milliseconds(60), false, "", true});
  const std::string response = mesh.Upload();
  cr_assert(HasStatus(response, "200"), "%s", response.substr(0, 200).c_str());
  cr_assert(LooksComplete(response) && response.ends_with(body), "%zu bytes", response.size());
}
