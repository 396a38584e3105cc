// Checks the share of a request's workspace, and takes the request from its quota.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>

#include "Http/async_result.h"
#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Observe/event_log.h"
#include "Observe/metrics_registry.h"
#include "Proxy/caller_request.h"
#include "Proxy/mesh_state.h"
#include "Proxy/quota_asker.h"
#include "Proxy/quota_gate.h"

namespace lacewingbridge {

namespace {

// Part of the time until the objective that a request may wait for credit.
constexpr int kObjectiveDivisor = 4;
constexpr Duration kShortestWait = std::chrono::milliseconds(50);
constexpr Duration kShortestResendDelay = std::chrono::milliseconds(20);

using CreditWait = AsyncResult<CreditTake>;

}  // namespace

Awaitable<CreditTake> CallerRequest::WaitForCredit() {
  QuotaGate& quotas = this->context.quotas;
  asio::io_context& io_context = this->shard.GetContext();
  std::shared_ptr<CreditWait> wait;
  const QuotaGate::Entry entry = quotas.Take(
      GetNow(), *this->workspace, this->index->GetTable().version, [&wait, &io_context] {
        wait = std::make_shared<CreditWait>(io_context);
        return [wait, &io_context](const CreditTake& end) {
          asio::post(io_context, [wait, end] { wait->Set(end); });
        };
      });
  if (entry.take.starts_asks) {
    asio::co_spawn(io_context,
                   AskForCredit(this->shard, this->context.state, quotas, this->workspace->name),
                   asio::detached);
  }
  if (entry.take.outcome != CreditOutcome::kWaiting) {
    co_return entry.take;
  }
  const TimePoint now = GetNow();
  const Duration limit = std::max(
      std::min((this->facts.objective_at - now) / kObjectiveDivisor, this->facts.GetEnd() - now),
      kShortestWait);
  if (!wait->value.has_value()) {
    co_await wait->signal.WaitFor(limit);
  }
  if (!wait->value.has_value() && quotas.Leave(this->workspace->name, entry.ticket)) {
    CreditTake late;
    late.outcome = CreditOutcome::kUnknown;
    co_return late;
  }
  // The end has been decided and is on its way to this thread.
  while (!wait->value.has_value()) {
    co_await wait->signal.WaitFor(kShortestWait);
  }
  co_return *wait->value;
}

ProgressDecision CallerRequest::CheckShareRefusals() {
  if (this->workspace == nullptr) {
    return {};
  }
  return this->progress->HandleShareRefusals(
      this->context.state.CountShareRefusals(GetNow(), this->service, this->GetWork()));
}

Awaitable<bool> CallerRequest::TakeQuota() {
  if (this->workspace == nullptr || this->workspace->rate_per_s == 0) {
    co_return true;
  }
  const CreditTake take = co_await this->WaitForCredit();
  if (take.outcome == CreditOutcome::kTaken) {
    this->credit_taken_at = GetNow();
    co_return true;
  }
  const bool beyond = take.outcome == CreditOutcome::kBeyondQuota;
  EventLog::Write(
      Event::kQuotaRefused,
      "request={} workspace={} rate_per_s={} burst={} known={} wait_ms={} reply_age_ms={}",
      this->headers.request_id, this->workspace->name, this->workspace->rate_per_s,
      this->workspace->burst, beyond, CountMilliseconds(take.wait),
      take.reply_age.has_value() ? CountMilliseconds(*take.reply_age) : -1);
  // Spread, so that the callers do not return at the same moment.
  std::uniform_real_distribution<double> spread(1, 1.5);
  const auto delay = std::chrono::duration_cast<Duration>(
      std::max(take.wait, kShortestResendDelay) * spread(this->shard.GetRandom()));
  co_await this->SendRefusal(
      beyond ? http::status::too_many_requests : http::status::service_unavailable,
      beyond ? "quota_used_up" : "quota_unknown", delay);
  co_return false;
}

void CallerRequest::ReturnUnusedQuota(const ProgressDecision& decision) {
  const bool unused = decision.action != ProgressAction::kDeliver && !this->progress->MayHaveRun();
  if (unused && this->credit_taken_at.has_value()) {
    this->context.quotas.Return(GetNow(), *this->credit_taken_at, this->workspace->name);
  }
}

}  // namespace lacewingbridge
