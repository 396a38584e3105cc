#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_RULES_STATE_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_RULES_STATE_H_

#include <memory>
#include <mutex>
#include <optional>
#include <span>

#include "Core/result.h"
#include "Version/version_holder.h"
#include "Version/version_order.h"
#include "membership.h"
#include "peer.h"
#include "rules.h"

namespace lacewingbridge {

class RouteSnapshot;
struct RulesDocument;

// Holds the rules in force on this daemon and the snapshot by which requests are routed. The
// versions and the snapshot have a lock each, so that requests never wait for parsing. All
// methods may be called from any thread.
class RulesState {
 public:
  // Parses the text of the version and puts the whole version in force if it is newer than the
  // held one. A text that does not parse changes nothing and returns kDigestMismatch.
  OfferOutcome Offer(RulesVersion version);

  // Applies a delta to its parent version and offers the result. Returns kNotFound when the
  // parent is not known.
  Result<OfferOutcome> OfferDelta(const RulesDeltaScript& delta);

  // Computes the delta from an older version to the one in force. Returns nothing when the
  // older version is not known or not older than the one in force.
  std::optional<RulesDeltaScript> MakeDelta(const VersionStamp& from) const;

  // Builds a new snapshot from the rules in force and the members and replaces the current
  // one. Does nothing while no version is in force.
  void RebuildSnapshot(std::span<const MemberRecord> members);

  // Returns null until a version is in force.
  std::shared_ptr<const RouteSnapshot> GetSnapshot() const;

  std::shared_ptr<const RulesVersion> GetHeld() const;
  VersionStamp GetStamp() const;
  // Returns null when the version is not among the recent ones.
  std::shared_ptr<const RulesVersion> FindVersion(const VersionStamp& stamp) const;

  // Builds the reply to a peer that holds the version of the request: a delta, the whole
  // version when no delta can be computed, or only the stamp when the peer is up to date.
  FetchRulesReply HandleFetchRequest(const FetchRulesRequest& request) const;

 private:
  mutable std::mutex version_mutex;
  VersionHolder holder;
  std::shared_ptr<const RulesDocument> document;

  mutable std::mutex snapshot_mutex;
  std::shared_ptr<const RouteSnapshot> snapshot;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_RULES_STATE_H_
