#include "Version/submit_messages.h"

namespace lacewingbridge {

ErrorKind GetErrorKind(const SubmitOutcome& outcome) {
  if (std::holds_alternative<SubmitAccepted>(outcome)) {
    return ErrorKind::kNone;
  }
  if (std::holds_alternative<SubmitConflict>(outcome)) {
    return ErrorKind::kSubmitConflict;
  }
  return std::holds_alternative<SubmitStoreUnavailable>(outcome) ? ErrorKind::kStoreUnavailable
                                                                 : ErrorKind::kSubmitUnknown;
}

}  // namespace lacewingbridge
