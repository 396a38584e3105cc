#ifndef LACEWINGBRIDGE_SOURCE_WORKSPACES_WORKSPACE_INDEX_H_
#define LACEWINGBRIDGE_SOURCE_WORKSPACES_WORKSPACE_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/result.h"
#include "Workspaces/workspace_problem.h"
#include "mesh.h"

namespace lacewingbridge {

// Index of the workspaces of one version, for look-ups by the digest of an API key and by name.
// Immutable once created. Refers to the workspaces, which have to outlive it.
//
// An entry that cannot be used is left out instead of rejecting the version: daemons that reject a
// version go on serving the keys that it removes.
class WorkspaceIndex {
 public:
  static constexpr std::size_t kMaxNameBytes = 256;

  // Returns an error if a digest has not kDigestBytes bytes. It comes from a daemon of another
  // release, and cannot be compared.
  static Result<WorkspaceIndex> Create(std::span<const MeshWorkspace> workspaces);

  // Whether requests need an API key.
  bool HasWorkspaces() const { return !this->workspaces.empty(); }

  // Return null if there is no such workspace. The time of a look-up by key does not tell how much
  // of the digest equals that of a known key.
  const MeshWorkspace* FindByKey(std::string_view key_digest) const;
  const MeshWorkspace* FindByName(std::string_view name) const;

  std::span<const WorkspaceProblem> GetProblems() const { return this->problems; }

 private:
  struct KeyEntry {
    std::string_view digest;
    std::size_t position = 0;
    bool shared = false;
  };

  explicit WorkspaceIndex(std::span<const MeshWorkspace> entries) : workspaces(entries) {}
  Status CheckDigests() const;
  void SetSalt();
  void AddNames();
  void AddKeys(std::size_t position);
  std::uint64_t HashDigest(std::string_view digest) const;

  std::span<const MeshWorkspace> workspaces;
  // Hashes of digests cover this secret, so that the time of a look-up in the hash table tells
  // nothing about the digests. It depends on all keys of the version.
  std::string salt;
  std::unordered_multimap<std::uint64_t, KeyEntry> keys;
  std::unordered_map<std::string_view, std::size_t> names;
  std::vector<WorkspaceProblem> problems;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WORKSPACES_WORKSPACE_INDEX_H_
