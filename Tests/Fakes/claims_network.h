#ifndef LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_NETWORK_H_
#define LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "peer.h"

namespace lacewingbridge {

// A message between two daemons of ClaimsCluster.
struct ClaimsMessage {
  enum class Kind { kClaim, kReply, kDone, kPart, kPartReply };

  Kind kind = Kind::kClaim;
  std::size_t to = 0;
  std::size_t from = 0;
  std::uint64_t from_incarnation = 0;
  std::uint64_t attempt = 0;
  int tries_left = 8;
  ClaimRequest claim;
  ClaimReply reply;
  ClaimDoneRequest done;
  ClaimTransferRequest part;
  ClaimTransferReply part_reply;
};

// Messages in flight; the test chooses which one arrives, is lost or arrives twice.
class ClaimsNetwork {
 public:
  void Send(ClaimsMessage message) { this->messages.push_back(std::move(message)); }
  bool IsEmpty() const { return this->messages.empty(); }

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
