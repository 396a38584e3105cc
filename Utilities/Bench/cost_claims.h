#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_COST_CLAIMS_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_COST_CLAIMS_H_

namespace lacewingbridge {

// Claims per second by threads and by keys held, memory of a claim, bytes of its calls.
void MeasureClaims();

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_COST_CLAIMS_H_
