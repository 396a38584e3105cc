// Guards against a receiver that pauses being taken for one that is gone, and the reverse.
#include <criterion/criterion.h>

#include "Transfer/send_state.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(send_state, a_receiver_without_room_that_answers_probes_pauses) {
  SendState state;
  cr_assert(JudgeSend(state) == SendVerdict::kDelivered);
  state.has_unsent = true;
  cr_assert(JudgeSend(state) == SendVerdict::kPaused);
  // Probes are sent ever less often, and the answer to one may be lost.
  state.since_last_ack = seconds(20);
  state.unanswered_probes = 2;
  cr_assert(JudgeSend(state) == SendVerdict::kPaused);
}

Test(send_state, a_receiver_that_answers_no_probe_is_silent) {
  SendState state;
  state.has_unsent = true;
  state.unanswered_probes = 3;
  state.since_last_ack = seconds(2);
  cr_assert(JudgeSend(state) == SendVerdict::kSilent);
  state.since_last_ack = milliseconds(800);
  cr_assert(JudgeSend(state) == SendVerdict::kPaused);
}

// The limit of the operating system holds for sent bytes that nobody acknowledges.
Test(send_state, unacknowledged_bytes_are_no_pause) {
  SendState state;
  state.has_unsent = true;
  state.has_unacked = true;
  state.since_last_ack = seconds(2);
  cr_assert(JudgeSend(state) == SendVerdict::kSending);
  state.window_closed = true;
  cr_assert(JudgeSend(state) == SendVerdict::kPaused);
}
