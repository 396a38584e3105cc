#include "Proxy/link_relay.h"

#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Observe/event_log.h"
#include "Proxy/target_gate.h"

namespace lacewingbridge {

namespace {

// A response whose transfer over the link takes less time than this is sent without pacing.
constexpr Duration kPacedTransfer = std::chrono::milliseconds(20);
}  // namespace

Awaitable<void> HoldForLink(const TargetGate& gate, OutboundExchange& from, HeldAnswer& held) {
  const std::uint64_t bytes = from.GetLength().value_or(0);
  if (gate.GetTransferTime(bytes) >= kPacedTransfer) {
    co_await HoldWholeAnswer(from, held);
  }
}

Awaitable<LinkTransfer> RelayOnLink(TargetGate& gate, IoShard& shard, OutboundExchange& from,
                                    HeldAnswer& held, ServerExchange& to) {
  const bool whole = held.status == BodyStatus::kComplete;
  const std::uint64_t bytes =
      whole ? held.body.size() : from.GetLength().value_or(held.body.size());
  const LinkTurn turn{gate.ReserveLink(GetNow(), bytes), gate.GetTransferTime(bytes)};
  if (whole && turn.transfer >= kPacedTransfer && to.GetHead().method() != http::verb::head) {
    co_await RelayInTurn(held, turn, shard.GetContext(), to);
    co_return LinkTransfer{bytes, turn};
  }
  const std::uint64_t relayed = co_await RelayAnswer(from, held, to);
  co_return LinkTransfer{relayed, {}};
}

void LogLongAnswer(std::string_view request_id, const LinkTransfer& sent, TimePoint arrived_at) {
  if (sent.turn.transfer == Duration{0}) {
    return;
  }
  EventLog::Write(Event::kLongAnswerSent,
                  "request={} bytes={} link_wait_ms={} transfer_ms={} after_ms={}", request_id,
                  sent.bytes, CountMilliseconds(sent.turn.wait),
                  CountMilliseconds(sent.turn.transfer), CountMilliseconds(GetNow() - arrived_at));
}

}  // namespace lacewingbridge
