#ifndef LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_NETWORK_H_
#define LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "peer.h"

namespace lacewingbridge {

// A message between two daemons of ClaimsCluster, which are named by index.
struct ClaimsMessage {
  enum class Kind { kClaim, kReply, kDone, kPart, kPartReply };

  Kind kind = Kind::kClaim;
  std::size_t to = 0;
  std::size_t from = 0;
  std::uint64_t from_incarnation = 0;
  std::uint64_t attempt = 0;
  // How often a report that was not recorded is still retried.
  int tries_left = 8;
  // The members below are set according to kind.
  ClaimRequest claim;
  ClaimReply reply;
  ClaimDoneRequest done;
  ClaimTransferRequest part;
  ClaimTransferReply part_reply;
};

// The messages in flight. The test chooses which message is delivered, lost or delivered
// twice.
class ClaimsNetwork {
 public:
  void Send(ClaimsMessage message) { this->messages.push_back(std::move(message)); }
  bool IsEmpty() const { return this->messages.empty(); }

  // Returns one of the messages, or nothing if there is none. keep: leaves the message in
  // flight, so that it is delivered again.
  std::optional<ClaimsMessage> Take(std::size_t choice, bool keep) {
    if (this->messages.empty()) {
      return std::nullopt;
    }
    const auto index = static_cast<std::ptrdiff_t>(choice % this->messages.size());
    ClaimsMessage message = this->messages[static_cast<std::size_t>(index)];
    if (!keep) {
      this->messages.erase(this->messages.begin() + index);
    }
    return message;
  }

 private:
  std::vector<ClaimsMessage> messages;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_NETWORK_H_
