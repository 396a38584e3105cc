#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_AMPLIFICATION_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_AMPLIFICATION_H_

namespace lacewingbridge {

// Prints how often the deepest of 17 levels is called for each request of a caller when
// all its calls fail.
void PrintAmplification();

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_AMPLIFICATION_H_
