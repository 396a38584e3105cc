#ifndef LACEWINGBRIDGE_SOURCE_TRANSFER_SEND_STATE_H_
#define LACEWINGBRIDGE_SOURCE_TRANSFER_SEND_STATE_H_

#include "Core/time_point.h"

namespace lacewingbridge {

// What the operating system reports about the bytes that were written to a connection.
struct SendState {
  bool has_unsent = false;     // bytes wait in the buffer of the sender
  bool has_unacked = false;    // sent bytes have not been acknowledged
  bool window_closed = false;  // the receiver has announced that it has no room
  // Window probes since the last acknowledgement.
  int unanswered_probes = 0;
  Duration since_last_ack{0};
};

enum class SendVerdict {
  kDelivered,  // nothing is left to send or to acknowledge
  kSending,    // sent bytes wait for their acknowledgement
  kPaused,     // the receiver is alive and has no room, because its process does not read
  kSilent,     // the receiver no longer answers window probes
};

// Tells a receiver that reads slowly from one that is gone. Load pattern: receivers that pause
// while they read a long message.
SendVerdict JudgeSend(const SendState& state);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_TRANSFER_SEND_STATE_H_
