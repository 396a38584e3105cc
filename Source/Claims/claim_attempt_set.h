#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ATTEMPT_SET_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ATTEMPT_SET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace lacewingbridge {

// The latest attempts that were reported as not run, so that a claim call that arrives
// after its cancellation is not granted. Forgetting one is safe: its caller never runs
// it, and the grant only keeps the key from others.
class ClaimAttemptSet {
 public:
  explicit ClaimAttemptSet(std::size_t max_count) : capacity(max_count) {}

  void Add(std::uint64_t attempt_id);
  bool Contains(std::uint64_t attempt_id) const { return this->members.contains(attempt_id); }
  std::size_t GetCount() const { return this->members.size(); }

 private:
  std::size_t capacity;
  std::deque<std::uint64_t> order;
  std::unordered_set<std::uint64_t> members;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ATTEMPT_SET_H_
