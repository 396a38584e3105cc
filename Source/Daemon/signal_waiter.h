#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_SIGNAL_WAITER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_SIGNAL_WAITER_H_

namespace lacewingbridge {

// Blocks SIGTERM and SIGINT for the process and waits for them on demand. Must be created
// before any other thread, since threads inherit the blocked signals.
class SignalWaiter {
 public:
  SignalWaiter();

  // Returns the number of the first termination signal.
  int WaitForTermination() const;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_SIGNAL_WAITER_H_
