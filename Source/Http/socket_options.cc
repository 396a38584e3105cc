#include "Http/socket_options.h"

#include <netinet/tcp.h>

namespace lacewingbridge {

namespace {

// Longest time that sent bytes may stay unacknowledged. Longer than the first repeats of
// a lost packet (about 200, 400 and 800 ms), shorter than most deadlines.
constexpr int kUnacknowledgedMilliseconds = 1500;
// Longest pause of a receiver. Deadlines and the limits of a listener are mostly shorter.
constexpr int kPausedMilliseconds = 60'000;
// A connection on which nothing moves is probed after this time, then at this interval,
// and given up after this many probes without an answer.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

}  // namespace

void SetConnectionOptions(TcpSocket& socket) {
  // A connection that has ended meanwhile shows at the next read or write.
  ErrorCode ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kProbeAfterSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kProbeIntervalSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kProbeCount), ignored);
  SetSilenceLimit(socket, SilenceLimit::kShort);
}

void SetSilenceLimit(TcpSocket& socket, SilenceLimit limit) {
  const int milliseconds =
      limit == SilenceLimit::kShort ? kUnacknowledgedMilliseconds : kPausedMilliseconds;
  ErrorCode ignored;
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(milliseconds), ignored);
}

}  // namespace lacewingbridge
