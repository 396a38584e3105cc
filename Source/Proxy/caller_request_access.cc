// The checks of the API key of a caller's request.
#include <memory>
#include <string>

#include "Core/digest.h"
#include "Http/boot_clock.h"
#include "Proxy/caller_request.h"
#include "Proxy/mesh_state.h"
#include "Workspaces/access_decision.h"

namespace lacewingbridge {

namespace {

// Retry-After while a newer version may have the API key. After this delay the store is likely to
// have answered.
constexpr Duration kDenialResendDelay = std::chrono::milliseconds(100);

}  // namespace

Awaitable<bool> CallerRequest::CheckAccess() {
  if (!this->index->GetWorkspaces().HasWorkspaces()) {
    co_return true;
  }
  const TimePoint now = GetNow();
  VersionCertainty certainty;
  certainty.proof_age = this->context.state.GetProofAge(now);
  certainty.is_proven = this->context.state.IsTableProven(now);
  certainty.since_arrival = now - this->facts.arrived_at;
  if (!this->context.state.GetProofBound().has_value()) {
    // No proofs are made without a bound on removed keys. A key is then denied as a route is.
    certainty.proof_age = Duration{0};
  }
  // The proof is about the version in force; the request has to be judged by that version.
  if (this->context.state.GetIndex() != this->index) {
    certainty = {};
  }
  const AccessDecision decision =
      DecideAccess(this->index->GetWorkspaces(), *this->route, this->headers.api_key, certainty);
  this->workspace = decision.workspace;
  const std::string_view reason = DescribeAccessVerdict(decision.verdict);
  switch (decision.verdict) {
    case AccessVerdict::kAllowed:
      co_return true;
    case AccessVerdict::kNoKey:
    case AccessVerdict::kUnknownKey:
      co_await this->SendRefusal(http::status::unauthorized, reason, std::nullopt);
      break;
    case AccessVerdict::kNewerPossible:
      this->context.state.RequestProof();
      co_await this->SendRefusal(http::status::service_unavailable, reason, kDenialResendDelay);
      break;
    case AccessVerdict::kNotProven:
      this->context.state.RequestProof();
      co_await this->SendRefusal(http::status::service_unavailable, reason, kProofResendDelay);
      break;
  }
  co_return false;
}

bool CallerRequest::IsAccessCurrent(TimePoint now) const {
  if (this->workspace == nullptr) {
    return true;
  }
  const bool proven = this->context.state.IsTableProven(now);
  const std::shared_ptr<const RouteIndex> current = this->context.state.GetIndex();
  if (!proven || current == this->index) {
    return proven;
  }
  const MeshWorkspace* holder =
      current->GetWorkspaces().FindByKey(ComputeDigest(this->headers.api_key));
  return holder != nullptr && holder->name == this->workspace->name;
}

std::uint32_t CallerRequest::GetPriority() const {
  const bool stated = this->workspace != nullptr && this->workspace->priority.has_value();
  return stated ? *this->workspace->priority : this->route->priority;
}

}  // namespace lacewingbridge
