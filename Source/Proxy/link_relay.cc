#include "Proxy/link_relay.h"

#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Observe/event_log.h"
#include "Proxy/target_gate.h"

namespace lacewingbridge {

namespace {

// A response whose transfer over the link takes less time than this is sent without pacing.
constexpr Duration kMinPacedTransfer = std::chrono::milliseconds(20);
}  // namespace

Awaitable<void> BufferForLink(const TargetGate& gate, OutboundExchange& from,
                              BufferedResponse& buffered) {
  const std::uint64_t bytes = from.GetLength().value_or(0);
  if (gate.GetTransferTime(bytes) >= kMinPacedTransfer) {
    co_await BufferWholeResponse(from, buffered);
  }
}

Awaitable<LinkTransfer> RelayOnLink(TargetGate& gate, IoShard& shard, OutboundExchange& from,
                                    BufferedResponse& buffered, ServerExchange& to) {
  const bool whole = buffered.status == BodyStatus::kComplete;
  const std::uint64_t bytes =
      whole ? buffered.body.size() : from.GetLength().value_or(buffered.body.size());
  const LinkReservation reservation{gate.ReserveLink(GetNow(), bytes), gate.GetTransferTime(bytes)};
  if (whole && reservation.transfer >= kMinPacedTransfer &&
      to.GetHead().method() != http::verb::head) {
    co_await RelayPaced(buffered, reservation, shard.GetContext(), to);
    co_return LinkTransfer{bytes, reservation};
  }
  const std::uint64_t relayed = co_await RelayResponse(from, buffered, to);
  co_return LinkTransfer{relayed, {}};
}

void LogLongResponse(std::string_view request_id, const LinkTransfer& sent, TimePoint arrived_at) {
  if (sent.reservation.transfer == Duration{0}) {
    return;
  }
  EventLog::Write(
      Event::kLongAnswerSent, "request={} bytes={} link_wait_ms={} transfer_ms={} after_ms={}",
      request_id, sent.bytes, CountMilliseconds(sent.reservation.wait),
      CountMilliseconds(sent.reservation.transfer), CountMilliseconds(GetNow() - arrived_at));
}

}  // namespace lacewingbridge
