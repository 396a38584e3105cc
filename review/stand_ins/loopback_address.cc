#include "stand_ins/loopback_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <random>

namespace lacewingbridge::review {

namespace {

constexpr int kCannotRun = 2;

// Port of the metrics of a daemon, which is fixed.
constexpr char kMetricsPort[] = "9464";

bool IsFree(const std::string& address) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = ParseLoopback(address);
  const bool bound = bind(probe, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
  close(probe);
  return bound;
}

}  // namespace

sockaddr_in ParseLoopback(const std::string& address) {
  const std::size_t colon = address.find(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  const bool read = colon != std::string::npos &&
                    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) == 1;
  constexpr std::uint32_t kLoopbackNetwork = 127;
  if (!read || ntohl(parsed.sin_addr.s_addr) >> 24 != kLoopbackNetwork) {
    std::fprintf(stderr, "\"%s\" is not a loopback address with a port\n", address.c_str());
    std::exit(kCannotRun);
  }
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  return parsed;
}

std::string FindFreeNetwork() {
  std::random_device random;
  constexpr int kTries = 100;
  for (int i = 0; i < kTries; ++i) {
    const std::string network =
        "127." + std::to_string(1 + random() % 250) + "." + std::to_string(random() % 250) + ".";
    if (IsFree(network + "1:" + kMetricsPort)) {
      return network;
    }
  }
  std::fprintf(stderr, "no free loopback addresses\n");
  std::exit(kCannotRun);
}

}  // namespace lacewingbridge::review
