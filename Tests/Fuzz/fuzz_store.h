#ifndef LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_STORE_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_STORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <utility>

#include "Core/time_point.h"
#include "Fakes/fake_store.h"
#include "Fuzz/event_queue.h"

namespace lacewingbridge {

// A FakeStore behind a simulated slow network. A call takes effect after one random delay and
// its reply arrives after another, possibly after the caller has timed out.
class FuzzStore {
 public:
  static constexpr Duration kCallTimeout = std::chrono::seconds(2);

  explicit FuzzStore(EventQueue& event_queue) : events(event_queue) {}

  // Runs call(store, now) at the store after a delay. Calls then(reply) exactly once, with
  // nullopt if no reply arrives within kCallTimeout.
  template <typename Call, typename Then>
  void Start(std::mt19937_64& random, Call call, Then then) {
    using Reply = decltype(call(this->store, TimePoint()));
    auto waiting = std::make_shared<bool>(true);
    const auto finish = [waiting, then](Reply reply) {
      if (std::exchange(*waiting, false)) {
        then(std::move(reply));
      }
    };
    const Duration reply_delay = this->DrawDelay(random);
    this->events.Add(this->DrawDelay(random), [this, call, finish, reply_delay] {
      Reply reply = call(this->store, this->events.GetNow());
      if (reply.has_value()) {
        this->events.Add(reply_delay, [finish, reply] { finish(reply); });
      }
    });
    this->events.Add(kCallTimeout, [finish] { finish(std::nullopt); });
  }

  FakeStore store;

 private:
  // Returns a random one-way delay between 1 ms and 1 ms above the delay that is set on the store.
  Duration DrawDelay(std::mt19937_64& random) const {
    const auto limit = static_cast<std::uint64_t>(this->store.GetDelay().count());
    return std::chrono::milliseconds(1) +
           Duration(limit == 0 ? 0 : static_cast<std::int64_t>(random() % limit));
  }

  EventQueue& events;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_STORE_H_
