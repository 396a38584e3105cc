#ifndef LACEWINGBRIDGE_SOURCE_QUOTA_CREDIT_GRANTS_H_
#define LACEWINGBRIDGE_SOURCE_QUOTA_CREDIT_GRANTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "Core/time_point.h"
#include "Quota/credit_bucket.h"
#include "Quota/granter_list.h"
#include "Quota/quota_limit.h"
#include "quota.h"

namespace lacewingbridge {

// The shares that this daemon grants. A bucket exists from the first ask for it until it is full
// and nobody asks, or until another daemon grants the share.
//
// Not thread-safe.
class CreditGrants {
 public:
  // Grants credit of a share of this daemon. `own_limit` is what this daemon knows; the newer limit
  // counts. A bucket began to fill at `start` if it did not exist.
  QuotaReply Answer(TimePoint now, TimePoint start, const QuotaAsk& ask,
                    const QuotaLimit& own_limit, const QuotaBound& bound);

  bool HasBucket(const QuotaAsk& ask) const {
    return this->entries.contains({ask.workspace, ask.share});
  }

  // Whether no newer list than this one has come into force. An ask that was checked against an
  // older list must not be answered: its share may have gone to another daemon since.
  bool Follows(const GranterList& list) const { return list.GetStart() >= this->list_start; }

  // Drops the buckets of shares that other daemons grant. Returns their number.
  std::size_t DropOthers(const GranterList& list);
  // Drops the buckets that are full and of which nobody asks.
  void DropIdle(TimePoint now);
  void Clear() { this->entries.clear(); }
  std::size_t CountBuckets() const { return this->entries.size(); }

 private:
  struct Entry {
    CreditBucket bucket;
    QuotaLimit limit;
  };

  std::map<std::pair<std::string, std::uint32_t>, Entry> entries;
  // When the list in force began.
  TimePoint list_start;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUOTA_CREDIT_GRANTS_H_
