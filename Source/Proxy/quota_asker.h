#ifndef LACEWINGBRIDGE_SOURCE_PROXY_QUOTA_ASKER_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_QUOTA_ASKER_H_

#include <string>

#include "Http/asio_types.h"

namespace lacewingbridge {

class IoShard;
class MeshState;
class QuotaGate;

// Path to which other daemons send asks for credit.
inline constexpr char kQuotaPath[] = "/lacewingbridge/quota";

// Sends the asks of one round for the workspace to the daemons that grant its credit; see
// CreditHolder::MakeAsk.
Awaitable<void> AskForCredit(IoShard& shard, MeshState& state, QuotaGate& quotas,
                             std::string workspace);

// Decodes the ask of another daemon and returns the encoded reply; empty if it cannot be read.
std::string AnswerQuotaAsk(MeshState& state, QuotaGate& quotas, const std::string& body);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_QUOTA_ASKER_H_
