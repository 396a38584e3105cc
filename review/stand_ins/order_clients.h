#ifndef LACEWINGBRIDGE_REVIEW_STAND_INS_ORDER_CLIENTS_H_
#define LACEWINGBRIDGE_REVIEW_STAND_INS_ORDER_CLIENTS_H_

#include <mutex>
#include <string>
#include <vector>

#include "stand_ins/case_runner.h"

namespace lacewingbridge::review {

// A request that may run once at most, and its answer.
struct Order {
  std::string request_id;
  ClientAnswer answer;
};

// Clients of one machine that send orders side by side, each one the next order after the answer.
class OrderClients {
 public:
  static constexpr Milliseconds kDeadline{2500};

  OrderClients(CaseRunner& case_runner, const DaemonProcess& client_daemon, std::string order_path)
      : runner(case_runner), daemon(client_daemon), path(std::move(order_path)) {}

  // Sends orders for that time and waits for the last answers.
  std::vector<Order> SendFor(Milliseconds time, int clients);

 private:
  CaseRunner& runner;
  const DaemonProcess& daemon;
  const std::string path;
  std::mutex mutex;
};

}  // namespace lacewingbridge::review

#endif  // LACEWINGBRIDGE_REVIEW_STAND_INS_ORDER_CLIENTS_H_
