#include "Proxy/caller_request.h"

namespace lacewingbridge {

Awaitable<bool> CallerRequest::TakeQuota() { co_return true; }

void CallerRequest::ReturnUnusedQuota(const ProgressDecision&) {}

}  // namespace lacewingbridge
