#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ATTEMPT_SET_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ATTEMPT_SET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace lacewingbridge {

// The ids of the most recent attempts that their callers reported as not run. A claim call
// of such an attempt that arrives after the report is refused. The set is bounded and drops
// the oldest id first. Dropping one is safe: its caller never runs the attempt, so a late
// grant only makes the key unavailable to other attempts.
class ClaimAttemptSet {
 public:
  // max_count: number of attempt ids to remember.
  explicit ClaimAttemptSet(std::size_t max_count) : capacity(max_count) {}

  void Add(std::uint64_t attempt_id);
  bool Contains(std::uint64_t attempt_id) const { return this->members.contains(attempt_id); }
  std::size_t GetCount() const { return this->members.size(); }

 private:
  std::size_t capacity;
  // Oldest id first.
  std::deque<std::uint64_t> order;
  std::unordered_set<std::uint64_t> members;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ATTEMPT_SET_H_
