#include "Daemon/rules_state.h"

#include <utility>
#include <variant>

#include "Observe/event_log.h"
#include "Rules/rules_delta.h"
#include "Rules/rules_document.h"
#include "Rules/rules_error.h"
#include "Rules/rules_parser.h"
#include "Version/route_snapshot.h"
#include "Version/snapshot_builder.h"

namespace lacewingbridge {

OfferOutcome RulesState::Offer(RulesVersion version) {
  // The text is parsed without the lock. If this release cannot parse all of it, the version is
  // refused as a whole.
  RulesParser::ParseResult parsed =
      RulesParser::Parse(version.text, fmt::format("version-{}", version.stamp.number));
  if (const auto* errors = std::get_if<std::vector<RulesError>>(&parsed)) {
    EventLog::Write(Event::kVersionRejected, "number={} {}", version.stamp.number,
                    FormatRulesError(errors->front()));
    return OfferOutcome::kDigestMismatch;
  }
  const std::uint64_t number = version.stamp.number;
  const std::string operator_name = version.operator_name;
  OfferOutcome outcome = OfferOutcome::kSame;
  {
    const std::lock_guard guard(this->version_mutex);
    outcome = this->holder.Offer(std::move(version));
    if (outcome == OfferOutcome::kApplied) {
      this->document =
          std::make_shared<const RulesDocument>(std::move(std::get<RulesDocument>(parsed)));
    }
  }
  if (outcome == OfferOutcome::kApplied) {
    EventLog::Write(Event::kVersionInForce, "number={} operator={}", number, operator_name);
  } else if (outcome == OfferOutcome::kDigestMismatch) {
    EventLog::Write(Event::kVersionRejected, "number={} digest mismatch", number);
  }
  return outcome;
}

Result<OfferOutcome> RulesState::OfferDelta(const RulesDeltaScript& delta) {
  const std::shared_ptr<const RulesVersion> parent = this->FindVersion(delta.parent);
  if (parent == nullptr) {
    return Error{ErrorKind::kNotFound, fmt::format("version {}", delta.parent.number)};
  }
  Result<std::string> text = RulesDelta::Apply(parent->text, delta);
  if (!IsOk(text)) {
    return GetError(text);
  }
  RulesVersion version;
  version.stamp = delta.result;
  version.parent = delta.parent;
  version.submission_id = delta.origin.submission_id;
  version.operator_name = delta.origin.operator_name;
  version.accepted_unix_ms = delta.origin.accepted_unix_ms;
  version.text = std::move(GetValue(text));
  return this->Offer(std::move(version));
}

void RulesState::RebuildSnapshot(std::span<const MemberRecord> members) {
  VersionStamp stamp;
  std::shared_ptr<const RulesDocument> current;
  {
    const std::lock_guard guard(this->version_mutex);
    stamp = this->holder.GetStamp();
    current = this->document;
  }
  if (current == nullptr) {
    return;
  }
  std::shared_ptr<const RouteSnapshot> built =
      SnapshotBuilder::Build(stamp, std::move(current), members);
  const std::lock_guard guard(this->snapshot_mutex);
  // Another thread may have installed a newer snapshot in the meantime.
  const bool is_older =
      this->snapshot != nullptr && IsNewer(this->snapshot->GetVersion(), built->GetVersion());
  if (!is_older) {
    this->snapshot = std::move(built);
  }
}

std::shared_ptr<const RouteSnapshot> RulesState::GetSnapshot() const {
  const std::lock_guard guard(this->snapshot_mutex);
  return this->snapshot;
}

std::shared_ptr<const RulesVersion> RulesState::GetHeld() const {
  const std::lock_guard guard(this->version_mutex);
  return this->holder.GetHeld();
}

VersionStamp RulesState::GetStamp() const {
  const std::lock_guard guard(this->version_mutex);
  return this->holder.GetStamp();
}

std::shared_ptr<const RulesVersion> RulesState::FindVersion(const VersionStamp& stamp) const {
  const std::lock_guard guard(this->version_mutex);
  return this->holder.FindVersion(stamp);
}

std::optional<RulesDeltaScript> RulesState::MakeDelta(const VersionStamp& from) const {
  const std::shared_ptr<const RulesVersion> held = this->GetHeld();
  const std::shared_ptr<const RulesVersion> parent = this->FindVersion(from);
  if (held == nullptr || parent == nullptr || !IsNewer(held->stamp, parent->stamp)) {
    return std::nullopt;
  }
  RulesDeltaScript delta = RulesDelta::Compute(parent->text, held->text);
  delta.parent = parent->stamp;
  delta.result = held->stamp;
  delta.origin = {held->submission_id, held->operator_name, held->accepted_unix_ms};
  return delta;
}

FetchRulesReply RulesState::HandleFetchRequest(const FetchRulesRequest& request) const {
  FetchRulesReply reply;
  const std::shared_ptr<const RulesVersion> held = this->GetHeld();
  if (held == nullptr) {
    return reply;
  }
  reply.held = held->stamp;
  if (!IsNewer(held->stamp, request.have)) {
    return reply;
  }
  reply.delta = this->MakeDelta(request.have);
  if (!reply.delta.has_value()) {
    reply.whole = *held;
  }
  return reply;
}

}  // namespace lacewingbridge
