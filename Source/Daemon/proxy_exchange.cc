#include "Daemon/proxy_exchange.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>
#include <random>
#include <string_view>

#include "Daemon/daemon_clock.h"
#include "Daemon/request_access.h"
#include "Daemon/target_connections.h"
#include "Http/io_shard.h"
#include "Http/outbound_exchange.h"

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

// Headers that are not forwarded to the target: those that belong to one connection, those that
// the HTTP library adds itself, and those that this daemon sets. The library applies ranges and
// compression to the complete response, so the target is asked for the complete response
// without compression.
constexpr std::array<std::string_view, 22> kRequestHeadersDropped = {
    "Connection",  "Keep-Alive",      "Proxy-Connection",
    "TE",          "Trailer",         "Transfer-Encoding",
    "Upgrade",     "Content-Length",  "Host",
    "REMOTE_ADDR", "REMOTE_PORT",     "LOCAL_ADDR",
    "LOCAL_PORT",  "Accept-Encoding", "Range",
    "If-Range",    "Expect",          kDeadlineHeader,
    kDepthHeader,  kDoNotRetryHeader, kOutcomeHeader,
    kAttemptHeader};

// Headers that are not forwarded either if the version in force has workspaces.
constexpr std::array<std::string_view, 2> kAccessHeaders = {kApiKeyHeader, kWorkspaceHeader};

// Headers of a target that are not forwarded to the caller.
constexpr std::array<std::string_view, 10> kResponseHeadersDropped = {
    "Connection", "Keep-Alive",     "Proxy-Connection", "Trailer",         "Transfer-Encoding",
    "Upgrade",    "Content-Length", "Accept-Ranges",    kDoNotRetryHeader, kAttemptHeader};

// Headers of the body, each with the name under which HideBodyHeaders stores it.
constexpr std::array<std::pair<const char*, const char*>, 2> kHiddenHeaders = {
    {{"Content-Type", "Lacewing-Held-Content-Type"},
     {"Content-Encoding", "Lacewing-Held-Content-Encoding"}}};

// Idle time after which a target may close a connection, for targets that do not state their
// limit. Most targets state it.
constexpr Duration kAssumedIdleLimit = std::chrono::seconds(4);
// Number of responses to earlier requests that one exchange skips before it counts as lost.
constexpr int kMaxSurplusResponses = 2;

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;

std::string GetForwardedName(const std::string& name) {
  for (const auto& [original, hidden] : kHiddenHeaders) {
    if (EqualsIgnoringCase(name, hidden)) {
      return original;
    }
  }
  return name;
}

// Whether a Connection header lists the given header as one that belongs to the connection.
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

OutboundExchange::Request MakeTargetRequest(const std::string& address,
                                            const httplib::Request& request, Duration time_limit,
                                            unsigned depth, const RequestAccess& access,
                                            std::string_view attempt_id) {
  OutboundExchange::Request copy;
  copy.method_string(request.method);
  copy.target(request.target);
  copy.version(11);
  for (const auto& [name, value] : request.headers) {
    const bool dropped = IsOneOf(name, kRequestHeadersDropped) ||
                         (access.has_workspaces && IsOneOf(name, kAccessHeaders));
    if (!dropped && !IsNamedByConnection(request.headers, name)) {
      copy.insert(GetForwardedName(name), value);
    }
  }
  copy.set("Host", address);
  copy.set("Accept-Encoding", "identity");
  copy.set(kDeadlineHeader, std::to_string(CountMilliseconds(time_limit)));
  copy.set(kDepthHeader, std::to_string(depth));
  copy.set(kAttemptHeader, boost::string_view(attempt_id.data(), attempt_id.size()));
  if (!access.workspace.empty()) {
    copy.set(kWorkspaceHeader, access.workspace);
  }
  copy.body() = request.body;
  // A method that usually has no body states a length only if it has one.
  if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
    copy.content_length(request.body.size());
  }
  return copy;
}

std::string DrawAttemptId() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return fmt::format("{:016x}", generator());
}

httplib::Headers CopyHeaders(const http::response_header<>& header) {
  httplib::Headers headers;
  for (const auto& field : header) {
    headers.emplace(field.name_string().to_string(), field.value().to_string());
  }
  return headers;
}

TargetOutcome ClassifyResponse(int status, std::string_view outcome) {
  const bool refusal = status == kServiceUnavailable || status == kTooManyRequests;
  if (refusal && outcome == kNotRunOutcome) {
    return TargetOutcome::kShed;
  }
  return status >= kFirstServerError ? TargetOutcome::kFailed : TargetOutcome::kOk;
}

