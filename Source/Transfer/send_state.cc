#include "Transfer/send_state.h"

namespace lacewingbridge {

namespace {

// A receiver answers window probes at most every 500 ms, and probes may be lost.
constexpr int kMaxUnansweredProbes = 3;
constexpr Duration kMaxSilence = std::chrono::milliseconds(1500);

}  // namespace

SendVerdict JudgeSend(const SendState& state) {
  if (!state.has_unsent && !state.has_unacked) {
    return SendVerdict::kDelivered;
  }
  // With nothing under way, only a lack of room keeps bytes from being sent.
  const bool paused = state.window_closed || !state.has_unacked;
  if (!paused) {
    return SendVerdict::kSending;
  }
  const bool silent =
      state.unanswered_probes >= kMaxUnansweredProbes && state.since_last_ack >= kMaxSilence;
  return silent ? SendVerdict::kSilent : SendVerdict::kPaused;
}

}  // namespace lacewingbridge
