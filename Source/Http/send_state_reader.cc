#include "Http/send_state_reader.h"

// The structure of <netinet/tcp.h> lacks the later fields of the kernel's, and both headers cannot
// be included in one file.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdint>

namespace lacewingbridge {

std::optional<SendState> ReadSendState(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int failed = getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size);
  // A state of zero is none that a connection can have.
  constexpr std::size_t kNeeded = offsetof(tcp_info, tcpi_notsent_bytes) + sizeof(std::uint32_t);
  if (failed != 0 || size < kNeeded || info.tcpi_state == 0) {
    return std::nullopt;
  }
  SendState state;
  state.has_unsent = info.tcpi_notsent_bytes > 0;
  state.has_unacked = info.tcpi_unacked > 0;
  constexpr std::size_t kWithWindow = offsetof(tcp_info, tcpi_snd_wnd) + sizeof(std::uint32_t);
  state.window_closed = size >= kWithWindow && info.tcpi_snd_wnd == 0;
  state.unanswered_probes = info.tcpi_probes;
  state.since_last_ack = std::chrono::milliseconds(info.tcpi_last_ack_recv);
  return state;
}

}  // namespace lacewingbridge
