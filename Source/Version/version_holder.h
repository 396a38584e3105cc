#ifndef LACEWINGBRIDGE_SOURCE_VERSION_VERSION_HOLDER_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_VERSION_HOLDER_H_

#include <cstddef>
#include <deque>
#include <memory>

#include "rules.h"

namespace lacewingbridge {

// Result of VersionHolder::Offer.
enum class OfferOutcome {
  // The version is in force now.
  kApplied,
  // The version has the stamp of the one in force.
  kSame,
  // The version is older than the one in force.
  kOlder,
  // The version is newer, but its text does not match its digest.
  kDigestMismatch,
};

// Limits on the recent versions that a daemon keeps, including the version in force. The version
// in force is kept even if it exceeds them.
struct VersionHistoryLimits {
  // At 1,400 changes a day, 8 versions cover about 8 minutes.
  std::size_t max_versions = 8;
  std::size_t max_text_bytes = std::size_t{4} << 20U;
};

// Holds the version in force on this daemon and some recent ones. An offered version replaces the
// one in force only if it is newer in the order of version_order.h. Not synchronized: the caller
// holds a lock.
class VersionHolder {
 public:
  explicit VersionHolder(VersionHistoryLimits history_limits = {});

  // Puts the version in force if it is newer than the one in force and its text matches its digest.
  // Versions that are not newer are refused before the text is hashed.
  OfferOutcome Offer(RulesVersion version);

  // Returns the version in force; null before the first one. The version stays valid as long as the
  // caller keeps the pointer.
  std::shared_ptr<const RulesVersion> GetHeld() const;

  // Returns the stamp of the version in force; its number is 0 before the first one.
  VersionStamp GetStamp() const;

  // Returns the recent version with exactly this stamp, or null. Used to find the parent to which a
  // delta applies.
  std::shared_ptr<const RulesVersion> FindVersion(const VersionStamp& stamp) const;

 private:
  // Removes the oldest versions until the limits are kept.
  void TrimHistory();

  VersionHistoryLimits limits;
  // From oldest to newest; the last version is in force.
  std::deque<std::shared_ptr<const RulesVersion>> history;
  std::size_t text_bytes = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_VERSION_HOLDER_H_
