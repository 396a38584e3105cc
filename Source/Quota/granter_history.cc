#include "Quota/granter_history.h"

#include <algorithm>
#include <utility>

namespace lacewingbridge {

GranterHistory::GranterHistory(const GranterHistory& earlier,
                               std::shared_ptr<const GranterList> newest) {
  this->lists.push_back(std::move(newest));
  const std::size_t kept = std::min(earlier.lists.size(), kMaxLists - 1);
  this->lists.insert(this->lists.end(), earlier.lists.begin(),
                     earlier.lists.begin() + static_cast<std::ptrdiff_t>(kept));
}

TimePoint GranterHistory::FindOwnSince(std::string_view workspace, std::uint32_t share,
                                       TimePoint enough) const {
  TimePoint since = this->GetNewest().GetStart();
  for (std::size_t i = 1; i < this->lists.size() && since > enough; ++i) {
    if (!this->lists[i]->IsOwn(workspace, share)) {
      break;
    }
    since = this->lists[i]->GetStart();
  }
  return since;
}

}  // namespace lacewingbridge
