#include "Proxy/caller_request.h"

namespace lacewingbridge {

Awaitable<bool> CallerRequest::CheckAccess() { co_return true; }

bool CallerRequest::IsAccessCurrent(TimePoint) const { return true; }

std::uint32_t CallerRequest::GetPriority() const {
  const bool stated = this->workspace != nullptr && this->workspace->priority.has_value();
  return stated ? *this->workspace->priority : this->route->priority;
}

}  // namespace lacewingbridge
