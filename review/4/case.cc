// Two of seven upstreams crash one after the other, each for a few seconds, under lookups of which
// many ask for the same page.

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/case_runner.h"

namespace lacewingbridge::review {
namespace {

constexpr int kUpstreams = 7;
// The dose is a share of 0.15 of a service's upstreams; here one of seven is down at a time.
constexpr Milliseconds kDown{3000};
constexpr Milliseconds kBetween{4000};
constexpr Milliseconds kStabilityWindow{3000};
constexpr Milliseconds kObserved{8000};
constexpr Milliseconds kDeadline{2000};
constexpr Milliseconds kWork{90};
// They keep about four of the nine slots of each upstream busy.
constexpr int kClientsOfFirst = 8;
constexpr int kClientsOfLater = 24;
constexpr Milliseconds kPauseAfterFailure{100};

// Requests on one route that were sent in the steady state.
struct Count {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
};

// Sends lookups one after the other until the case ends. The paths differ if `differ` is true.
void SendLookups(CaseRunner& runner, const MachineOptions& machine, const std::string& prefix,
                 bool differ, const std::atomic<bool>& steady, const std::atomic<bool>& ended,
                 Count& count) {
  static std::atomic<int> last_id{0};
  while (!ended) {
    const std::string id = "lookup-" + std::to_string(++last_id);
    HttpMessage request =
        MakeRequest("GET", prefix + (differ ? id : std::string("home")), CaseRunner::kHost);
    request.headers.emplace_back("Lacewingbridge-Request-Id", id);
    request.headers.emplace_back("Lacewingbridge-Deadline-Ms", std::to_string(kDeadline.count()));
    const bool counts = steady;
    HttpMessage answer;
    const auto stream = HttpStream::Connect(machine.GetOutbound(), Milliseconds(1000));
    const bool served = stream != nullptr && stream->Write(request.Format()) &&
                        stream->Read(answer, kDeadline) == ReadEnd::kWhole &&
                        answer.GetStatus() == 200;
    count.sent += counts ? 1 : 0;
    count.served += counts && served ? 1 : 0;
    if (!served) {
      runner.GetRecord().Write("client: " + id + " " + request.GetTarget() + " is answered \"" +
                               answer.start_line + "\"");
      runner.Sleep(kPauseAfterFailure);
    }
  }
}

int RunCase(const char* record_path) {
  CaseRunner runner(record_path);
  const MachineOptions shop = runner.MakeMachine(1, "wuno96b");
  DaemonProcess& daemon = runner.AddDaemon(shop);
  std::vector<MachineOptions> books;
  for (int i = 0; i < kUpstreams; ++i) {
    books.push_back(runner.MakeMachine(2 + i, "huvo11a"));
    runner.AddDaemon(books.back());
  }
  const std::vector<std::string> services = {"huvo11a", "wuno96b"};
  const RouteRow first{"r-first", "/lepu270/", "safe", "huvo11a", "1000ms"};
  const RouteRow later{"r-later", "/miva31/", "safe", "huvo11a", "1000ms"};
  runner.GetStore().Put("op/config", MakeConfiguration(4, {first}, services));
  runner.StartDaemons();
  std::vector<UpstreamStandIn*> upstreams;
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(&runner.AddUpstream(books[i], "i-00d9e6b" + std::to_string(i),
                                            UpstreamStandIn::MakeSuccess, kWork));
  }
  runner.WaitUntilServed(daemon, {"/lepu270/1"});
  runner.GetStore().Put("op/config", MakeConfiguration(7, {first, later}, services));
  runner.WaitUntilServed(daemon, {"/miva31/1"});

  std::atomic<bool> steady{false};
  std::atomic<bool> ended{false};
  Count on_first;
  Count on_later;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClientsOfFirst; ++i) {
    clients.emplace_back(
        [&] { SendLookups(runner, shop, first.prefix, true, steady, ended, on_first); });
  }
  for (int i = 0; i < kClientsOfLater; ++i) {
    clients.emplace_back(
        [&] { SendLookups(runner, shop, later.prefix, false, steady, ended, on_later); });
  }
  for (int i = 0; i < 2; ++i) {
    runner.Sleep(kBetween);
    if (CaseRunner::HasTrouble()) {
      runner.CrashUpstream(*upstreams[i]);
      runner.Sleep(kDown);
      runner.AddUpstream(books[i], "i-11d9e6b" + std::to_string(i), UpstreamStandIn::MakeSuccess,
                         kWork);
    }
  }
  runner.Sleep(kStabilityWindow + Milliseconds(2000));
  steady = true;
  runner.Sleep(kObserved);
  ended = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const double first_share =
      static_cast<double>(on_first.served) / std::max(on_first.sent.load(), 1);
  const double later_share =
      static_cast<double>(on_later.served) / std::max(on_later.sent.load(), 1);
  const bool broken = on_later.sent >= 20 && later_share * 4 < first_share;
  return runner.Conclude(
      broken, "in steady state " + std::to_string(on_first.served) + " of " +
                  std::to_string(on_first.sent) + " requests on the first route and " +
                  std::to_string(on_later.served) + " of " + std::to_string(on_later.sent) +
                  " on the later one were served");
}

}  // namespace
}  // namespace lacewingbridge::review

int main(int, char** arguments) { return lacewingbridge::review::RunCase(arguments[1]); }
