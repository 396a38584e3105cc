#ifndef LACEWINGBRIDGE_SOURCE_WORKSPACES_TABLE_PROOF_H_
#define LACEWINGBRIDGE_SOURCE_WORKSPACES_TABLE_PROOF_H_

#include <cstdint>
#include <optional>

#include "Core/time_point.h"

namespace lacewingbridge {

// The newest proof that no newer version than the one in force had been acknowledged to the
// operators. It is designed for this load: operators remove an API key while some daemons are cut
// off from the store, suspended or slow, and the key must not be served to any request that is sent
// later than a bound after the acknowledgement.
//
// A proof is the time at which a call was sent whose linearizable answer returned the version in
// force as the newest. A newer version was then acknowledged later than that time. So as long as
// the age of the proof is at most the bound when a request has arrived, the request was sent within
// the bound of any removal that this daemon does not know. The arrival of the answer would not do:
// the answer may have been under way for any time. The clock has to go on while the process is
// suspended.
//
// A version that comes into force keeps the proof of its predecessor, because versions that are
// newer still were acknowledged even later.
class TableProof {
 public:
  // Time from the acknowledgement of a removal until the key must not be served; 0 without one.
  void SetBound(Duration revoke_bound);
  Duration GetBound() const { return this->bound; }

  // Records that the answer to a call that was sent at the time returned `version` as the newest,
  // while `in_force` is in force. Returns whether this is a newer proof. The answer of an older
  // version proves nothing: the store was restored from a copy. That of a newer version counts once
  // the version is in force.
  bool RecordNewest(TimePoint sent, std::uint64_t version, std::uint64_t in_force);
  // The same for the proof of another daemon, which was this old when its response was made. `sent`
  // is when this daemon sent the request, so that the age includes the whole time on the way.
  bool RecordPeerProof(TimePoint sent, Duration age, std::uint64_t version, std::uint64_t in_force);

  // Empty without a proof that is young enough.
  std::optional<Duration> GetAge(TimePoint now) const;
  // When the call of the newest proof was sent, of whatever age.
  std::optional<TimePoint> GetProvenAt() const { return this->proven_at; }
  // Whether keys may be served to requests that have arrived by now.
  bool MayServeKeys(TimePoint now) const;

 private:
  // The part of the bound, in percent, up to which a proof is used. The rest is for clocks of the
  // hosts that run at different rates.
  static constexpr int kUsedPercent = 90;

  Duration bound{0};
  std::optional<TimePoint> proven_at;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WORKSPACES_TABLE_PROOF_H_
