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

// The rules in force on this daemon and the snapshot that requests are routed by. One
// lock for versions, another for the snapshot, so that requests never wait for parsing.
class RulesState {
 public:
  // Parses the text and puts it in force if it is newer; all of it or nothing.
  OfferOutcome Offer(RulesVersion version);

  // Applies a delta to the version it starts from, if that is still known, and offers
  // the result. kNotFound when the parent is unknown.
  Result<OfferOutcome> OfferDelta(const RulesDeltaScript& delta);

  // Script from a recent version to the one in force, if the recent one is still known.
  std::optional<RulesDeltaScript> MakeDelta(const VersionStamp& from) const;

  // Builds a new snapshot from the rules in force and the members, and swaps it in.
  void RebuildSnapshot(std::span<const MemberRecord> members);

  // Null until a version is in force.
  std::shared_ptr<const RouteSnapshot> GetSnapshot() const;

  std::shared_ptr<const RulesVersion> GetHeld() const;
  VersionStamp GetStamp() const;
  std::shared_ptr<const RulesVersion> FindVersion(const VersionStamp& stamp) const;

  // The answer to a peer that holds the given version.
  FetchRulesReply AnswerFetch(const FetchRulesRequest& request) const;

 private:
  mutable std::mutex version_mutex;
  VersionHolder holder;
  std::shared_ptr<const RulesDocument> document;

  mutable std::mutex snapshot_mutex;
  std::shared_ptr<const RouteSnapshot> snapshot;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_RULES_STATE_H_
