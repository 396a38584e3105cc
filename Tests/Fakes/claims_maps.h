#ifndef LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_MAPS_H_
#define LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_MAPS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "Claims/claim_owner_view.h"
#include "Core/time_point.h"

namespace lacewingbridge {

// All owner maps that the store of a test has held, from epoch 1 on, and when each was
// replaced.
class ClaimsMaps {
 public:
  // Sets the map of epoch 1.
  void SetFirst(ClaimOwnerMap first) { this->maps = {std::move(first)}; }

  // Creates the next map, from which the host is removed if the newest map has it, and to
  // which it is added otherwise. Does nothing if the next map would be empty.
  void AddOrRemove(const std::string& host, std::uint64_t incarnation, TimePoint now,
                   std::uint64_t unix_ms) {
    ClaimOwnerMap next = this->maps.back();
    next.epoch += 1;
    next.created_unix_ms = unix_ms;
    const auto found = std::find(next.hosts.begin(), next.hosts.end(), host);
    if (found == next.hosts.end()) {
      next.hosts.push_back(host);
      next.incarnations.push_back(incarnation);
    } else {
      next.incarnations.erase(next.incarnations.begin() + (found - next.hosts.begin()));
      next.hosts.erase(found);
    }
    if (!next.hosts.empty()) {
      this->maps.push_back(next);
      this->changed_at.push_back(now);
    }
  }

  ClaimOwnerView GetView(std::size_t epoch) const {
    ClaimOwnerView view;
    view.Adopt(this->maps[epoch - 1]);
    return view;
  }
  std::size_t GetNewestEpoch() const { return this->maps.size(); }
  // Whether the map of this epoch was replaced before the time limit.
  bool IsReplacedBefore(std::size_t epoch, TimePoint limit) const {
    return epoch < this->maps.size() && this->changed_at[epoch - 1] < limit;
  }

 private:
  std::vector<ClaimOwnerMap> maps;
  std::vector<TimePoint> changed_at;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_MAPS_H_
