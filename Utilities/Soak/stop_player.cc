#include "stop_player.h"

#include <signal.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace lacewingbridge::soak {

namespace {

using review::Clock;
using review::Milliseconds;

constexpr Milliseconds kCheckInterval{20};

}  // namespace

StopPlayer::StopPlayer(review::Record& soak_record,
                       std::span<review::DaemonProcess* const> daemon_processes,
                       std::function<void()> submit_configuration)
    : record(soak_record), submit(std::move(submit_configuration)) {
  for (review::DaemonProcess* daemon : daemon_processes) {
    Host host;
    host.daemon = daemon;
    this->hosts.push_back(host);
  }
}

void StopPlayer::Play(std::span<const PlannedEvent> plan) {
  const Clock::time_point begin = Clock::now();
  while (!plan.empty() || this->HasStoppingDaemon()) {
    while (!plan.empty() && Clock::now() >= begin + plan.front().at) {
      this->PlayEvent(plan.front());
      plan = plan.subspan(1);
    }
    for (Host& host : this->hosts) {
      this->UpdateHost(host);
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
}

void StopPlayer::PlayEvent(const PlannedEvent& event) {
  if (event.kind == PlannedKind::kConfiguration) {
    ++this->counts.configurations;
    this->submit();
  }
  for (const std::size_t index : event.daemons) {
    Host& host = this->hosts[index];
    if (event.kind == PlannedKind::kStop) {
      this->StopDaemon(host, event.down);
    } else if (host.state == State::kRunning || host.state == State::kStopping) {
      ++this->counts.reloads;
      host.daemon->Signal(SIGHUP);
    }
  }
}

void StopPlayer::StopDaemon(Host& host, Milliseconds down) {
  const auto running = std::count_if(this->hosts.begin(), this->hosts.end(), [](const Host& other) {
    return other.state == State::kRunning;
  });
  if (host.state != State::kRunning || running < 2) {
    return;
  }
  ++this->counts.stops;
  host.state = State::kStopping;
  host.since = Clock::now();
  host.down = down;
  host.daemon->Signal(SIGTERM);
}

void StopPlayer::UpdateHost(Host& host) {
  constexpr Milliseconds kOneAttempt{1};
  switch (host.state) {
    case State::kStarting:
      // A signal that comes before the daemon handles it would end the process.
      if (host.daemon->WaitUntilReady(kOneAttempt)) {
        host.state = State::kRunning;
      }
      break;
    case State::kRunning:
      if (host.daemon->WaitForEnd(Milliseconds(0))) {
        ++this->counts.ended;
        host.state = State::kDown;
        host.since = Clock::now();
      }
      break;
    case State::kStopping:
      this->CheckStopping(host);
      break;
    case State::kDown:
      if (Clock::now() >= host.since + host.down) {
        host.daemon->Start();
        host.state = State::kStarting;
      }
      break;
  }
}

void StopPlayer::CheckStopping(Host& host) {
  const auto elapsed = std::chrono::duration_cast<Milliseconds>(Clock::now() - host.since);
  const bool ended = host.daemon->WaitForEnd(Milliseconds(0));
  if (!ended && elapsed <= kGrace) {
    return;
  }
  this->counts.longest_stop = std::max(this->counts.longest_stop, elapsed);
  if (!ended) {
    ++this->counts.overdue;
    this->record.Write(host.daemon->GetOptions().name + ": outlived its grace time");
    host.daemon->Kill();
  }
  host.state = State::kDown;
  host.since = Clock::now();
}

bool StopPlayer::HasStoppingDaemon() const {
  return std::any_of(this->hosts.begin(), this->hosts.end(),
                     [](const Host& host) { return host.state == State::kStopping; });
}

}  // namespace lacewingbridge::soak
