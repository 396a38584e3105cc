#ifndef LACEWINGBRIDGE_TESTS_FAKES_FAKE_NETWORK_H_
#define LACEWINGBRIDGE_TESTS_FAKES_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "Core/time_point.h"

namespace lacewingbridge {

enum class FakePacketKind {
  kDatagram,
  kFetch,
  kFetchReply,
  kExchange,
  kExchangeReply,
  // The response to a call when no process listens at the address.
  kRefused,
};

struct FakePacket {
  FakePacketKind kind = FakePacketKind::kDatagram;
  std::string from;
  std::string to;
  std::string bytes;
};

// Carries packets between addresses in simulated time. Datagrams are dropped, duplicated and
// reordered. Calls are only delayed, refused, or dropped by a partition.
class FakeNetwork {
 public:
  using PartitionPredicate = std::function<bool(std::string_view from, std::string_view to)>;

  explicit FakeNetwork(std::uint64_t seed) : random(seed) {}

  void SetFaults(double loss_probability, double duplicate_probability) {
    this->loss = loss_probability;
    this->duplicate = duplicate_probability;
  }
  void SetDelay(Duration min, Duration max) {
    this->min_delay = min;
    this->max_delay = max;
  }
  // Drops all packets between two addresses for which the function returns true.
  void SetPartition(PartitionPredicate predicate) { this->is_partitioned = std::move(predicate); }
  // A paused process receives its packets when it resumes.
  void SetPaused(std::string_view address, bool paused, TimePoint now);
  bool IsPaused(std::string_view address) const { return this->paused_packets.contains(address); }
  // Datagrams to an address that is down are dropped, and calls are refused.
  void SetDown(std::string_view address, bool down);
  bool IsDown(std::string_view address) const { return this->down_addresses.contains(address); }

  void Send(FakePacket packet, TimePoint now);

  // Removes and returns the next packet that is due by this time, if any.
  std::optional<FakePacket> Take(TimePoint now);

  // Bytes sent from this address, including IP and UDP headers.
  std::uint64_t GetSentBytes(std::string_view address) const;

 private:
  struct Queued {
    TimePoint due;
    std::uint64_t order = 0;
    FakePacket packet;
    // Inverted, so that the earliest packet is at the top of the priority queue.
    bool operator<(const Queued& other) const {
      return std::tie(other.due, other.order) < std::tie(this->due, this->order);
    }
  };

  void Enqueue(FakePacket packet, TimePoint now);
  bool Draw(double probability);

  std::mt19937_64 random;
  double loss = 0;
  double duplicate = 0;
  Duration min_delay = std::chrono::milliseconds(1);
  Duration max_delay = std::chrono::milliseconds(10);
  PartitionPredicate is_partitioned;
  std::uint64_t next_order = 0;
  std::priority_queue<Queued> queue;
  std::map<std::string, std::vector<FakePacket>, std::less<>> paused_packets;
  std::set<std::string, std::less<>> down_addresses;
  std::map<std::string, std::uint64_t, std::less<>> sent_bytes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_FAKE_NETWORK_H_
