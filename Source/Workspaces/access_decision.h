#ifndef LACEWINGBRIDGE_SOURCE_WORKSPACES_ACCESS_DECISION_H_
#define LACEWINGBRIDGE_SOURCE_WORKSPACES_ACCESS_DECISION_H_

#include <optional>
#include <string_view>

#include "Core/time_point.h"
#include "mesh.h"

namespace lacewingbridge {

class WorkspaceIndex;

enum class AccessVerdict {
  kAllowed,
  kNoKey,          // the request has no usable API key, and needs one
  kUnknownKey,     // no workspace has the API key
  kNewerPossible,  // one of the two above in the version in force, but there may be a newer one
  kNotProven,      // the API key is known, but a newer version may have removed it
};

// Returns the word for the verdict that logs and metrics show.
std::string_view DescribeAccessVerdict(AccessVerdict verdict);

// What is known when a request is checked about whether the version in force is the newest one.
struct VersionCertainty {
  // Age of the newest proof; empty without one.
  std::optional<Duration> proof_age;
  // Whether the proof is young enough for API keys to be served.
  bool is_proven = false;
  // Time since the request arrived.
  Duration since_arrival{0};
};

struct AccessDecision {
  AccessVerdict verdict = AccessVerdict::kAllowed;
  // Workspace of the request. Null unless it is allowed, on public routes and without workspaces.
  const MeshWorkspace* workspace = nullptr;
};

// A proof that is older does not rule out that a newer version has the presented API key. It is
// shorter than the time within which callers expect a new key to be accepted.
inline constexpr Duration kMaxProofAgeOfDenial = std::chrono::seconds(1);

// Decides whether a request may run, and for which workspace. A load of unknown keys, such as that
// of callers who use a key before it is in force everywhere, is denied for good only by daemons
// that are sure of it.
AccessDecision DecideAccess(const WorkspaceIndex& workspaces, const HostRoute& route,
                            std::string_view api_key, const VersionCertainty& certainty);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WORKSPACES_ACCESS_DECISION_H_
