// Stand-in for a target: answers every path, announces itself to the daemon of its host,
// drains on SIGTERM, and counts the requests it ran by idempotency key.
#include <fmt/core.h>
#include <getopt.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "Daemon/http_listener.h"
#include "Daemon/proxy_exchange.h"
#include "Daemon/signal_waiter.h"
#include "admin_codec.h"

namespace lacewingbridge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnnounceInterval{1000};
// After the last announcement the daemons need this long to send no new work.
constexpr unsigned kDrainMs = 2000;
constexpr std::size_t kServerThreads = 160;

struct TargetOptions {
  std::string service = "orders";
  std::string listen = "127.0.0.1:7600";
  std::string daemon = "127.0.0.1:7500";
  unsigned slots = 9;
  unsigned delay_ms = 0;
  // Time from the last announcement to the end of the process.
  unsigned drain_ms = kDrainMs;
  // Writes the key of each request to standard error before it runs, so that the record
  // outlives a kill of the process.
  bool log_runs = false;
  // A request whose body holds this text ends the process, as a crash would.
  std::string crash_text;
};

class TargetState {
 public:
  explicit TargetState(TargetOptions given) : options(std::move(given)) {}

  void Serve(const httplib::Request& request, httplib::Response& response) {
    if (!this->options.crash_text.empty() &&
        request.body.find(this->options.crash_text) != std::string::npos) {
      std::_Exit(EXIT_FAILURE);
    }
    response.set_header(kAttemptHeader, request.get_header_value(kAttemptHeader));
    const std::string key = request.get_header_value("Idempotency-Key");
    {
      const std::lock_guard guard(this->mutex);
      ++this->runs[key];
      if (this->options.log_runs) {
        fmt::print(stderr, "run {}\n", key);
      }
    }
    std::this_thread::sleep_for(milliseconds(this->options.delay_ms));
    response.set_content(fmt::format("{} {} {} key={} bytes={}\n", this->options.listen,
                                     request.method, request.path, key, request.body.size()),
                         "text/plain");
  }

  void ShowCounts(httplib::Response& response) {
    const std::lock_guard guard(this->mutex);
    std::string text;
    for (const auto& [key, count] : this->runs) {
      text += fmt::format("{} {}\n", key.empty() ? "-" : key, count);
    }
    response.set_content(text, "text/plain");
  }

  // Announces until stopped; the last announcement says that the target is draining.
  void RunAnnouncer() {
    httplib::Client client("http://" + this->options.daemon);
    TargetAnnouncement announcement{
        this->options.service, this->options.listen, this->options.slots, false, 0,
        std::random_device{}()};
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
      lock.unlock();
      client.Post("/announce", EncodeJson(announcement), "application/json");
      lock.lock();
      this->wake.wait_for(lock, kAnnounceInterval, [this] { return this->stopping; });
    }
    announcement.draining = true;
    client.Post("/announce", EncodeJson(announcement), "application/json");
  }

  void Stop() {
    const std::lock_guard guard(this->mutex);
    this->stopping = true;
    this->wake.notify_all();
  }

 private:
  TargetOptions options;
  std::mutex mutex;
  std::condition_variable wake;
  std::map<std::string, unsigned> runs;
  bool stopping = false;
};

int RunTarget(const TargetOptions& options) {
  const SignalWaiter signals;
  TargetState state(options);
  HttpListener listener(kServerThreads);
  const auto serve = [&state](const httplib::Request& request, httplib::Response& response) {
    state.Serve(request, response);
  };
  listener.SetRequestHook(HideBodyHeaders);
  httplib::Server& server = listener.GetServer();
  server.Get("/counts", [&state](const httplib::Request&, httplib::Response& response) {
    state.ShowCounts(response);
  });
  server.Get(".*", serve).Post(".*", serve).Put(".*", serve).Delete(".*", serve);
  const Status started = listener.Start(options.listen);
  if (!IsOk(started)) {
    fmt::print(stderr, "{}\n", GetError(started).GetMessage());
    return 1;
  }
  std::thread announcer([&state] { state.RunAnnouncer(); });
  signals.WaitForTermination();
  state.Stop();
  announcer.join();
  std::this_thread::sleep_for(milliseconds(options.drain_ms));
  listener.Stop();
  return 0;
}

bool ParseOptions(int argc, char** argv, TargetOptions& parsed) {
  const option options[] = {{"service", required_argument, nullptr, 's'},
                            {"listen", required_argument, nullptr, 'l'},
                            {"daemon", required_argument, nullptr, 'd'},
                            {"slots", required_argument, nullptr, 'n'},
                            {"delay-ms", required_argument, nullptr, 'm'},
                            {"crash-text", required_argument, nullptr, 'c'},
                            {"drain-ms", required_argument, nullptr, 'e'},
                            {"log-runs", no_argument, nullptr, 'r'},
                            {nullptr, 0, nullptr, 0}};
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    switch (choice) {
      case 's':
        parsed.service = optarg;
        break;
      case 'l':
        parsed.listen = optarg;
        break;
      case 'd':
        parsed.daemon = optarg;
        break;
      case 'n':
        parsed.slots = static_cast<unsigned>(std::strtoul(optarg, nullptr, 10));
        break;
      case 'm':
        parsed.delay_ms = static_cast<unsigned>(std::strtoul(optarg, nullptr, 10));
        break;
      case 'c':
        parsed.crash_text = optarg;
        break;
      case 'e':
        parsed.drain_ms = static_cast<unsigned>(std::strtoul(optarg, nullptr, 10));
        break;
      case 'r':
        parsed.log_runs = true;
        break;
      default:
        return false;
    }
  }
  return true;
}

}  // namespace
}  // namespace lacewingbridge

int main(int argc, char** argv) {
  lacewingbridge::TargetOptions options;
  if (!lacewingbridge::ParseOptions(argc, argv, options)) {
    fmt::print(stderr,
               "usage: {} [--service NAME] [--listen IP:PORT] [--daemon IP:PORT] [--slots N]"
               " [--delay-ms N] [--crash-text TEXT] [--drain-ms N] [--log-runs]\n",
               argv[0]);
    return 2;
  }
  return lacewingbridge::RunTarget(options);
}
