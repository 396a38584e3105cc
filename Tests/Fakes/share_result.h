#ifndef LACEWINGBRIDGE_TESTS_FAKES_SHARE_RESULT_H_
#define LACEWINGBRIDGE_TESTS_FAKES_SHARE_RESULT_H_

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace lacewingbridge {

// What a replay with one hot workspace shows.
struct ShareResult {
  double others = 0;  // served share of the other workspaces, mean
  double worst_tenth = 0;
  double least = 0;
  double hot = 0;   // requests of the hot workspace served, in those of a mean other workspace
  double room = 0;  // share of the slots' time in use
};

// Fills in what is known from the served shares of the other workspaces.
inline void SetShares(std::vector<double> shares, ShareResult& share) {
  std::sort(shares.begin(), shares.end());
  share.others = std::accumulate(shares.begin(), shares.end(), 0.0) / shares.size();
  const std::size_t tenth = std::max<std::size_t>(shares.size() / 10, 1);
  share.worst_tenth = std::accumulate(shares.begin(), shares.begin() + tenth, 0.0) / tenth;
  share.least = shares.front();
}

inline void Print(const char* name, const ShareResult& share) {
  cr_log_info("%s: others %.3f, worst tenth %.3f, least %.3f, hot %.2f, room %.3f", name,
              share.others, share.worst_tenth, share.least, share.hot, share.room);
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_SHARE_RESULT_H_
