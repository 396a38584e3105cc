#include "Node/snapshot_fetcher.h"

#include <cstdint>
#include <optional>
#include <utility>

#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Proxy/mesh_state.h"
#include "Proxy/peer_exchange.h"
#include "Proxy/peer_handler.h"
#include "Store/table_offer_log.h"
#include "mesh_codec.h"

namespace lacewingbridge {

void SnapshotFetcher::Request(const std::string& peer_address, Duration delivery_time) {
  if (this->in_progress || peer_address.empty()) {
    return;
  }
  this->in_progress = true;
  asio::co_spawn(
      this->shard.GetContext(),
      [this, peer_address, delivery_time]() -> Awaitable<void> {
        co_await this->Fetch(peer_address, delivery_time);
      },
      asio::detached);
}

Awaitable<void> SnapshotFetcher::Fetch(std::string peer_address, Duration delivery_time) {
  const std::uint64_t version = this->state.GetTableVersion();
  asio::steady_timer timer(this->shard.GetContext(), delivery_time + kDelay);
  ErrorCode code;
  co_await timer.async_wait(AwaitInto(code));
  if (this->state.GetTableVersion() == version) {
    co_await this->FetchFrom(peer_address);
  }
  this->in_progress = false;
}

Awaitable<void> SnapshotFetcher::FetchFrom(const std::string& peer_address) {
  const OutboundExchange::Request request(http::verb::get, kSnapshotPath, 11);
  const PeerExchangeLimits limits{kConnectLimit, kResponseLimit, Duration{0}, kMaxBytes};
  std::optional<PeerSnapshot> snapshot =
      co_await ExchangeWithPeer<PeerSnapshot>(this->shard, peer_address, request, limits);
  if (!snapshot.has_value()) {
    co_return;
  }
  OfferAndLog(this->state, std::move(snapshot->table), peer_address);
  for (const HostRecord& record : snapshot->hosts) {
    this->state.MergeHost(GetNow(), record);
  }
}

}  // namespace lacewingbridge
