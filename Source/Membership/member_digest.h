#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_DIGEST_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "membership.h"
#include "peer.h"

namespace lacewingbridge {

// Hash of the member records of one data centre, in buckets by host. Each bucket is the sum
// of the hashes of its records, so it does not depend on the order in which they are added.
class MemberDigest {
 public:
  // With 225 members, a difference in one record transfers about 14 records.
  static constexpr std::size_t kBuckets = 16;

  // Returns the bucket that holds the record of this host.
  static std::size_t GetBucket(std::string_view host);

  // The state counts only as draining or not draining.
  void Add(const MemberRecord& record);
  DataCentreDigest Get(std::string_view data_centre, bool with_buckets) const;

 private:
  std::array<std::uint64_t, kBuckets> buckets{};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_DIGEST_H_
