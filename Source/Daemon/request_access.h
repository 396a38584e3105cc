#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_ACCESS_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_ACCESS_H_

#include <string>
#include <string_view>

#include "Workspaces/access_decision.h"
#include "rules.h"

namespace httplib {
struct Request;
}  // namespace httplib

namespace lacewingbridge {

class RouteSnapshot;
struct RouteRule;
struct RulesDocument;

// Headers of the API key and of the workspace. With workspaces in the version in force, what a
// caller wrote into them ends at the daemon.
inline constexpr char kApiKeyHeader[] = "Authorization";
inline constexpr char kWorkspaceHeader[] = "Lacewing-Workspace";

// What a daemon knows about the workspace of a request.
struct RequestAccess {
  // Version by which the access was decided.
  VersionStamp version;
  // Whether that version has workspaces.
  bool has_workspaces = false;
  // Empty unless a workspace has the API key, and on public routes.
  std::string workspace;
  // Digest of the API key; empty if no workspace has it.
  std::string key_digest;
};

// Result of the check of a request.
struct CheckedAccess {
  AccessVerdict verdict = AccessVerdict::kAllowed;
  RequestAccess access;
};

// Checks the API key of a request. `is_newest` is whether the daemon knows of no newer version
// than that of the snapshot; a key that is not known is denied for good only then.
CheckedAccess CheckAccess(const RouteSnapshot& snapshot, const RouteRule& route,
                          const httplib::Request& request, bool is_newest);

// Why a request is allowed or denied, for operators.
struct AccessExplanation {
  AccessVerdict verdict = AccessVerdict::kAllowed;
  std::string reason;
};

// Explains the access of a request with a key of the workspace, or without a key if the name is
// empty.
AccessExplanation ExplainAccess(const RulesDocument& document, const RouteRule& route,
                                std::string_view workspace);

// Whether the API key of a request that was allowed belongs to the same workspace in the version
// that is now in force.
bool IsAccessCurrent(const RouteSnapshot& current, const RequestAccess& access);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_ACCESS_H_
