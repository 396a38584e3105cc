// Submits changes to a fleet and measures when each daemon holds them: asks all daemons
// by gossip probes from one socket, as a shell loop would add its own time.
#include <arpa/inet.h>
#include <fmt/core.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "Core/socket_address.h"
#include "fleet_access.h"
#include "membership_codec.h"
#include "synthetic_rules.h"

namespace lacewingbridge {
namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::chrono::seconds kLimit{60};
constexpr int kReceiveMicroseconds = 1000;
constexpr std::size_t kRoutes = 300;

// Asks daemons for the version they hold.
class VersionReader {
 public:
  explicit VersionReader(const std::vector<std::string>& addresses)
      : handle(socket(AF_INET, SOCK_DGRAM, 0)) {
    timeval limit{0, kReceiveMicroseconds};
    setsockopt(this->handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    for (const std::string& address : addresses) {
      const Result<SocketAddress> parsed = SocketAddress::Parse(address);
      sockaddr_in target{};
      target.sin_family = AF_INET;
      target.sin_port = htons(GetValue(parsed).GetPort());
      inet_pton(AF_INET, GetValue(parsed).GetIp().c_str(), &target.sin_addr);
      this->targets.push_back(target);
    }
    this->held.resize(addresses.size());
    this->held_at.resize(addresses.size());
  }
  ~VersionReader() { close(this->handle); }
  VersionReader(const VersionReader&) = delete;
  VersionReader& operator=(const VersionReader&) = delete;

  // Polls until all daemons hold the number; the times when each was first seen to.
  bool WaitFor(std::uint64_t number, Clock::time_point limit) {
    while (Clock::now() < limit) {
      const bool complete =
          std::ranges::all_of(this->held, [&](std::uint64_t one) { return one >= number; });
      if (complete) {
        return true;
      }
      this->AskOlder(number);
      const auto next = Clock::now() + kPollInterval;
      while (Clock::now() < next) {
        this->Receive(number);
      }
    }
    return false;
  }

  const std::vector<Clock::time_point>& GetTimes() const { return this->held_at; }
  std::uint64_t GetHighest() const { return std::ranges::max(this->held); }

 private:
  void AskOlder(std::uint64_t number) {
    GossipDatagram probe;
    probe.kind = GossipKind::kProbe;
    probe.sender_host = "version-reader";
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      if (this->held[i] >= number) {
        continue;
      }
      probe.probe_id = i;
      const std::string bytes = Encode(probe);
      sendto(this->handle, bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&this->targets[i]), sizeof(sockaddr_in));
    }
  }

  void Receive(std::uint64_t number) {
    char buffer[2048];
    const ssize_t size = recv(this->handle, buffer, sizeof(buffer), 0);
    GossipDatagram answer;
    if (size <= 0 || !Decode({buffer, static_cast<std::size_t>(size)}, answer) ||
        answer.probe_id >= this->held.size()) {
      return;
    }
    std::uint64_t& known = this->held[answer.probe_id];
    if (known < number && answer.held.number >= number) {
      this->held_at[answer.probe_id] = Clock::now();
    }
    known = std::max(known, answer.held.number);
  }

  int handle;
  std::vector<sockaddr_in> targets;
  std::vector<std::uint64_t> held;
  std::vector<Clock::time_point> held_at;
};

double GetShare(std::vector<double> values, double share) {
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

struct ChangeOptions {
  std::string submit_at;
  std::vector<std::string> addresses;
  int changes = 10;
  std::chrono::milliseconds gap{2000};
};

int Run(const ChangeOptions& options) {
  VersionReader reader(options.addresses);
  reader.WaitFor(1, Clock::now() + std::chrono::seconds(1));
  std::uint64_t number = reader.GetHighest();
  std::vector<double> complete;
  std::vector<double> single;
  for (int i = 0; i < options.changes; ++i) {
    std::this_thread::sleep_for(options.gap);
    const std::string text = MakeSyntheticRules(kRoutes) + fmt::format("# change {}\n", number + 1);
    std::uint64_t accepted = 0;
    const auto started = Clock::now();
    std::thread submitter([&] { accepted = SubmitRules(options.submit_at, text, number); });
    const bool held = reader.WaitFor(number + 1, started + kLimit);
    submitter.join();
    if (!held || accepted != number + 1) {
      fmt::print("change {}: accepted {}, not held by all within {} s\n", number + 1, accepted,
                 kLimit.count());
      return 1;
    }
    ++number;
    double last = 0;
    for (const Clock::time_point& time : reader.GetTimes()) {
      const double passed = Milliseconds(time - started).count();
      single.push_back(passed);
      last = std::max(last, passed);
    }
    complete.push_back(last);
  }
  fmt::print(
      "daemons {} changes {}: all hold it after median {:.0f} ms, worst {:.0f} ms; one"
      " daemon median {:.0f} ms, 99th percentile {:.0f} ms\n",
      options.addresses.size(), options.changes, GetShare(complete, 0.5), GetShare(complete, 1),
      GetShare(single, 0.5), GetShare(single, 0.99));
  return 0;
}

}  // namespace
}  // namespace lacewingbridge

int main(int argc, char** argv) {
  if (argc < 3) {
    fmt::print(stderr, "usage: {} SUBMIT_AT CONTROL[,CONTROL...] [CHANGES [GAP_MS]]\n", argv[0]);
    return 2;
  }
  lacewingbridge::ChangeOptions options;
  options.submit_at = argv[1];
  options.addresses = lacewingbridge::SplitAddresses(argv[2]);
  if (argc > 3) {
    options.changes = std::atoi(argv[3]);
  }
  if (argc > 4) {
    options.gap = std::chrono::milliseconds(std::atoi(argv[4]));
  }
  return lacewingbridge::Run(options);
}
