#ifndef LACEWINGBRIDGE_SOURCE_HTTP_ANSWER_ORDER_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_ANSWER_ORDER_H_

#include <cstdint>
#include <map>

#include "Http/asio_types.h"
#include "Http/async_signal.h"
#include "Http/connection_end.h"

namespace lacewingbridge {

// Order of the answers on a connection whose requests are handled side by side. Each
// request takes a ticket when it has been read, and its answer waits for its turn. What has
// a ticket is answered, so only the answer to the last ticket may close the connection.
class AnswerOrder {
 public:
  explicit AnswerOrder(asio::io_context& io_context) : context(io_context) {}

  std::uint64_t TakeTicket() { return this->next_ticket++; }

  // No ticket is to be taken from now on; the answer to the last one closes the connection.
  void EndWithLastTicket() { this->ending = true; }
  bool IsEnding() const { return this->ending; }
  bool IsLast(std::uint64_t ticket) const {
    return this->ending && ticket + 1 == this->next_ticket;
  }

  // The ticket that is taken next.
  std::uint64_t GetNextTicket() const { return this->next_ticket; }

  // False if the connection ends before.
  Awaitable<bool> WaitForTurn(std::uint64_t ticket) {
    AsyncSignal signal(this->context);
    while (!this->IsClosed() && this->turn != ticket) {
      this->waiting[ticket] = &signal;
      co_await signal.WaitFor(kRecheckInterval);
      this->waiting.erase(ticket);
    }
    co_return !this->IsClosed();
  }

  // The answer of the present turn has been sent.
  void Advance() {
    ++this->turn;
    const auto found = this->waiting.find(this->turn);
    if (found != this->waiting.end()) {
      found->second->Notify();
    }
  }

  // No further answer can be sent. The first reason given is kept.
  void Close(ConnectionEnd why) {
    if (!this->IsClosed()) {
      this->end = why;
    }
    for (const auto& [ticket, signal] : this->waiting) {
      signal->Notify();
    }
  }

  bool IsClosed() const { return this->end != ConnectionEnd::kNone; }
  ConnectionEnd GetEnd() const { return this->end; }

 private:
  // Each wait ends by a notification; this only bounds the life of a timer.
  static constexpr Duration kRecheckInterval = std::chrono::minutes(1);

  asio::io_context& context;
  std::map<std::uint64_t, AsyncSignal*> waiting;
  std::uint64_t next_ticket = 0;
  std::uint64_t turn = 0;
  bool ending = false;
  ConnectionEnd end = ConnectionEnd::kNone;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_ANSWER_ORDER_H_
