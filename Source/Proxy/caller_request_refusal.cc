// The refusals of a caller's request.
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "Http/io_shard.h"
#include "Observe/metrics_registry.h"
#include "Proxy/caller_request.h"
#include "Proxy/mesh_state.h"
#include "Proxy/recent_requests.h"
#include "Retry/resend_delay.h"

namespace lacewingbridge {

std::optional<Duration> CallerRequest::EstimateResendDelay(TimePoint now, ProgressReason reason) {
  if (reason == ProgressReason::kQuarantined) {
    return std::nullopt;
  }
  if (reason == ProgressReason::kProofExpired) {
    return kProofResendDelay;
  }
  std::optional<Duration> wait =
      this->context.state.EstimateMinWait(now, this->service, this->GetWork());
  if (!wait.has_value()) {
    return std::nullopt;
  }
  if (reason == ProgressReason::kBeyondShare) {
    *wait = std::max(*wait, this->context.state.GetShareWait(now, this->service, this->GetWork()));
  }
  const Duration objective = this->facts.objective_at - this->facts.arrived_at;
  return ComputeResendDelay(*wait, this->facts.deadline - now, objective / 2,
                            this->shard.GetRandom());
}

Awaitable<void> CallerRequest::SendRefusal(http::status status, std::string_view reason,
                                           std::optional<Duration> resend_delay) {
  const auto number = static_cast<unsigned>(status);
  this->context.metrics.AddCount("requests_total", fmt::format("status=\"{}\"", number));
  this->context.metrics.AddCount("refusals_total",
                                 fmt::format("status=\"{}\",reason=\"{}\"", number, reason));
  this->LogEnd(number, reason);
  this->context.recent.Add(this->MakeTrace(number, reason));
  ServerExchange::Answer response(status, 11);
  if (resend_delay.has_value()) {
    response.set(http::field::retry_after,
                 fmt::format("{:.3f}", std::chrono::duration<double>(*resend_delay).count()));
  }
  if (status == http::status::unauthorized) {
    response.set(http::field::www_authenticate, std::string(this->access_headers.challenge));
  }
  response.set(http::field::content_type, "text/plain");
  response.body() = fmt::format("{}\n", reason);
  co_await this->exchange.Send(std::move(response));
}

}  // namespace lacewingbridge
