#ifndef LACEWINGBRIDGE_SOURCE_NODE_SNAPSHOT_FETCHER_H_
#define LACEWINGBRIDGE_SOURCE_NODE_SNAPSHOT_FETCHER_H_

#include <string>

#include "Core/time_point.h"
#include "Http/asio_types.h"

namespace lacewingbridge {

class IoShard;
class MeshState;

// Fetches the route table and the hosts from a daemon that has a newer version, for the case that
// this daemon does not receive it from the store. A table takes a slow link for a third of a second
// at both daemons, and versions may come in quick succession, so a daemon that the store serves has
// to leave the fetch to it. Runs on its shard's thread.
class SnapshotFetcher {
 public:
  SnapshotFetcher(IoShard& io_shard, MeshState& mesh_state) : shard(io_shard), state(mesh_state) {}

  // Starts a fetch from the daemon unless one is in progress. It is made if no other version comes
  // within the time in which the store is expected to deliver one.
  void Request(const std::string& peer_address, Duration delivery_time);

 private:
  // Added to the time of the store. It sends a version to all daemons within milliseconds of each
  // other.
  static constexpr Duration kDelay = std::chrono::milliseconds(120);
  static constexpr Duration kConnectLimit = std::chrono::milliseconds(300);
  static constexpr Duration kResponseLimit = std::chrono::seconds(1);
  // Limit for the body of the response. A table of 1 MB with a thousand hosts fits.
  static constexpr std::size_t kMaxBytes = std::size_t{4} * 1024 * 1024;

  Awaitable<void> Fetch(std::string peer_address, Duration delivery_time);
  Awaitable<void> FetchFrom(const std::string& peer_address);

  IoShard& shard;
  MeshState& state;
  bool in_progress = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_NODE_SNAPSHOT_FETCHER_H_
