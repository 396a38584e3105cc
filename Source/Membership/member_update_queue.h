#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_UPDATE_QUEUE_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_UPDATE_QUEUE_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingbridge {

// Names of hosts whose records still have to be sent to peers, each a bounded
// number of times. The least often sent come first.
class MemberUpdateQueue {
 public:
  // Starts the count of transmissions of the host's record anew.
  void Add(std::string_view host);
  void Remove(std::string_view host);

  // Up to limit hosts in the order in which they should be sent.
  std::vector<std::string> ListNext(std::size_t limit) const;

  // Counts one transmission and drops the host once it was sent max_transmissions times.
  void CountTransmission(std::string_view host, std::size_t max_transmissions);

  std::size_t GetSize() const { return this->sent_by_host.size(); }

 private:
  std::map<std::string, std::size_t, std::less<>> sent_by_host;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_UPDATE_QUEUE_H_
