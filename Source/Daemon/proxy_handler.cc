#include "Daemon/proxy_handler.h"

#include <fmt/core.h>
#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "Daemon/daemon_clock.h"
#include "Daemon/proxy_exchange.h"
#include "Daemon/proxy_refusal.h"
#include "Daemon/proxy_request.h"
#include "Daemon/request_access.h"
#include "Daemon/request_headers.h"
#include "Daemon/request_path.h"
#include "Daemon/rules_state.h"
#include "Daemon/service_table.h"
#include "Observe/metrics_registry.h"
#include "Rules/limit_rule.h"
#include "Rules/rules_document.h"
#include "Version/route_snapshot.h"

namespace lacewingbridge {

namespace {

// The fleets that the mesh is made for have call chains of up to 17 levels. A request at more
// than twice that depth is in a loop.
constexpr unsigned kMaxDepth = 40;

std::optional<std::uint32_t> GetNumberHeader(const httplib::Request& request, const char* name) {
  const std::string text = request.get_header_value(name);
  std::uint32_t number = 0;
  const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || code != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

TimePoint GetDeadline(const httplib::Request& request, const RouteRule& route, TimePoint now) {
  Duration limit = route.deadline;
  if (const auto given = GetNumberHeader(request, kDeadlineHeader)) {
    limit = std::min<Duration>(limit, std::chrono::milliseconds(*given));
  }
  return now + limit;
}

std::optional<RefusalKind> GetAccessRefusal(AccessVerdict verdict) {
  switch (verdict) {
    case AccessVerdict::kAllowed:
      return std::nullopt;
    case AccessVerdict::kNoKey:
      return RefusalKind::kNoApiKey;
    case AccessVerdict::kUnknownKey:
      return RefusalKind::kUnknownApiKey;
    case AccessVerdict::kNewerPossible:
    case AccessVerdict::kNotProven:
      return RefusalKind::kNewerVersionPossible;
  }
  return RefusalKind::kNewerVersionPossible;
}

const LimitRule* FindReachedLimit(const RulesDocument& document, const RouteRule& route,
                                  ServiceTable& services, TimePoint now) {
  for (const LimitRule& limit : document.limits) {
    const bool applies =
        limit.route == route.name || (limit.route.empty() && limit.service == route.service);
    if (applies && !services.TryTakeLimit(limit, now)) {
      return &limit;
    }
  }
  return nullptr;
}

// Counts a request as in flight for the lifetime of this object.
class InFlightCount {
 public:
  explicit InFlightCount(std::atomic<std::uint64_t>& counter) : count(counter) { ++this->count; }
  ~InFlightCount() { --this->count; }
  InFlightCount(const InFlightCount&) = delete;
  InFlightCount& operator=(const InFlightCount&) = delete;

 private:
  std::atomic<std::uint64_t>& count;
};

}  // namespace

void ProxyHandler::Handle(const httplib::Request& request, httplib::Response& response) {
  {
    const InFlightCount count(this->in_flight);
    this->Serve(request, response);
  }
  if (this->draining.load()) {
    response.set_header("Connection", "close");
    const std::lock_guard guard(this->idle_mutex);
    this->idle.notify_all();
  }
}

void ProxyHandler::WaitUntilIdle(TimePoint earliest, TimePoint limit) {
  std::unique_lock lock(this->idle_mutex);
  this->idle.wait_until(lock, ToSteadyTime(earliest), [earliest] { return GetNow() >= earliest; });
  this->idle.wait_until(lock, ToSteadyTime(limit), [this] { return this->CountInFlight() == 0; });
}

void ProxyHandler::Serve(const httplib::Request& request, httplib::Response& response) {
  const TimePoint now = GetNow();
  if (!IsHeadWellFormed(request)) {
    WriteRefusal(RefusalKind::kMalformedHead, "", response);
    // The library may have missed the length of the body, and then takes it for a request.
    response.set_header("Connection", "close");
    this->RecordMetrics("", response.status, GetNow() - now);
    return;
  }
  // The snapshot is held until the request ends, so that a new version in force does not change
  // the rules of a running request.
  const std::shared_ptr<const RouteSnapshot> snapshot = this->environment.rules.GetSnapshot();
  if (snapshot == nullptr || !this->environment.is_ready()) {
    WriteRefusal(RefusalKind::kNotReady, "", response);
    return;
  }
  const std::optional<std::string> path = DecodeRequestPath(request.target);
  if (!path.has_value()) {
    WriteRefusal(RefusalKind::kAmbiguousPath, "", response);
    this->RecordMetrics("", response.status, GetNow() - now);
    return;
  }
  const auto match = snapshot->FindRoute(request.method, *path);
  if (!match.has_value()) {
    WriteRefusal(RefusalKind::kNoRoute, *path, response);
    this->RecordMetrics("", response.status, GetNow() - now);
    return;
  }
  CheckedAccess checked = CheckAccess(*snapshot, match->route, request, false);
  if (checked.verdict == AccessVerdict::kNewerPossible &&
      this->environment.is_newest(snapshot->GetVersion())) {
    checked = CheckAccess(*snapshot, match->route, request, true);
  }
  if (const auto refusal = GetAccessRefusal(checked.verdict)) {
    WriteRefusal(*refusal, match->route.name, response);
    this->RecordMetrics(match->route.name, response.status, GetNow() - now);
    return;
  }
  const unsigned depth = GetNumberHeader(request, kDepthHeader).value_or(0) + 1;
  const LimitRule* limit =
      FindReachedLimit(snapshot->GetDocument(), match->route, this->environment.services, now);
  if (depth > kMaxDepth) {
    WriteRefusal(RefusalKind::kTooDeep, match->route.name, response);
  } else if (limit != nullptr) {
    WriteRefusal(RefusalKind::kRateLimited, limit->name, response);
  } else {
    ProxyRequest(this->environment, request, match->route, std::move(checked.access),
                 GetDeadline(request, match->route, now), depth)
        .Run(response);
  }
  this->RecordMetrics(match->route.name, response.status, GetNow() - now);
}

void ProxyHandler::RecordMetrics(const std::string& route, int status, Duration latency) {
  this->environment.metrics.AddCount("requests_total",
                                     fmt::format("route=\"{}\",status=\"{}\"", route, status));
  this->environment.metrics.AddLatency("request_seconds", fmt::format("route=\"{}\"", route),
                                       latency);
}

}  // namespace lacewingbridge
