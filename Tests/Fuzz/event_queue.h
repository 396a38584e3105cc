#ifndef LACEWINGBRIDGE_TESTS_FUZZ_EVENT_QUEUE_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_EVENT_QUEUE_H_

#include <functional>
#include <map>
#include <utility>

#include "Core/time_point.h"

namespace lacewingbridge {

// Simulated clock with a queue of delayed actions. The clock advances only in RunUntil, which
// runs the actions that become due in order of time. Used by one thread.
class EventQueue {
 public:
  TimePoint GetNow() const { return this->now; }

  void Add(Duration delay, std::function<void()> action) {
    this->events.emplace(this->now + delay, std::move(action));
  }

  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.begin()->first <= end) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    this->now = end;
  }

 private:
  TimePoint now{};
  std::multimap<TimePoint, std::function<void()>> events;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_EVENT_QUEUE_H_
