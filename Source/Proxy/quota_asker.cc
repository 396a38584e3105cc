#include "Proxy/quota_asker.h"

#include <exception>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Proxy/mesh_state.h"
#include "Proxy/peer_exchange.h"
#include "Proxy/quota_gate.h"
#include "quota_codec.h"

namespace lacewingbridge {

namespace {

constexpr std::size_t kMaxReplyBytes = 256;

Awaitable<std::optional<QuotaReply>> SendAsk(IoShard& shard, const std::string& peer_address,
                                             const QuotaAsk& ask) {
  OutboundExchange::Request request(http::verb::post, kQuotaPath, 11);
  request.body() = Encode(ask);
  request.prepare_payload();
  const PeerExchangeLimits limits{kAskLimit, kAskLimit, kPeerIdleLimit, kMaxReplyBytes};
  std::optional<QuotaReply> reply =
      co_await ExchangeWithPeer<QuotaReply>(shard, peer_address, std::move(request), limits);
  co_return reply;
}

QuotaReply AnswerAsk(MeshState& state, QuotaGate& quotas, const QuotaAsk& ask) {
  const std::shared_ptr<const RouteIndex> index = state.GetIndex();
  if (index == nullptr) {
    return quotas.Answer(GetNow(), ask, nullptr, 0);
  }
  return quotas.Answer(GetNow(), ask, index->GetWorkspaces().FindByName(ask.workspace),
                       index->GetTable().version);
}

}  // namespace

Awaitable<void> AskForCredit(IoShard& shard, MeshState& state, QuotaGate& quotas,
                             std::string workspace) {
  while (true) {
    const std::optional<QuotaGate::OutgoingAsk> outgoing = quotas.MakeAsk(GetNow(), workspace);
    if (!outgoing.has_value()) {
      co_return;
    }
    std::optional<QuotaReply> reply;
    if (outgoing->peer_address.empty()) {
      reply = AnswerAsk(state, quotas, outgoing->ask);
    } else {
      // A round that does not end would keep later requests from asking.
      try {
        reply = co_await SendAsk(shard, outgoing->peer_address, outgoing->ask);
      } catch (const std::exception&) {
        reply.reset();
      }
    }
    quotas.HandleReply(GetNow(), workspace, reply.has_value() ? &*reply : nullptr);
  }
}

std::string AnswerQuotaAsk(MeshState& state, QuotaGate& quotas, const std::string& body) {
  QuotaAsk ask;
  if (!Decode(body, ask)) {
    return {};
  }
  return Encode(AnswerAsk(state, quotas, ask));
}

}  // namespace lacewingbridge
