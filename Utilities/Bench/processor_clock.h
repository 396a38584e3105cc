#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_PROCESSOR_CLOCK_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_PROCESSOR_CLOCK_H_

#include <ctime>

namespace lacewingbridge {

// Processor time of this thread in nanoseconds; other processes on the machine do not
// count towards it.
inline double GetProcessorNanoseconds() {
  constexpr double kNanosecondsPerSecond = 1e9;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kNanosecondsPerSecond +
         static_cast<double>(time.tv_nsec);
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_PROCESSOR_CLOCK_H_
