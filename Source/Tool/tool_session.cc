#include "Tool/tool_session.h"

#include <httplib.h>

#include <stdexcept>

namespace lacewingbridge {

namespace {

constexpr time_t kConnectSeconds = 3;
// A submission waits up to 10 s for the store.
constexpr time_t kAnswerSeconds = 30;
constexpr int kOk = 200;

}  // namespace

ToolSession::ToolSession(const std::string& daemon_address)
    : address(daemon_address),
      client([daemon_address](const std::string& body) { return Post(daemon_address, body); }) {}

std::string ToolSession::Post(const std::string& daemon_address, const std::string& body) {
  httplib::Client http("http://" + daemon_address);
  http.set_connection_timeout(kConnectSeconds);
  http.set_read_timeout(kAnswerSeconds);
  const httplib::Result answer = http.Post("/rpc", body, "application/json");
  if (!answer) {
    throw std::runtime_error(httplib::to_string(answer.error()));
  }
  if (answer->status != kOk) {
    throw std::runtime_error("status " + std::to_string(answer->status));
  }
  return answer->body;
}

}  // namespace lacewingbridge
