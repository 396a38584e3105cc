#ifndef LACEWINGBRIDGE_SOURCE_NODE_PEER_CHECKER_H_
#define LACEWINGBRIDGE_SOURCE_NODE_PEER_CHECKER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Core/time_point.h"
#include "Http/asio_types.h"
#include "mesh.h"

namespace lacewingbridge {

class IoShard;
class MeshState;

// Asks one other daemon after the other how much of the store's state it knows. A daemon whose
// watches of the store lost their events gets to know of it in this way, also if no request takes
// it to another daemon. Runs on its shard's thread.
class PeerChecker {
 public:
  // Called after each check with the address of the other daemon and what it knows.
  using Listener = std::function<void(const std::string& peer_address, const PeerProgress&)>;

  PeerChecker(IoShard& io_shard, MeshState& mesh_state, Listener progress_listener);

  void Start();

 private:
  // A few checks fit in the time within which a version has to be in force.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(700);
  static constexpr Duration kConnectLimit = std::chrono::milliseconds(300);
  static constexpr Duration kResponseLimit = std::chrono::milliseconds(500);
  static constexpr std::size_t kMaxBytes = 256;

  Awaitable<void> Run();
  Duration GetInterval() const;
  // Returns the peer address of a random daemon; empty if there is no other one. While the proof of
  // the newest version is old, it is that of a daemon that asks the store for proofs.
  std::string ChoosePeer();
  std::vector<HostRecord> ListCandidates() const;
  Awaitable<std::optional<PeerProgress>> Ask(const std::string& peer_address);

  IoShard& shard;
  // Ask any daemon next, because the last one asked had no newer proof.
  bool ask_any = false;
  MeshState& state;
  const Listener listener;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_NODE_PEER_CHECKER_H_
