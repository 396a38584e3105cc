#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_UPDATE_QUEUE_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_UPDATE_QUEUE_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingbridge {

// The hosts whose records have to be sent to peers. Each record is sent a bounded number of
// times, and the least often sent ones come first.
class MemberUpdateQueue {
 public:
  // Adds the host, or resets the transmission count of its record to 0.
  void Add(std::string_view host);
  void Remove(std::string_view host);

  // Returns up to limit hosts in the order in which their records should be sent.
  std::vector<std::string> ListNext(std::size_t limit) const;

  // Counts one transmission of the host's record and removes the host once the record was
  // sent max_transmissions times.
  void CountTransmission(std::string_view host, std::size_t max_transmissions);

  std::size_t GetSize() const { return this->sent_by_host.size(); }

 private:
  std::map<std::string, std::size_t, std::less<>> sent_by_host;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_UPDATE_QUEUE_H_
