#include "fleet_access.h"

#include <fmt/core.h>
#include <httplib.h>

#include <cstdlib>
#include <random>
#include <sstream>
#include <stdexcept>

#include "Admin/admin_rpc_client.h"
#include "admin_codec.h"

namespace lacewingbridge {

namespace {

constexpr std::string_view kPrefix = "lacewingbridge_";
constexpr time_t kAnswerSeconds = 30;

std::string PostRpc(const std::string& address, const std::string& body) {
  httplib::Client client("http://" + address);
  client.set_read_timeout(kAnswerSeconds);
  const httplib::Result answer = client.Post("/rpc", body, "application/json");
  if (!answer) {
    throw std::runtime_error(httplib::to_string(answer.error()));
  }
  return answer->body;
}

}  // namespace

std::vector<std::string> SplitAddresses(std::string_view text) {
  std::vector<std::string> addresses;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    addresses.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return addresses;
}

std::map<std::string, double> ReadMetrics(const std::string& address) {
  std::map<std::string, double> values;
  httplib::Client client("http://" + address);
  const httplib::Result answer = client.Get("/metrics");
  if (!answer) {
    return values;
  }
  std::istringstream lines(answer->body);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t space = line.rfind(' ');
    if (!line.starts_with(kPrefix) || space == std::string::npos) {
      continue;
    }
    const std::string name = line.substr(kPrefix.size(), space - kPrefix.size());
    values[name.substr(0, name.find('{'))] += std::strtod(line.c_str() + space, nullptr);
  }
  return values;
}

std::uint64_t SubmitRules(const std::string& address, const std::string& text,
                          std::uint64_t base_number) {
  AdminRpcClient client([&address](const std::string& body) { return PostRpc(address, body); });
  const std::string id = fmt::format("bench-{}-{}", std::random_device{}(), base_number);
  const std::string answer = client.Submit(text, "bench", std::to_string(base_number), id, false);
  SubmitReply reply;
  if (!DecodeJson(answer, reply) || reply.error.has_value()) {
    fmt::print(stderr, "submission failed: {} {}\n", client.GetFailure(), answer);
    return 0;
  }
  return reply.version.number;
}

}  // namespace lacewingbridge
