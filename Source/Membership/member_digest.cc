#include "Membership/member_digest.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Core/hash.h"
#include "Membership/member_table.h"

namespace lacewingbridge {

namespace {

std::map<std::string, MemberDigest, std::less<>> ComputeDigests(const MemberTable& table) {
  std::map<std::string, MemberDigest, std::less<>> digests;
  for (const MemberRecord* member : table.ListMembers("")) {
    digests[member->data_centre].Add(*member);
  }
  return digests;
}

}  // namespace

std::size_t MemberDigest::GetBucket(std::string_view host) { return HashBytes(host) % kBuckets; }

void MemberDigest::Add(const MemberRecord& record) {
  std::uint64_t hash = HashBytes(record.host);
  hash = CombineHashes(hash, record.incarnation);
  hash = CombineHashes(hash, record.sequence);
  hash = CombineHashes(hash, record.state == MemberState::kDraining ? 1 : 0);
  this->buckets[GetBucket(record.host)] += hash;
}

DataCentreDigest MemberDigest::Get(std::string_view data_centre, bool with_buckets) const {
  DataCentreDigest digest;
  digest.data_centre = data_centre;
  for (const std::uint64_t bucket : this->buckets) {
    digest.members_hash = CombineHashes(digest.members_hash, bucket);
  }
  if (with_buckets) {
    digest.bucket_hashes.assign(this->buckets.begin(), this->buckets.end());
  }
  return digest;
}

std::vector<DataCentreDigest> MemberTable::GetDigests(bool with_buckets) const {
  std::vector<DataCentreDigest> digests;
  for (const auto& [data_centre, digest] : ComputeDigests(*this)) {
    digests.push_back(digest.Get(data_centre, with_buckets));
  }
  return digests;
}

std::vector<MemberRecord> MemberTable::ListDiffering(
    std::span<const DataCentreDigest> digests) const {
  std::set<std::pair<std::string, std::size_t>> differing;
  const auto own_digests = ComputeDigests(*this);
  for (const DataCentreDigest& digest : digests) {
    const auto own = own_digests.find(digest.data_centre);
    const DataCentreDigest expected =
        (own == own_digests.end() ? MemberDigest() : own->second).Get(digest.data_centre, true);
    for (std::size_t i = 0; i < expected.bucket_hashes.size(); ++i) {
      if (i < digest.bucket_hashes.size() && digest.bucket_hashes[i] != expected.bucket_hashes[i]) {
        differing.emplace(digest.data_centre, i);
      }
    }
  }
  std::vector<MemberRecord> records;
  const auto add = [&](const MemberRecord& record) {
    if (differing.contains({record.data_centre, MemberDigest::GetBucket(record.host)})) {
      records.push_back(record);
    }
  };
  add(this->self);
  for (const auto& [host, entry] : this->entries) {
    add(entry.record);
  }
  return records;
}

}  // namespace lacewingbridge
