#include "stand_ins/order_clients.h"

#include <thread>
#include <utility>

namespace lacewingbridge::review {

namespace {

constexpr Milliseconds kPauseAfterFailure{100};

}  // namespace

std::vector<Order> OrderClients::SendFor(Milliseconds time, int clients) {
  const Clock::time_point until = Clock::now() + time;
  std::vector<Order> orders;
  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i) {
    threads.emplace_back([&] {
      while (Clock::now() < until) {
        std::unique_lock lock(this->mutex);
        HttpMessage request = this->runner.MakeClientRequest("POST", this->path, kDeadline);
        lock.unlock();
        request.body = "care tags, one batch\n";
        ClientAnswer answer = this->runner.Send(this->daemon, request, kDeadline);
        if (answer.status != 200) {
          this->runner.Sleep(kPauseAfterFailure);
        }
        lock.lock();
        orders.push_back({request.GetHeader("Lacewingbridge-Request-Id"), std::move(answer)});
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return orders;
}

}  // namespace lacewingbridge::review
