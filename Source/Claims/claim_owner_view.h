#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_OWNER_VIEW_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_OWNER_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "peer.h"

namespace lacewingbridge {

// The owner map that a daemon holds. The map names the hosts that own keys; each key is
// owned by one of them. Copies share the immutable map and are cheap.
class ClaimOwnerView {
 public:
  ClaimOwnerView() = default;

  // Replaces the held map if the new one has a larger epoch. Returns whether it did.
  bool Adopt(ClaimOwnerMap map);

  // Returns a copy of the held map, for sending it to peers. Its epoch is 0 when none is
  // held.
  ClaimOwnerMap GetMap() const;
  // 0 when no map is held.
  std::uint64_t GetEpoch() const;
  // Creation time of the map in Unix milliseconds; 0 when unknown.
  std::uint64_t GetCreationTime() const;
  std::span<const std::string> GetHosts() const;
  bool HasHost(std::string_view host) const;

  // Returns the host that owns the key, or an empty name when no map is held or it names no
  // host. Gives the same result as SelectByHash over the hosts.
  std::string_view FindOwner(std::string_view key) const;

  // Whether the host was added to the map while the process with this incarnation was
  // already running. If so, no earlier process of the host has owned a key since the host was
  // added. In the map of epoch 1, no host has owned a key before.
  bool WasAddedWithIncarnation(std::string_view host, std::uint64_t incarnation) const;
  // Returns the incarnation that the host at this position in GetHosts had when it was added
  // to the map; 0 when unknown.
  std::uint64_t GetIncarnation(std::size_t index) const;

 private:
  struct Content;
  std::shared_ptr<const Content> content;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_OWNER_VIEW_H_
