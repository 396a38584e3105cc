// One of six upstreams fails part of its requests by a 503 of its own, after it has run them.

#include <atomic>
#include <string>
#include <vector>

#include "stand_ins/case_runner.h"
#include "stand_ins/order_clients.h"

namespace lacewingbridge::review {
namespace {

constexpr int kUpstreams = 6;
// Every third request; the dose of the site file is 0.45.
constexpr int kFailing = 3;
// The dose of the site file is 6.5 s.
constexpr Milliseconds kTime{6000};
constexpr int kClients = 8;
constexpr Milliseconds kWork{120};

bool IsPromise(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

int RunCase(const char* record_path) {
  CaseRunner runner(record_path);
  const bool trouble = CaseRunner::HasTrouble();
  const MachineOptions front = runner.MakeMachine(1, "huvo11a");
  DaemonProcess& daemon = runner.AddDaemon(front);
  std::vector<MachineOptions> desks;
  for (int i = 0; i < kUpstreams; ++i) {
    desks.push_back(runner.MakeMachine(2 + i, "wuno96b"));
    runner.AddDaemon(desks.back());
  }
  runner.GetStore().Put("op/config",
                        MakeConfiguration(4,
                                          {{"r-check", "/check11/", "safe", "wuno96b", "1000ms"},
                                           {"r-order", "/xapu221/", "unsafe", "wuno96b", "1200ms"}},
                                          {"huvo11a", "wuno96b"}));
  runner.StartDaemons();
  std::atomic<int> requests{0};
  std::vector<UpstreamStandIn*> upstreams;
  for (const MachineOptions& desk : desks) {
    const bool is_grey = upstreams.empty();
    const UpstreamStandIn::Work work = [&requests, is_grey, trouble](const HttpMessage& request) {
      const bool is_order = request.GetMethod() == "POST";
      if (is_order && is_grey && trouble && ++requests % kFailing == 0) {
        HttpMessage failure = MakeAnswer(503, "Service Unavailable");
        failure.body = "the order was entered, its confirmation failed\n";
        return failure;
      }
      return UpstreamStandIn::MakeSuccess(request);
    };
    upstreams.push_back(
        &runner.AddUpstream(desk, "i-00d9e6b" + std::to_string(upstreams.size()), work, kWork));
  }
  runner.WaitUntilServed(daemon, {"/check11/1"});
  runner.Sleep(Milliseconds(3500));

  OrderClients clients(runner, daemon, "/xapu221/1");
  const std::vector<Order> orders = clients.SendFor(kTime, kClients);
  int broken = 0;
  for (const Order& order : orders) {
    for (const UpstreamStandIn* upstream : upstreams) {
      if (IsPromise(order.answer.status) && upstream->HasRun(order.request_id)) {
        ++broken;
        runner.GetRecord().Write("REFUSED: " + order.request_id + " was answered " +
                                 std::to_string(order.answer.status) + " and has run on " +
                                 upstream->GetOptions().id);
      }
    }
  }
  return runner.Conclude(broken > 0, std::to_string(broken) + " of " +
                                         std::to_string(orders.size()) +
                                         " orders were answered as not run and have run");
}

}  // namespace
}  // namespace lacewingbridge::review

int main(int, char** arguments) { return lacewingbridge::review::RunCase(arguments[1]); }
