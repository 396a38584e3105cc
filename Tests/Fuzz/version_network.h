#ifndef LACEWINGBRIDGE_TESTS_FUZZ_VERSION_NETWORK_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_VERSION_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Fuzz/event_queue.h"
#include "Fuzz/fault_state.h"
#include "Fuzz/fuzz_store.h"
#include "Fuzz/version_oracle.h"
#include "membership.h"

namespace lacewingbridge {

// The simulated environment that the processes of a VersionWorld share: time, store, faults,
// oracle and the network between the processes.
template <typename Node>
class VersionNetwork {
 public:
  static constexpr Duration kPeerTimeout = std::chrono::seconds(2);

  VersionNetwork(std::uint64_t seed, std::vector<std::size_t> host_data_centres)
      : random(seed),
        data_centres(std::move(host_data_centres)),
        nodes(this->data_centres.size()) {}

  // Control address of the daemon on a host, and the host of such an address.
  static std::string GetAddress(std::size_t host) {
    return "10.0.0." + std::to_string(host + 1) + ":7000";
  }
  static std::size_t FindHost(std::string_view address) {
    return static_cast<std::size_t>(std::stoul(std::string(address.substr(7)))) - 1;
  }

  bool IsPartitioned(std::size_t left, std::size_t right) const {
    return this->faults.IsPartitioned(this->data_centres[left], this->data_centres[right]);
  }

  // Delivers a datagram to the process at the address. Depending on the faults in effect it is
  // lost, delivered twice, delayed, or its rules delta is corrupted.
  void SendDatagram(std::size_t from, std::string_view address, const GossipDatagram& datagram) {
    const std::size_t to = FindHost(address);
    const int copies = this->faults.DrawFault(this->faults.repeated_percent, this->random) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (this->IsPartitioned(from, to) ||
          this->faults.DrawFault(this->faults.dropped_percent, this->random)) {
        continue;
      }
      GossipDatagram sent = datagram;
      if (sent.delta.has_value() &&
          this->faults.DrawFault(this->faults.corrupted_percent, this->random)) {
        sent.delta->edits.push_back({0, 0, "service forged # nobody\n"});
      }
      this->events.Add(this->faults.DrawDelay(this->random), [this, from, to, sent] {
        if (this->nodes[to] != nullptr) {
          this->nodes[to]->Schedule(Duration{0}, [this, from, to, sent] {
            this->nodes[to]->HandleDatagram(sent, GetAddress(from));
          });
        }
      });
    }
  }

  // Runs handler(peer) in the process at the address, then then(reply) in the calling process,
  // with nullopt if the call fails or takes longer than kPeerTimeout.
  template <typename Handler, typename Then>
  void CallPeer(std::size_t from, std::string_view address, Handler handler, Then then) {
    using Reply = decltype(handler(*this->nodes[0]));
    const std::size_t to = FindHost(address);
    auto waiting = std::make_shared<bool>(true);
    const auto finish = [waiting, then](std::optional<Reply> reply) {
      if (std::exchange(*waiting, false)) {
        then(std::move(reply));
      }
    };
    Node& caller = *this->nodes[from];
    if (this->nodes[to] == nullptr && !this->IsPartitioned(from, to)) {
      caller.Schedule(std::chrono::milliseconds(1), [finish] { finish(std::nullopt); });
      return;
    }
    caller.Schedule(kPeerTimeout, [finish] { finish(std::nullopt); });
    if (this->IsPartitioned(from, to) ||
        this->faults.DrawFault(this->faults.dropped_percent, this->random)) {
      return;
    }
    const std::weak_ptr<Node> weak = this->nodes[from];
    this->nodes[to]->Schedule(this->faults.DrawDelay(this->random), [=, this] {
      Reply reply = handler(*this->nodes[to]);
      const std::shared_ptr<Node> current_caller = weak.lock();
      if (current_caller != nullptr && !this->IsPartitioned(from, to)) {
        current_caller->Schedule(this->faults.DrawDelay(this->random),
                                 [finish, reply] { finish(reply); });
      }
    });
  }

  // Calls the store from the process of a host. then(reply) runs only if that process still
  // exists when the reply arrives.
  template <typename Call, typename Then>
  void CallStore(std::size_t from, Call call, Then then) {
    const std::weak_ptr<Node> weak = this->nodes[from];
    const auto guarded = [weak, then](auto reply) {
      if (const std::shared_ptr<Node> node = weak.lock()) {
        node->Schedule(Duration{0}, [then, reply] { then(reply); });
      }
    };
    const bool reachable = this->IsStoreReachable(from);
    this->store.Start(
        this->random,
        [call, reachable](FakeStore& target, TimePoint now) {
          return reachable ? call(target, now) : decltype(call(target, now))();
        },
        guarded);
  }
  bool IsStoreReachable(std::size_t from) const {
    return !this->faults.partitioned_from_store.contains(this->data_centres[from]);
  }

  EventQueue events;
  FuzzStore store{this->events};
  FaultState faults;
  std::mt19937_64 random;
  VersionOracle oracle;
  // Data centre of each host; two data centres form a region.
  std::vector<std::size_t> data_centres;
  // The process on each host; null while none runs there.
  std::vector<std::shared_ptr<Node>> nodes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_VERSION_NETWORK_H_
