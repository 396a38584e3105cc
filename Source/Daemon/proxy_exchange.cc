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
constexpr std::array<std::string_view, 21> kRequestHeadersDropped = {
    "Connection",  "Keep-Alive",      "Proxy-Connection",
    "TE",          "Trailer",         "Transfer-Encoding",
    "Upgrade",     "Content-Length",  "Host",
    "REMOTE_ADDR", "REMOTE_PORT",     "LOCAL_ADDR",
    "LOCAL_PORT",  "Accept-Encoding", "Range",
    "If-Range",    "Expect",          kDeadlineHeader,
    kDepthHeader,  kDoNotRetryHeader, kOutcomeHeader};

constexpr std::array<std::string_view, 9> kAnswerHeadersDropped = {
    "Connection", "Keep-Alive",     "Proxy-Connection", "Trailer",        "Transfer-Encoding",
    "Upgrade",    "Content-Length", "Accept-Ranges",    kDoNotRetryHeader};

// Names under which ProtectBody keeps headers of the body.
constexpr std::array<std::pair<const char*, const char*>, 2> kProtectedHeaders = {
    {{"Content-Type", "Lacewing-Held-Content-Type"},
     {"Content-Encoding", "Lacewing-Held-Content-Encoding"}}};

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;

std::string GetForwardedName(const std::string& name) {
  for (const auto& [original, held] : kProtectedHeaders) {
    if (EqualsIgnoringCase(name, held)) {
      return original;
    }
  }
  return name;
}

// Whether a Connection header among the headers names this one as its own.
bool IsNamedByConnection(const httplib::Headers& headers, std::string_view name) {
  const auto [first, last] = headers.equal_range("Connection");
  return std::any_of(first, last, [name](const auto& header) {
    std::string_view names = header.second;
    while (!names.empty()) {
      const std::size_t end = std::min(names.find(','), names.size());
      std::string_view token = names.substr(0, end);
      names.remove_prefix(std::min(end + 1, names.size()));
      token.remove_prefix(std::min(token.find_first_not_of(" \t"), token.size()));
      token = token.substr(0, token.find_last_not_of(" \t") + 1);
      if (EqualsIgnoringCase(token, name)) {
        return true;
      }
    }
    return false;
  });
}

// Whether the end of the answer is known from its head.
bool HasKnownLength(const httplib::Request& request, const httplib::Response& answer) {
  return request.method == "HEAD" || answer.status == kNoContent || answer.status == kNotModified ||
         answer.has_header("Content-Length") ||
         EqualsIgnoringCase(answer.get_header_value("Transfer-Encoding"), "chunked");
}

httplib::Request MakeTargetRequest(const httplib::Request& request, Duration time_limit,
                                   unsigned depth) {
  httplib::Request copy;
  copy.method = request.method;
  copy.path = request.target;
  copy.body = request.body;
  for (const auto& [name, value] : request.headers) {
    if (!IsOneOf(name, kRequestHeadersDropped) && !IsNamedByConnection(request.headers, name)) {
      copy.headers.emplace(GetForwardedName(name), value);
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
  for (auto& [name, value] : response.headers) {
    if (!IsNamedByConnection(response.headers, name)) {
      answer.headers.emplace_back(name, value);
    }
  }
  answer.body = std::move(response.body);
  return answer;
}

}  // namespace

void ProtectBody(httplib::Request& request) {
  for (const auto& [original, held] : kProtectedHeaders) {
    request.headers.erase(held);
    const auto found = request.headers.find(original);
    if (found != request.headers.end()) {
      std::string value = std::move(found->second);
      request.headers.erase(original);
      request.headers.emplace(held, std::move(value));
    }
  }
}

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
  if (result && !HasKnownLength(copy, *result)) {
    return attempt;
  }
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
