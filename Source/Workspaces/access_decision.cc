#include "Workspaces/access_decision.h"

#include <algorithm>

#include "Core/digest.h"
#include "Workspaces/workspace_index.h"

namespace lacewingbridge {

namespace {

bool IsSureOfDenial(const VersionCertainty& certainty) {
  return certainty.proof_age.has_value() &&
         *certainty.proof_age <= std::max(kMaxProofAgeOfDenial, certainty.since_arrival);
}

}  // namespace

std::string_view DescribeAccessVerdict(AccessVerdict verdict) {
  switch (verdict) {
    case AccessVerdict::kAllowed:
      return "allowed";
    case AccessVerdict::kNoKey:
      return "no_key";
    case AccessVerdict::kUnknownKey:
      return "unknown_key";
    case AccessVerdict::kNewerPossible:
      return "newer_version_possible";
    case AccessVerdict::kNotProven:
      return "proof_expired";
  }
  return "invalid";
}

AccessDecision DecideAccess(const WorkspaceIndex& workspaces, const HostRoute& route,
                            std::string_view api_key, const VersionCertainty& certainty) {
  if (!workspaces.HasWorkspaces() || route.is_public) {
    return {};
  }
  const MeshWorkspace* workspace =
      api_key.empty() ? nullptr : workspaces.FindByKey(ComputeDigest(api_key));
  if (workspace != nullptr) {
    return certainty.is_proven ? AccessDecision{AccessVerdict::kAllowed, workspace}
                               : AccessDecision{AccessVerdict::kNotProven, nullptr};
  }
  // A newer version may have the key, or may have made the route public.
  if (!IsSureOfDenial(certainty)) {
    return {AccessVerdict::kNewerPossible, nullptr};
  }
  return {api_key.empty() ? AccessVerdict::kNoKey : AccessVerdict::kUnknownKey, nullptr};
}

}  // namespace lacewingbridge
