#ifndef LACEWINGBRIDGE_SOURCE_VERSION_VERSION_HOLDER_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_VERSION_HOLDER_H_

#include <cstddef>
#include <deque>
#include <memory>

#include "rules.h"

namespace lacewingbridge {

enum class OfferOutcome {
  kApplied,
  kSame,
  kOlder,
  kDigestMismatch,
};

// Bounds of the recent versions that are kept, the version in force included.
struct VersionHistoryLimits {
  // At 1,400 changes a day, 8 versions cover about 8 minutes.
  std::size_t max_versions = 8;
  std::size_t max_text_bytes = std::size_t{4} << 20U;
};

// The version in force on this daemon. It only moves forward in the order of
// version_order.h. Not synchronized: the front end keeps it under a lock.
class VersionHolder {
 public:
  explicit VersionHolder(VersionHistoryLimits history_limits = {});

  // Puts the version in force if it is newer than the held one and its text matches
  // its digest. Versions that are not newer are refused before the text is hashed.
  OfferOutcome Offer(RulesVersion version);

  // The version in force; null before the first one. The version stays valid for as
  // long as the caller keeps the pointer.
  std::shared_ptr<const RulesVersion> GetHeld() const;

  // Stamp of the version in force; number 0 before the first one.
  VersionStamp GetStamp() const;

  // A recent version with exactly this stamp, or null. The parent of a delta is
  // looked up here.
  std::shared_ptr<const RulesVersion> FindVersion(const VersionStamp& stamp) const;

 private:
  void TrimHistory();

  VersionHistoryLimits limits;
  // Oldest first; the last one is in force.
  std::deque<std::shared_ptr<const RulesVersion>> history;
  std::size_t text_bytes = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_VERSION_HOLDER_H_
