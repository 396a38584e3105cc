#include "Quota/credit_grants.h"

namespace lacewingbridge {

QuotaReply CreditGrants::Answer(TimePoint now, TimePoint start, const QuotaAsk& ask,
                                const QuotaLimit& own_limit, const QuotaBound& bound) {
  const QuotaLimit asked{static_cast<double>(ask.rate_per_s), static_cast<double>(ask.burst),
                         ask.table_version};
  const QuotaLimit& newer = own_limit.version >= asked.version ? own_limit : asked;
  const std::pair<std::string, std::uint32_t> key(ask.workspace, ask.share);
  auto found = this->entries.find(key);
  if (found == this->entries.end()) {
    Entry entry{CreditBucket(start, ComputeShareLimit(newer, bound)), newer};
    found = this->entries.emplace(key, std::move(entry)).first;
  }
  Entry& entry = found->second;
  if (newer.version > entry.limit.version) {
    entry.limit = newer;
  }
  entry.bucket.SetLimit(now, ComputeShareLimit(entry.limit, bound));
  return entry.bucket.Answer(now, ask);
}

std::size_t CreditGrants::DropOthers(const GranterList& list) {
  this->list_start = list.GetStart();
  return std::erase_if(this->entries, [&list](const auto& item) {
    return !list.IsOwn(item.first.first, item.first.second);
  });
}

void CreditGrants::DropIdle(TimePoint now) {
  std::erase_if(this->entries, [now](const auto& item) { return item.second.bucket.IsIdle(now); });
}

}  // namespace lacewingbridge
