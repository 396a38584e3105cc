#include "Workspaces/workspace_index.h"

#include <algorithm>
#include <cstring>

#include "Core/digest.h"

namespace lacewingbridge {

namespace {

// Whether the name may be the value of a header (RFC 9110, section 5.5).
bool IsUsableName(std::string_view name) {
  const auto is_control = [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte < 0x20 || byte == 0x7f;
  };
  return !name.empty() && name.size() <= WorkspaceIndex::kMaxNameBytes && name.front() != ' ' &&
         name.back() != ' ' && std::none_of(name.begin(), name.end(), is_control);
}

}  // namespace

Result<WorkspaceIndex> WorkspaceIndex::Create(std::span<const MeshWorkspace> workspaces) {
  WorkspaceIndex index(workspaces);
  const Status checked = index.CheckDigests();
  if (!IsOk(checked)) {
    return GetError(checked);
  }
  index.SetSalt();
  index.AddNames();
  return index;
}

Status WorkspaceIndex::CheckDigests() const {
  for (const MeshWorkspace& workspace : this->workspaces) {
    for (const std::string& digest : workspace.key_digests) {
      if (digest.size() != kDigestBytes) {
        return Error{ErrorKind::kRulesInvalid, "workspace \"" + workspace.name +
                                                   "\": the digest of an API key has " +
                                                   std::to_string(digest.size()) + " bytes, not " +
                                                   std::to_string(kDigestBytes)};
      }
    }
  }
  return MakeOkStatus();
}

void WorkspaceIndex::SetSalt() {
  std::string digests;
  for (const MeshWorkspace& workspace : this->workspaces) {
    for (const std::string& digest : workspace.key_digests) {
      digests += digest;
    }
  }
  this->salt = ComputeDigest(digests);
}

void WorkspaceIndex::AddNames() {
  for (std::size_t i = 0; i < this->workspaces.size(); ++i) {
    const std::string_view name = this->workspaces[i].name;
    if (!IsUsableName(name)) {
      this->problems.push_back({WorkspaceProblem::Kind::kUnusableName, i, i});
      continue;
    }
    const auto [found, added] = this->names.emplace(name, i);
    if (!added) {
      this->problems.push_back({WorkspaceProblem::Kind::kNameTaken, found->second, i});
      continue;
    }
    this->AddKeys(i);
  }
}

void WorkspaceIndex::AddKeys(std::size_t position) {
  for (const std::string& digest : this->workspaces[position].key_digests) {
    const std::uint64_t hash = this->HashDigest(digest);
    const auto [begin, end] = this->keys.equal_range(hash);
    const auto known = std::find_if(
        begin, end, [&digest](const auto& entry) { return entry.second.digest == digest; });
    if (known == end) {
      this->keys.emplace(hash, KeyEntry{digest, position, false});
    } else if (known->second.position != position) {
      known->second.shared = true;
      this->problems.push_back(
          {WorkspaceProblem::Kind::kKeyShared, known->second.position, position});
    }
  }
}

std::uint64_t WorkspaceIndex::HashDigest(std::string_view digest) const {
  const std::string salted = ComputeDigest(this->salt + std::string(digest));
  std::uint64_t hash = 0;
  std::memcpy(&hash, salted.data(), sizeof(hash));
  return hash;
}

const MeshWorkspace* WorkspaceIndex::FindByKey(std::string_view key_digest) const {
  const auto [begin, end] = this->keys.equal_range(this->HashDigest(key_digest));
  for (auto entry = begin; entry != end; ++entry) {
    if (AreDigestsEqual(entry->second.digest, key_digest)) {
      return entry->second.shared ? nullptr : &this->workspaces[entry->second.position];
    }
  }
  return nullptr;
}

const MeshWorkspace* WorkspaceIndex::FindByName(std::string_view name) const {
  const auto found = this->names.find(name);
  return found == this->names.end() ? nullptr : &this->workspaces[found->second];
}

}  // namespace lacewingbridge
