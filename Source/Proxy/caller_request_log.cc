// The log lines about the end of a caller's request.
#include <fmt/format.h>

#include <string_view>

#include "Http/boot_clock.h"
#include "Observe/event_log.h"
#include "Observe/metrics_registry.h"
#include "Proxy/caller_request.h"

namespace lacewingbridge {

void CallerRequest::RecordUnanswered() const {
  const std::string_view end = GetName(this->exchange.GetConnectionEnd());
  const bool may_have_run = this->progress.has_value() && this->progress->MayHaveRun();
  EventLog::Write(Event::kRequestUnanswered,
                  "request={} path={} service={} end={} may_have_run={} after_ms={}",
                  this->headers.request_id, this->exchange.GetTarget(), this->service, end,
                  may_have_run, CountMilliseconds(GetNow() - this->facts.arrived_at));
  this->context.metrics.AddCount("unanswered_total",
                                 fmt::format("end=\"{}\",may_have_run=\"{}\"", end, may_have_run));
}

void CallerRequest::LogEnd(unsigned status, std::string_view reason) const {
  const TimePoint now = GetNow();
  std::string_view route_name = "none";
  if (this->route != nullptr) {
    route_name = this->route->name;
  }
  std::string_view workspace_name = "none";
  if (this->workspace != nullptr) {
    workspace_name = this->workspace->name;
    this->context.metrics.AddNamedCount("workspace_requests_total", "workspace", workspace_name,
                                        fmt::format("status=\"{}\"", status));
  }
  EventLog::Write(
      Event::kRequestEnded,
      "request={} path={} route={} workspace={} version={} service={} status={} reason={} last={} "
      "refused={} "
      "time_left_ms={} age_ms={} after_ms={}",
      this->headers.request_id, this->exchange.GetTarget(), route_name, workspace_name,
      this->index == nullptr ? 0 : this->index->GetTable().version, this->service, status, reason,
      this->last_reason, this->refused_by.size(),
      CountMilliseconds(this->headers.time_left.value_or(Duration{0}) -
                        (now - this->facts.arrived_at)),
      CountMilliseconds(now - this->first_arrival),
      CountMilliseconds(now - this->facts.arrived_at));
}

}  // namespace lacewingbridge
