// Guards against a request that runs for the wrong workspace or without a key, a key that is denied
// although a newer version may have it, and a configuration whose odd entries stop the others.
#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include "Core/digest.h"
#include "Routing/route_index.h"
#include "Workspaces/access_decision.h"
#include "Workspaces/workspace_index.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

MeshWorkspace MakeWorkspace(std::string name, const std::vector<std::string>& keys) {
  MeshWorkspace workspace;
  workspace.name = std::move(name);
  for (const std::string& key : keys) {
    workspace.key_digests.push_back(ComputeDigest(key));
  }
  return workspace;
}

std::string FindName(const WorkspaceIndex& index, std::string_view key) {
  const MeshWorkspace* workspace = index.FindByKey(ComputeDigest(key));
  return workspace == nullptr ? "none" : workspace->name;
}

// The daemon has a young proof of its version.
VersionCertainty MakeSure() { return {milliseconds(10), true, milliseconds(0)}; }

AccessVerdict Decide(const WorkspaceIndex& index, std::string_view key,
                     const VersionCertainty& certainty) {
  return DecideAccess(index, HostRoute(), key, certainty).verdict;
}

}  // namespace

Test(workspace_index, finds_workspaces_by_key_and_name) {
  const std::vector<MeshWorkspace> workspaces = {MakeWorkspace("press", {"k1", "k2", "k1"}),
                                                 MakeWorkspace("film", {"k3"}),
                                                 MakeWorkspace("empty", {})};
  const Result<WorkspaceIndex> created = WorkspaceIndex::Create(workspaces);
  cr_assert(IsOk(created));
  const WorkspaceIndex& index = GetValue(created);
  cr_assert(index.HasWorkspaces());
  cr_assert_eq(FindName(index, "k1"), "press");
  cr_assert_eq(FindName(index, "k2"), "press");
  cr_assert_eq(FindName(index, "k3"), "film");
  cr_assert_eq(FindName(index, "k"), "none");
  cr_assert_eq(FindName(index, ""), "none");
  cr_assert_null(index.FindByKey(ComputeDigest("k1").substr(0, 8)));
  cr_assert_null(index.FindByKey(""));
  cr_assert_eq(index.FindByName("empty"), &workspaces[2]);
  cr_assert_null(index.FindByName("other"));
  cr_assert(index.GetProblems().empty());
}

Test(workspace_index, a_key_of_two_workspaces_names_neither) {
  const std::vector<MeshWorkspace> workspaces = {MakeWorkspace("press", {"k1", "both"}),
                                                 MakeWorkspace("film", {"both", "k3"})};
  const Result<WorkspaceIndex> created = WorkspaceIndex::Create(workspaces);
  cr_assert(IsOk(created));
  const WorkspaceIndex& index = GetValue(created);
  cr_assert_eq(FindName(index, "both"), "none");
  cr_assert_eq(FindName(index, "k1"), "press");
  cr_assert_eq(FindName(index, "k3"), "film");
  cr_assert_eq(index.GetProblems().size(), 1);
  cr_assert(index.GetProblems()[0].kind == WorkspaceProblem::Kind::kKeyShared);
}

// A name goes to the target in a header, so a line break in it could add further headers.
Test(workspace_index, leaves_out_entries_with_unusable_or_taken_names) {
  const std::vector<MeshWorkspace> workspaces = {
      MakeWorkspace("", {"k0"}),         MakeWorkspace("a\r\nX-Other: 1", {"k1"}),
      MakeWorkspace(" padded", {"k2"}),  MakeWorkspace(std::string(257, 'x'), {"k3"}),
      MakeWorkspace("film one", {"k4"}), MakeWorkspace("film one", {"k5"})};
  const Result<WorkspaceIndex> created = WorkspaceIndex::Create(workspaces);
  cr_assert(IsOk(created));
  const WorkspaceIndex& index = GetValue(created);
  for (const char* key : {"k0", "k1", "k2", "k3", "k5"}) {
    cr_assert_eq(FindName(index, key), "none", "%s", key);
  }
  cr_assert_eq(FindName(index, "k4"), "film one");
  cr_assert_eq(index.GetProblems().size(), 5);
  cr_assert(index.GetProblems()[4].kind == WorkspaceProblem::Kind::kNameTaken);
  cr_assert(index.HasWorkspaces());
}

