#ifndef LACEWINGBRIDGE_TESTS_FUZZ_VERSION_SUBMISSION_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_VERSION_SUBMISSION_H_

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "Core/digest.h"
#include "Daemon/store_keys.h"
#include "Daemon/store_records.h"
#include "Version/submit_process.h"
#include "rules_codec.h"

namespace lacewingbridge {

// One submission through a daemon, performed in the same way as by SubmitRunner. It ends when
// the daemon process ends.
template <typename Network, typename Node>
class VersionSubmission : public std::enable_shared_from_this<VersionSubmission<Network, Node>> {
 public:
  VersionSubmission(Network& shared_network, const std::shared_ptr<Node>& own_node,
                    std::size_t own_host, const SubmitRequest& request, std::uint64_t own_attempt)
      : network(shared_network),
        node(own_node),
        host(own_host),
        attempt(own_attempt),
        id(request.submission_id),
        text(request.text),
        random(shared_network.random()),
        process(GetValue(SubmitProcess::Create(request, {}, this->network.events.GetNow()))) {}

  void Start() { this->Handle(SubmitStarted{}); }

 private:
  void Handle(const SubmitEvent& event) {
    const SubmitAction action =
        this->process.Handle(event, this->network.events.GetNow(), this->random);
    std::visit([this](const auto& one) { this->Perform(one); }, action);
  }

  template <typename Call, typename Then>
  void CallStore(Call call, Then then) {
    this->network.CallStore(this->host, call, [self = this->shared_from_this(), then](auto reply) {
      self->Handle(reply.has_value() ? SubmitEvent(then(*reply)) : SubmitCallFailed{});
    });
  }
  void Perform(const SubmitReadHead& /*action*/) {
    this->CallStore(
        [](FakeStore& store, TimePoint now) { return store.Get({kHeadKey}, now); },
        [](const StoreGetReply& reply) { return SubmitHeadRead{DecodeHead(reply.entry)}; });
  }
  void Perform(const SubmitWriteBody& action) {
    const StoreSwapRequest request{MakeBodyKey(action.digest), this->text, 0, 0};
    this->CallStore([request](FakeStore& store, TimePoint now) { return store.Swap(request, now); },
                    [](const StoreSwapReply& /*reply*/) { return SubmitBodyWritten{}; });
  }
  void Perform(const SubmitSwapHead& action) {
    const StoreSwapRequest request{kHeadKey, Encode(action.head), action.expected_revision, 0};
    this->CallStore(
        [request, self = this->shared_from_this(), stamp = action.head.stamp](FakeStore& store,
                                                                              TimePoint now) {
          const std::uint64_t before = store.Peek(kHeadKey, now).revision;
          auto reply = store.Swap(request, now);
          const StoreEntry after = store.Peek(kHeadKey, now);
          // The reply may be lost although the swap took effect, so the store itself is compared.
          if (after.revision != before && after.value == request.value) {
            self->network.oracle.RecordAcceptance(stamp, self->id, self->text);
          }
          return reply;
        },
        [](const StoreSwapReply& reply) {
          return SubmitSwapReplied{reply.succeeded, DecodeHead(reply.entry)};
        });
  }
  void Perform(const SubmitWaitUntil& action) {
    if (const std::shared_ptr<Node> alive = this->node.lock()) {
      const Duration wait = std::max(action.time - this->network.events.GetNow(), Duration{0});
      alive->Schedule(wait,
                      [self = this->shared_from_this()] { self->Handle(SubmitTimePassed{}); });
    }
  }
  void Perform(const SubmitFinished& action) {
    this->network.oracle.RecordOutcome(this->id, this->attempt, action.outcome);
    const auto* accepted = std::get_if<SubmitAccepted>(&action.outcome);
    const std::shared_ptr<Node> alive = this->node.lock();
    if (accepted == nullptr || alive == nullptr ||
        accepted->stamp.digest != ComputeDigest(this->text)) {
      return;
    }
    // Like the daemon, puts the accepted version in force on this host immediately.
    RulesVersion version;
    version.stamp = accepted->stamp;
    version.parent = alive->GetRules().GetStamp();
    version.submission_id = this->id;
    version.text = this->text;
    alive->OfferVersion(std::move(version));
  }

  Network& network;
  std::weak_ptr<Node> node;
  std::size_t host;
  std::uint64_t attempt;
  std::string id;
  std::string text;
  std::mt19937_64 random;
  SubmitProcess process;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_VERSION_SUBMISSION_H_
