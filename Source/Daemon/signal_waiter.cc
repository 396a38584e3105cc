#include "Daemon/signal_waiter.h"

#include <pthread.h>

#include <csignal>

namespace lacewingbridge {

namespace {

sigset_t MakeTerminationSet() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

SignalWaiter::SignalWaiter() {
  const sigset_t set = MakeTerminationSet();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int SignalWaiter::WaitForTermination() const {
  const sigset_t set = MakeTerminationSet();
  int signal = 0;
  sigwait(&set, &signal);
  return signal;
}

}  // namespace lacewingbridge