Test(workspace_index, rejects_digests_of_another_size_without_showing_them) {
  std::vector<MeshWorkspace> workspaces = {MakeWorkspace("press", {"k1"})};
  workspaces[0].key_digests[0] = "0123456789";
  const Result<WorkspaceIndex> created = WorkspaceIndex::Create(workspaces);
  cr_assert(!IsOk(created));
  const std::string message = GetError(created).GetMessage();
  cr_assert(message.find("\"press\"") != std::string::npos, "%s", message.c_str());
  cr_assert(message.find("0123456789") == std::string::npos, "%s", message.c_str());
}

// Guards against an index that refers to the workspaces of a table that was moved away.
Test(workspace_index, is_part_of_a_version) {
  RouteTable table;
  table.workspaces = {MakeWorkspace("press", {"k1"})};
  Result<RouteIndex> created = RouteIndex::Create(std::move(table));
  cr_assert(IsOk(created));
  const RouteIndex index = std::move(GetValue(created));
  const MeshWorkspace* found = index.GetWorkspaces().FindByKey(ComputeDigest("k1"));
  cr_assert_eq(found, index.GetTable().workspaces.data());
  cr_assert_eq(found->name, "press");
}

Test(access_decision, asks_for_no_key_without_workspaces_and_on_public_routes) {
  const Result<WorkspaceIndex> none = WorkspaceIndex::Create({});
  cr_assert(Decide(GetValue(none), "", {}) == AccessVerdict::kAllowed);
  const std::vector<MeshWorkspace> workspaces = {MakeWorkspace("press", {"k1"})};
  const Result<WorkspaceIndex> index = WorkspaceIndex::Create(workspaces);
  HostRoute route;
  route.is_public = true;
  for (const char* key : {"", "k1", "unknown"}) {
    const AccessDecision decision = DecideAccess(GetValue(index), route, key, {});
    cr_assert(decision.verdict == AccessVerdict::kAllowed, "%s", key);
    cr_assert_null(decision.workspace);
  }
}

Test(access_decision, serves_a_known_key_only_with_a_proof) {
  const std::vector<MeshWorkspace> workspaces = {MakeWorkspace("press", {"k1"})};
  const Result<WorkspaceIndex> created = WorkspaceIndex::Create(workspaces);
  const WorkspaceIndex& index = GetValue(created);
  const AccessDecision decision = DecideAccess(index, HostRoute(), "k1", MakeSure());
  cr_assert(decision.verdict == AccessVerdict::kAllowed);
  cr_assert_eq(decision.workspace, workspaces.data());
  const AccessDecision refused =
      DecideAccess(index, HostRoute(), "k1", {milliseconds(10), false, milliseconds(0)});
  cr_assert(refused.verdict == AccessVerdict::kNotProven);
  cr_assert_null(refused.workspace);
}

// Guards against a final denial by a daemon that has not yet heard of the version with the key.
Test(access_decision, denies_a_key_for_good_only_when_sure) {
  const std::vector<MeshWorkspace> workspaces = {MakeWorkspace("press", {"k1"}),
                                                 MakeWorkspace("empty", {})};
  const Result<WorkspaceIndex> created = WorkspaceIndex::Create(workspaces);
  const WorkspaceIndex& index = GetValue(created);
  const std::string long_key(100'000, 'k');
  for (const std::string& key : {std::string("unknown"), std::string("k1 "), long_key}) {
    cr_assert(Decide(index, key, MakeSure()) == AccessVerdict::kUnknownKey);
    cr_assert(Decide(index, key, {}) == AccessVerdict::kNewerPossible);
    cr_assert(Decide(index, key, {milliseconds(1000), true, milliseconds(0)}) ==
              AccessVerdict::kUnknownKey);
    cr_assert(Decide(index, key, {milliseconds(1001), true, milliseconds(0)}) ==
              AccessVerdict::kNewerPossible);
    // The proof began after the request had arrived.
    cr_assert(Decide(index, key, {milliseconds(1500), true, milliseconds(2000)}) ==
              AccessVerdict::kUnknownKey);
  }
  cr_assert(Decide(index, "", MakeSure()) == AccessVerdict::kNoKey);
  cr_assert(Decide(index, "", {}) == AccessVerdict::kNewerPossible);
}
