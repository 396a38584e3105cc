#include "Node/peer_checker.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Proxy/mesh_state.h"
#include "Proxy/peer_exchange.h"
#include "Proxy/peer_handler.h"
#include "Workspaces/proof_readers.h"
#include "Workspaces/proof_schedule.h"
#include "mesh_codec.h"

namespace lacewingbridge {

PeerChecker::PeerChecker(IoShard& io_shard, MeshState& mesh_state, Listener progress_listener)
    : shard(io_shard), state(mesh_state), listener(std::move(progress_listener)) {}

void PeerChecker::Start() {
  asio::co_spawn(
      this->shard.GetContext(), [this]() -> Awaitable<void> { co_await this->Run(); },
      asio::detached);
}

Awaitable<void> PeerChecker::Run() {
  asio::steady_timer timer(this->shard.GetContext());
  ErrorCode code;
  while (!code) {
    timer.expires_after(this->GetInterval());
    co_await timer.async_wait(AwaitInto(code));
    const std::string peer_address = this->ChoosePeer();
    if (peer_address.empty()) {
      continue;
    }
    const std::optional<TimePoint> proven_at = this->state.GetProvenAt();
    const std::optional<PeerProgress> progress = co_await this->Ask(peer_address);
    if (progress.has_value()) {
      this->listener(peer_address, *progress);
    }
    // Other daemons may have a proof if the reader has none, or cannot be reached.
    this->ask_any = !this->ask_any && this->state.GetProvenAt() == proven_at;
  }
}

Duration PeerChecker::GetInterval() const {
  const std::optional<Duration> bound = this->state.GetProofBound();
  return bound.has_value() ? std::min(ProofSchedule::GetPeerInterval(*bound), kCheckInterval)
                           : kCheckInterval;
}

std::vector<HostRecord> PeerChecker::ListCandidates() const {
  std::vector<HostRecord> hosts = this->state.GetHosts();
  const auto is_no_peer = [this](const HostRecord& record) {
    return record.host == this->state.GetIdentity().host || record.peer_address.empty();
  };
  const std::optional<Duration> bound = this->state.GetProofBound();
  if (bound.has_value() && !this->ask_any &&
      ProofSchedule::ShouldAskReader(GetNow(), this->state.GetProvenAt(), *bound)) {
    std::vector<HostRecord> readers = ChooseProofReaders(hosts);
    std::erase_if(readers, is_no_peer);
    if (!readers.empty()) {
      return readers;
    }
  }
  std::erase_if(hosts, is_no_peer);
  return hosts;
}

std::string PeerChecker::ChoosePeer() {
  const std::vector<HostRecord> hosts = this->ListCandidates();
  if (hosts.empty()) {
    return {};
  }
  std::uniform_int_distribution<std::size_t> pick(0, hosts.size() - 1);
  return hosts[pick(this->shard.GetRandom())].peer_address;
}

Awaitable<std::optional<PeerProgress>> PeerChecker::Ask(const std::string& peer_address) {
  const OutboundExchange::Request request(http::verb::get, kProgressPath, 11);
  const PeerExchangeLimits limits{kConnectLimit, kResponseLimit, kPeerIdleLimit, kMaxBytes};
  const TimePoint sent = GetNow();
  const std::optional<PeerProgress> progress =
      co_await ExchangeWithPeer<PeerProgress>(this->shard, peer_address, request, limits);
  if (progress.has_value()) {
    this->state.RecordPeerProof(sent, progress->table_version, progress->proof_age_ms);
  }
  co_return progress;
}

}  // namespace lacewingbridge
