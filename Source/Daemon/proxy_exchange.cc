#include "Daemon/proxy_exchange.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>
#include <string_view>

#include "Daemon/daemon_clock.h"
#include "Daemon/http_connection_pool.h"

namespace lacewingbridge {

namespace {

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

template <std::size_t kCount>
bool IsOneOf(std::string_view name, const std::array<std::string_view, kCount>& names) {
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view other) { return EqualsIgnoringCase(name, other); });
}

// Headers that belong to one connection, that the HTTP library adds itself, or that this
// daemon sets. The library applies ranges and compression to the whole answer, so the
// target is asked for the whole, plain one.
constexpr std::array<std::string_view, 20> kRequestHeadersDropped = {"Connection",
                                                                     "Keep-Alive",
                                                                     "Proxy-Connection",
                                                                     "TE",
                                                                     "Trailer",
                                                                     "Transfer-Encoding",
                                                                     "Upgrade",
                                                                     "Content-Length",
                                                                     "Host",
                                                                     "REMOTE_ADDR",
                                                                     "REMOTE_PORT",
                                                                     "LOCAL_ADDR",
                                                                     "LOCAL_PORT",
                                                                     "Accept-Encoding",
                                                                     "Range",
                                                                     "If-Range",
                                                                     kDeadlineHeader,
                                                                     kDepthHeader,
                                                                     kDoNotRetryHeader,
                                                                     kOutcomeHeader};

constexpr std::array<std::string_view, 9> kAnswerHeadersDropped = {
    "Connection", "Keep-Alive",     "Proxy-Connection", "Trailer",        "Transfer-Encoding",
    "Upgrade",    "Content-Length", "Accept-Ranges",    kDoNotRetryHeader};

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;

httplib::Request MakeTargetRequest(const httplib::Request& request, Duration time_limit,
                                   unsigned depth) {
  httplib::Request copy;
  copy.method = request.method;
  copy.path = request.target;
  copy.body = request.body;
  for (const auto& [name, value] : request.headers) {
    if (!IsOneOf(name, kRequestHeadersDropped)) {
      copy.headers.emplace(name, value);
    }
  }
  copy.headers.emplace("Accept-Encoding", "identity");
  copy.headers.emplace(kDeadlineHeader, std::to_string(CountMilliseconds(time_limit)));
  copy.headers.emplace(kDepthHeader, std::to_string(depth));
  return copy;
}

TargetOutcome ClassifyAnswer(const httplib::Response& answer) {
  const bool refusal = answer.status == kServiceUnavailable || answer.status == kTooManyRequests;
  if (refusal && answer.get_header_value(kOutcomeHeader) == kNotRunWord) {
    return TargetOutcome::kShed;
  }
  return answer.status >= kFirstServerError ? TargetOutcome::kFailed : TargetOutcome::kOk;
}

TargetOutcome ClassifyError(httplib::Error error) {
  // Without a connection nothing was sent. Any later error leaves open whether it ran.
  const bool no_connection =
      error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
  return no_connection ? TargetOutcome::kConnectionRefused : TargetOutcome::kLostMidRequest;
}

TargetAnswer TakeAnswer(httplib::Response& response) {
  TargetAnswer answer;
  answer.status = response.status;
  answer.headers.assign(response.headers.begin(), response.headers.end());
  answer.body = std::move(response.body);
  return answer;
}

}  // namespace

TargetAttempt SendToTarget(HttpConnectionPool& pool, const std::string& address,
                           const httplib::Request& request, Duration time_limit, unsigned depth) {
  std::unique_ptr<httplib::Client> client = pool.Take(address);
  client->set_read_timeout(time_limit);
  client->set_write_timeout(time_limit);
  client->set_decompress(false);
  const httplib::Request copy = MakeTargetRequest(request, time_limit, depth);
  const TimePoint started = GetNow();
  httplib::Result result = client->send(copy);
  TargetAttempt attempt;
  attempt.latency = GetNow() - started;
  if (!result) {
    attempt.outcome = ClassifyError(result.error());
    attempt.timed_out = attempt.latency >= time_limit;
    return attempt;
  }
  attempt.outcome = ClassifyAnswer(*result);
  attempt.marked_do_not_retry = result->has_header(kDoNotRetryHeader);
  attempt.answer = TakeAnswer(*result);
  pool.Return(address, std::move(client));
  return attempt;
}

void CopyAnswer(const httplib::Request& request, TargetAnswer answer, httplib::Response& response) {
  constexpr int kOk = 200;
  std::string content_type;
  for (auto& [name, value] : answer.headers) {
    if (EqualsIgnoringCase(name, "Content-Type")) {
      content_type = value;
    } else if (!IsOneOf(name, kAnswerHeadersDropped)) {
      response.headers.emplace(std::move(name), std::move(value));
    }
  }
  // The library sets 206 itself when it cuts the ranges out of the whole answer.
  if (answer.status != kOk || request.ranges.empty()) {
    response.status = answer.status;
  }
  response.body = std::move(answer.body);
  if (!content_type.empty()) {
    response.headers.emplace("Content-Type", content_type);
  }
}

}  // namespace lacewingbridge
