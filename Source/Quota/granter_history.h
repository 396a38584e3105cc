#ifndef LACEWINGBRIDGE_SOURCE_QUOTA_GRANTER_HISTORY_H_
#define LACEWINGBRIDGE_SOURCE_QUOTA_GRANTER_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "Core/time_point.h"
#include "Quota/granter_list.h"

namespace lacewingbridge {

// The list of hosts in force and some earlier ones, so that a change of the list does not empty the
// idle buckets of shares that stay with this daemon. Immutable.
class GranterHistory {
 public:
  GranterHistory() : lists{std::make_shared<const GranterList>()} {}
  // Adds the newest list; forgets the oldest ones.
  GranterHistory(const GranterHistory& earlier, std::shared_ptr<const GranterList> newest);

  const GranterList& GetNewest() const { return *this->lists.front(); }
  // Returns since when this daemon has granted the share without a break. The share has to be its
  // own in the newest list. Times before `enough` are not distinguished.
  TimePoint FindOwnSince(std::string_view workspace, std::uint32_t share, TimePoint enough) const;

 private:
  // The loss of a region changes the list several times within seconds.
  static constexpr std::size_t kMaxLists = 8;

  // Newest first.
  std::vector<std::shared_ptr<const GranterList>> lists;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUOTA_GRANTER_HISTORY_H_
