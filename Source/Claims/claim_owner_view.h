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

// The owner map that a daemon holds. Copies share the map and are cheap.
class ClaimOwnerView {
 public:
  ClaimOwnerView() = default;

  // Adopts the map when its epoch is larger than the held one; otherwise returns false.
  bool Adopt(ClaimOwnerMap map);

  // The held map, for passing it on; epoch 0 when none is held.
  ClaimOwnerMap GetMap() const;
  // 0 when no map is held.
  std::uint64_t GetEpoch() const;
  // Unix milliseconds; 0 when unknown.
  std::uint64_t GetCreationTime() const;
  std::span<const std::string> GetHosts() const;
  bool HasHost(std::string_view host) const;

  // Host that owns the key; empty when no map is held or it names no host. Agrees with
  // SelectByHash over the hosts.
  std::string_view FindOwner(std::string_view key) const;

  // Whether the host was added to the map while this process, named by its incarnation,
  // was already running. Then no earlier process of the host has owned a key since it
  // was added; in the map of epoch 1, no host has owned a key before.
  bool IsAddedWith(std::string_view host, std::uint64_t incarnation) const;
  // By position in GetHosts; 0 where unknown.
  std::uint64_t GetIncarnation(std::size_t index) const;

 private:
  struct Content;
  std::shared_ptr<const Content> content;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_OWNER_VIEW_H_
