#ifndef LACEWINGBRIDGE_SOAK_STOP_PLAYER_H_
#define LACEWINGBRIDGE_SOAK_STOP_PLAYER_H_

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "stand_ins/daemon_process.h"
#include "stop_plan.h"

namespace lacewingbridge::soak {

// What the player saw of the daemons.
struct StopCounts {
  int stops = 0;
  int reloads = 0;
  int configurations = 0;
  // Daemons that still ran after their grace time.
  int overdue = 0;
  // Daemons that ended without having been asked to.
  int ended = 0;
  review::Milliseconds longest_stop{0};
};

// Plays a plan on running daemons. Its thread has to outlive the daemons, which end with the
// thread that started them.
class StopPlayer {
 public:
  static constexpr review::Milliseconds kGrace{6000};

  // The function submits the next configuration.
  StopPlayer(review::Record& soak_record, std::span<review::DaemonProcess* const> daemon_processes,
             std::function<void()> submit_configuration);

  // Returns when the plan has been played and no daemon is stopping.
  void Play(std::span<const PlannedEvent> plan);
  const StopCounts& GetCounts() const { return this->counts; }

 private:
  enum class State { kStarting, kRunning, kStopping, kDown };
  struct Host {
    review::DaemonProcess* daemon = nullptr;
    State state = State::kRunning;
    // The time of the signal, or of the end of the process.
    review::Clock::time_point since;
    review::Milliseconds down{0};
  };

  void PlayEvent(const PlannedEvent& event);
  void StopDaemon(Host& host, review::Milliseconds down);
  void UpdateHost(Host& host);
  void CheckStopping(Host& host);
  bool HasStoppingDaemon() const;

  review::Record& record;
  const std::function<void()> submit;
  std::vector<Host> hosts;
  StopCounts counts;
};

}  // namespace lacewingbridge::soak

#endif  // LACEWINGBRIDGE_SOAK_STOP_PLAYER_H_
