// Main program of lacewingbridged, the daemon that runs beside each target host.
#include <fmt/core.h>
#include <getopt.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <string>

#include "Daemon/daemon.h"
#include "Daemon/daemon_settings_loader.h"
#include "Daemon/signal_waiter.h"
#include "Observe/event_log.h"

namespace lacewingbridge {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr char kUsage[] =
    "usage: lacewingbridged --settings FILE [--check]\n"
    "  -s, --settings FILE  settings in TOML; docs/OPERATIONS.md lists every key\n"
    "  -c, --check          validate the settings and exit\n"
    "  -h, --help           show this text\n"
    "Exit codes: 0 ended as asked, 1 failed, 2 wrong use.\n";

int RunDaemon(const Settings& settings) {
  EventLog::Configure(settings.host, settings.log_level);
  const SignalWaiter signals;
  Result<std::unique_ptr<Daemon>> daemon = Daemon::Create(settings);
  if (!IsOk(daemon)) {
    EventLog::Write(Event::kStartFailed, "{}", GetError(daemon).GetMessage());
    return kExitFailed;
  }
  const Status started = GetValue(daemon)->Start();
  if (!IsOk(started)) {
    EventLog::Write(Event::kStartFailed, "{}", GetError(started).GetMessage());
    return kExitFailed;
  }
  signals.WaitForTermination();
  GetValue(daemon)->Shutdown();
  return kExitOk;
}

int Main(int argc, char** argv) {
  const option options[] = {{"settings", required_argument, nullptr, 's'},
                            {"check", no_argument, nullptr, 'c'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  std::string path;
  bool check_only = false;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "s:ch", options, nullptr)) != -1) {
    switch (choice) {
      case 's':
        path = optarg;
        break;
      case 'c':
        check_only = true;
        break;
      case 'h':
        fmt::print("{}", kUsage);
        return kExitOk;
      default:
        fmt::print(stderr, "{}", kUsage);
        return kExitUsage;
    }
  }
  if (path.empty() || optind != argc) {
    fmt::print(stderr, "{}", kUsage);
    return kExitUsage;
  }
  const Result<Settings> settings = DaemonSettingsLoader::LoadFile(path);
  if (!IsOk(settings)) {
    fmt::print(stderr, "{}\n", GetError(settings).GetMessage());
    return kExitFailed;
  }
  if (check_only) {
    fmt::print("{}: settings are valid\n", path);
    return kExitOk;
  }
  return RunDaemon(GetValue(settings));
}

}  // namespace
}  // namespace lacewingbridge

int main(int argc, char** argv) {
  // Limits the wait for the last log lines, because the process that reads standard output may
  // be stopped.
  constexpr std::chrono::milliseconds kFlushLimit{500};
  const int exit_code = lacewingbridge::Main(argc, argv);
  if (!lacewingbridge::EventLog::Flush(kFlushLimit)) {
    _exit(exit_code);
  }
  return exit_code;
}
