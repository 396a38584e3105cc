#ifndef LACEWINGBRIDGE_SOAK_SENT_REQUEST_H_
#define LACEWINGBRIDGE_SOAK_SENT_REQUEST_H_

#include <string>

#include "stand_ins/record.h"

namespace lacewingbridge::soak {

enum class Outcome {
  // A whole response came.
  kAnswered,
  // The connection ended before a whole response.
  kCut,
  // The deadline passed.
  kLate,
  // The client closed the connection because an earlier response was late.
  kAbandoned,
  // Bytes came that are no response to this request.
  kMixed,
};

// A request of a client and what the client saw of it.
struct SentRequest {
  std::string id;
  std::string daemon;
  bool safe = true;
  review::Clock::time_point sent;
  Outcome outcome = Outcome::kCut;
  int status = 0;
  // The response has the signature of an upstream.
  bool is_signed = false;
  // An earlier response on the connection had `Connection: close`.
  bool behind_close = false;
  // From the last byte of the request to its outcome.
  review::Milliseconds elapsed{0};
};

}  // namespace lacewingbridge::soak

#endif  // LACEWINGBRIDGE_SOAK_SENT_REQUEST_H_