void StoreResponse(const http::response_header<>& header, std::string body,
                   TargetAttempt& attempt) {
  const httplib::Headers headers = CopyHeaders(header);
  attempt.response.status = static_cast<int>(header.result_int());
  attempt.outcome = ClassifyResponse(attempt.response.status, std::string(header[kOutcomeHeader]));
  attempt.marked_do_not_retry = headers.count(kDoNotRetryHeader) > 0;
  for (const auto& [name, value] : headers) {
    // The request counts as run, so the caller must not be told that it has not.
    const bool false_refusal = attempt.outcome != TargetOutcome::kShed &&
                               EqualsIgnoringCase(name, kOutcomeHeader) && value == kNotRunOutcome;
    if (!IsNamedByConnection(headers, name) && !false_refusal) {
      attempt.response.headers.emplace_back(name, value);
    }
  }
  attempt.response.body = std::move(body);
}

// Sends one request to a target on the event loop of its connection and reads the response
// that has the id of the attempt.
class TargetExchange {
 public:
  TargetExchange(IoShard& shard, const std::string& address, std::string_view own_id)
      : exchange(shard, address), attempt_id(own_id) {}

  Awaitable<void> Run(const OutboundExchange::Request& request, Duration time_limit,
                      Duration connect_limit) {
    const OutboundOptions options{connect_limit, kAssumedIdleLimit * 10, kAssumedIdleLimit};
    ExchangeStatus status = co_await this->exchange.Start(request, nullptr, time_limit, options);
    for (int surplus = 0; status == ExchangeStatus::kOk; ++surplus) {
      // The trailers that follow the body are added to the head.
      const http::response_header<> head = this->exchange.GetHead();
      std::string body;
      const BodyStatus end = co_await this->exchange.ReadBody(body, kMaxResponseBytes);
      if (end != BodyStatus::kComplete || this->exchange.EndsWithConnection()) {
        status = ExchangeStatus::kLost;
        break;
      }
      const std::string stated(head[kAttemptHeader]);
      if (stated == this->attempt_id || (stated.empty() && !this->exchange.WasConnectionKept())) {
        StoreResponse(head, std::move(body), this->attempt);
        this->has_response = true;
        this->reusable = !stated.empty();
        break;
      }
      status = ExchangeStatus::kLost;
      if (surplus < kMaxSurplusResponses) {
        status = co_await this->exchange.ReadNextHead();
      }
    }
    if (status == ExchangeStatus::kNotConnected) {
      this->attempt.outcome = TargetOutcome::kConnectionRefused;
    }
    if (!this->reusable) {
      this->exchange.Cancel();
    }
    this->exchange.Finish();
  }

  TargetAttempt TakeAttempt() { return std::move(this->attempt); }
  bool HasResponse() const { return this->has_response; }
  bool IsReusable() const { return this->reusable; }

 private:
  OutboundExchange exchange;
  const std::string_view attempt_id;
  TargetAttempt attempt;
  bool has_response = false;
  bool reusable = false;
};

}  // namespace

void HideBodyHeaders(httplib::Request& request) {
  for (const auto& [original, hidden] : kHiddenHeaders) {
    request.headers.erase(hidden);
    const auto found = request.headers.find(original);
    if (found != request.headers.end()) {
      std::string value = std::move(found->second);
      request.headers.erase(original);
      request.headers.emplace(hidden, std::move(value));
    }
  }
}

TargetAttempt SendToTarget(TargetConnections& connections, const std::string& address,
                           const httplib::Request& request, Duration time_limit, unsigned depth,
                           const RequestAccess& access) {
  std::unique_ptr<IoShard> connection = connections.Take(address);
  const std::string attempt_id = DrawAttemptId();
  const OutboundExchange::Request message =
      MakeTargetRequest(address, request, time_limit, depth, access, attempt_id);
  const TimePoint started = GetNow();
  TargetExchange exchange(*connection, address, attempt_id);
  connection->GetContext().restart();
  asio::co_spawn(connection->GetContext(),
                 exchange.Run(message, time_limit, connections.GetConnectLimit()), asio::detached);
  connection->GetContext().run();
  TargetAttempt attempt = exchange.TakeAttempt();
  attempt.latency = GetNow() - started;
  attempt.timed_out = !exchange.HasResponse() && attempt.latency >= time_limit;
  if (exchange.IsReusable()) {
    connections.Return(address, std::move(connection));
  }
  return attempt;
}

void CopyResponse(const httplib::Request& request, TargetResponse target_response,
                  httplib::Response& response) {
  constexpr int kOk = 200;
  std::string content_type;
  for (auto& [name, value] : target_response.headers) {
    if (EqualsIgnoringCase(name, "Content-Type")) {
      content_type = value;
    } else if (!IsOneOf(name, kResponseHeadersDropped)) {
      response.headers.emplace(std::move(name), std::move(value));
    }
  }
  // The library sets 206 itself when it cuts the ranges out of the complete response.
  if (target_response.status != kOk || request.ranges.empty()) {
    response.status = target_response.status;
  }
  response.body = std::move(target_response.body);
  if (!content_type.empty()) {
    response.headers.emplace("Content-Type", content_type);
  }
}

}  // namespace lacewingbridge
