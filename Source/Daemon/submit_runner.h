#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_SUBMIT_RUNNER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_SUBMIT_RUNNER_H_

#include <random>
#include <variant>

#include "Core/result.h"
#include "Daemon/daemon_clock.h"
#include "Daemon/store_records.h"
#include "Version/submit_process.h"

namespace lacewingbridge {

// Runs a SubmitProcess: performs the store calls and waits that it asks for until the
// submission has an outcome.
template <StoreClient Client>
class SubmitRunner {
 public:
  // Blocks until the submission has an outcome. sleep_until(time) must block until that time.
  template <typename Sleep>
  static SubmitOutcome Run(Client& client, SubmitProcess& process, Sleep&& sleep_until) {
    std::mt19937_64 random{std::random_device{}()};
    SubmitAction action = process.Handle(SubmitStarted{}, GetNow(), random);
    while (!std::holds_alternative<SubmitFinished>(action)) {
      const SubmitEvent event = std::visit(
          [&](const auto& one) { return Perform(client, process, one, sleep_until); }, action);
      action = process.Handle(event, GetNow(), random);
    }
    return std::get<SubmitFinished>(action).outcome;
  }

 private:
  template <typename Sleep>
  static SubmitEvent Perform(Client& client, SubmitProcess& /*process*/,
                             const SubmitReadHead& /*action*/, Sleep& /*sleep*/) {
    const auto reply = client.Get({kHeadKey});
    if (!IsOk(reply)) {
      return SubmitCallFailed{};
    }
    return SubmitHeadRead{DecodeHead(GetValue(reply).entry)};
  }

  template <typename Sleep>
  static SubmitEvent Perform(Client& client, SubmitProcess& process, const SubmitWriteBody& action,
                             Sleep& /*sleep*/) {
    const std::string text(process.GetText());
    const bool written = WriteOnce(client, MakeBodyKey(action.digest), text);
    return written ? SubmitEvent(SubmitBodyWritten{}) : SubmitEvent(SubmitCallFailed{});
  }

  template <typename Sleep>
  static SubmitEvent Perform(Client& client, SubmitProcess& /*process*/,
                             const SubmitSwapHead& action, Sleep& /*sleep*/) {
    StoreSwapRequest request;
    request.key = kHeadKey;
    request.value = Encode(action.head);
    request.expected_revision = action.expected_revision;
    const auto reply = client.Swap(request);
    if (!IsOk(reply)) {
      return SubmitCallFailed{};
    }
    return SubmitSwapReplied{GetValue(reply).succeeded, DecodeHead(GetValue(reply).entry)};
  }

  template <typename Sleep>
  static SubmitEvent Perform(Client& /*client*/, SubmitProcess& /*process*/,
                             const SubmitWaitUntil& action, Sleep& sleep) {
    sleep(action.time);
    return SubmitTimePassed{};
  }

  template <typename Sleep>
  static SubmitEvent Perform(Client& /*client*/, SubmitProcess& /*process*/,
                             const SubmitFinished& /*action*/, Sleep& /*sleep*/) {
    return SubmitTimePassed{};
  }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_SUBMIT_RUNNER_H_
