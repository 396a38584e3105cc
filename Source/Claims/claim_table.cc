#include "Claims/claim_table.h"

#include <algorithm>
#include <iterator>

#include "Claims/claim_key_time.h"

namespace lacewingbridge {

namespace {

// Heap size of an entry without the content of its strings: map node, node of by_age and the
// struct itself. 20,000 keys with 500-byte responses took 992 bytes of heap each, of which
// 398 were not content of strings.
constexpr std::size_t kEntryOverheadBytes = 400;
// Cancelled attempts are kept so that claim calls that arrive late are refused. A claim call
// lasts seconds, so this capacity covers about 100 cancellations per second and shard.
constexpr std::size_t kCancelledCapacity = 1024;

std::size_t CountBytes(const ClaimRecord& record) {
  // The key is stored twice: as the key of the map and in the record.
  return kEntryOverheadBytes + 2 * record.key.size() + record.answer.size() +
         record.content_type.size() + record.caller_host.size() + record.workspace.size();
}

bool HasValidLengths(const ClaimRecord& record) {
  return !record.key.empty() && record.key.size() <= kMaxClaimNameBytes &&
         record.caller_host.size() <= kMaxClaimNameBytes &&
         record.content_type.size() <= kMaxClaimNameBytes &&
         record.workspace.size() <= kMaxClaimNameBytes &&
         record.answer.size() <= kMaxStoredResponseBytes;
}

// A new version may add a workspace to a request that has already run, or remove it. A request
// without a workspace therefore counts as one of any workspace.
bool IsSameWorkspace(std::string_view left, std::string_view right) {
  return left == right || left.empty() || right.empty();
}

void DropResponse(ClaimRecord& record) {
  record.answer.clear();
  record.answer_kept = false;
}

}  // namespace

Result<ClaimTable> ClaimTable::Create(std::string_view host, std::uint64_t incarnation,
                                      const ClaimLimits& limits, std::uint64_t started_unix_ms) {
  if (host.empty() || limits.key_capacity == 0 || limits.retention <= Duration::zero()) {
    return Error{ErrorKind::kInvalidArgument,
                 "a claim table needs a host name, a capacity and a retention above 0"};
  }
  return ClaimTable(host, incarnation, limits, started_unix_ms);
}

ClaimTable::ClaimTable(std::string_view own_host, std::uint64_t own_incarnation,
                       const ClaimLimits& table_limits, std::uint64_t own_start_unix_ms)
    : host(own_host),
      incarnation(own_incarnation),
      limits(table_limits),
      started_unix_ms(own_start_unix_ms),
      waits(own_host, table_limits.GetClaimLifetime()),
      cancelled_attempts(kCancelledCapacity) {}

bool ClaimTable::AdoptMap(TimePoint now, const ClaimOwnerView& next) {
  if (next.GetEpoch() <= this->view.GetEpoch()) {
    return false;
  }
  const ClaimOwnerView before = this->view;
  this->view = next;
  // An earlier process of this host may have owned keys after it was added to the map.
  const bool is_added_now = next.WasAddedWithIncarnation(this->host, this->incarnation);
  const bool is_next = next.GetEpoch() == before.GetEpoch() + 1;
  if (is_next) {
    this->waits.AddChange(now, before, next);
  }
  if (next.HasHost(this->host) && (!is_next || (!before.HasHost(this->host) && !is_added_now))) {
    // After a missed epoch, another host may still hold claims that it granted while this
    // process was running, so the start time of the process gives no bound.
    const bool is_start = is_next || before.GetEpoch() == 0;
    this->waits.BlockAll(now, next.GetEpoch(),
                         is_start ? this->FindNewKeyBound(next) : std::nullopt);
  }
  this->waits.OnMapAdopted(now, next);
  return true;
}

std::optional<std::uint64_t> ClaimTable::FindNewKeyBound(const ClaimOwnerView& next) const {
  if (this->started_unix_ms == 0 || next.GetCreationTime() == 0) {
    return std::nullopt;
  }
  const auto lifetime_ms =
      static_cast<std::uint64_t>(CountMilliseconds(this->limits.GetClaimLifetime()));
  return std::max(this->started_unix_ms, next.GetCreationTime() + lifetime_ms) +
         2 * static_cast<std::uint64_t>(kMaxClockSkew.count());
}

ClaimReply ClaimTable::Claim(TimePoint now, std::uint64_t unix_ms, const ClaimRequest& request) {
  this->Expire(now);
  ClaimReply reply;
  reply.owner_map_epoch = this->view.GetEpoch();
  reply.decision = ClaimDecision::kNotRun;
  if (request.owner_map_epoch != this->view.GetEpoch() || request.attempt_id == 0 ||
      this->view.FindOwner(request.key) != this->host ||
      this->cancelled_attempts.Contains(request.attempt_id)) {
    return reply;
  }
  const auto found = this->entries.find(request.key);
  if (found != this->entries.end()) {
    return this->ReplyFromEntry(request, found->second);
  }
  const std::optional<std::uint64_t> key_unix_ms = ClaimKeyTime::Read(request.key);
  if (ClaimKeyTime::IsAhead(key_unix_ms, unix_ms)) {
    reply.decision = ClaimDecision::kKeyAhead;
    return reply;
  }
  if (this->waits.IsBlocked(now, request.key, this->connected ? key_unix_ms : std::nullopt)) {
    reply.decision = ClaimDecision::kOutcomeUnknown;
    return reply;
  }
  return this->isolated ? reply : this->GrantNew(now, request);
}

ClaimReply ClaimTable::ReplyFromEntry(const ClaimRequest& request, const Entry& entry) const {
  ClaimReply reply;
  reply.owner_map_epoch = this->view.GetEpoch();
  if (entry.record.request_hash != request.request_hash ||
      !IsSameWorkspace(entry.record.workspace, request.workspace)) {
    reply.decision = ClaimDecision::kKeyReused;
  } else if (entry.record.state == ClaimState::kDone) {
    reply.decision = ClaimDecision::kAlreadyDone;
    reply.record = entry.record;
  } else if (entry.record.state == ClaimState::kRunning &&
             entry.record.attempt_id == request.attempt_id) {
    reply.decision = ClaimDecision::kGranted;
  } else {
    reply.decision = ClaimDecision::kOutcomeUnknown;
  }
  return reply;
}

ClaimReply ClaimTable::GrantNew(TimePoint now, const ClaimRequest& request) {
  ClaimReply reply;
  reply.owner_map_epoch = this->view.GetEpoch();
  reply.decision = ClaimDecision::kNotRun;
  ClaimRecord record;
  record.key = request.key;
  record.request_hash = request.request_hash;
  record.workspace = request.workspace;
  record.state = ClaimState::kRunning;
  record.attempt_id = request.attempt_id;
  record.caller_host = request.caller_host;
  record.caller_incarnation = request.caller_incarnation;
  if (HasValidLengths(record) && this->HasCapacityFor(record)) {
    this->Insert(now, std::move(record));
    reply.decision = ClaimDecision::kGranted;
  }
  return reply;
}

ClaimDoneReply ClaimTable::Finish(TimePoint now, const ClaimDoneRequest& request) {
  this->Expire(now);
  if (request.outcome == ClaimOutcome::kNotRun) {
    this->cancelled_attempts.Add(request.attempt_id);
  }
  const auto found = this->entries.find(request.key);
  if (this->view.FindOwner(request.key) != this->host || found == this->entries.end() ||
      found->second.record.attempt_id != request.attempt_id) {
    return ClaimDoneReply{false};
  }
  const ClaimState state = found->second.record.state;
  if (state == ClaimState::kDone) {
    // A retried report is confirmed. An attempt that has run cannot become not run.
    return ClaimDoneReply{request.outcome == ClaimOutcome::kDone};
  }
  switch (request.outcome) {
    case ClaimOutcome::kDone:
      this->RecordResponse(now, found, request);
      return ClaimDoneReply{true};
    case ClaimOutcome::kNotRun:
      this->Erase(found);
      return ClaimDoneReply{true};
    case ClaimOutcome::kLost:
      found->second.record.state = ClaimState::kOutcomeUnknown;
      return ClaimDoneReply{true};
    case ClaimOutcome::kUnknown:
      break;
  }
  return ClaimDoneReply{false};
}

void ClaimTable::RecordResponse(TimePoint now, EntryMap::iterator found,
                                const ClaimDoneRequest& request) {
  ClaimRecord record = found->second.record;
  record.state = ClaimState::kDone;
  record.status_code = request.status_code;
  if (request.answer.size() <= kMaxStoredResponseBytes &&
      request.content_type.size() <= kMaxClaimNameBytes &&
      this->byte_count + request.answer.size() + request.content_type.size() <=
          this->limits.byte_capacity) {
    record.answer = request.answer;
    record.content_type = request.content_type;
    record.answer_kept = true;
  }
  this->Replace(found, now, std::move(record));
}

std::size_t ClaimTable::MarkCallerGone(TimePoint now, std::string_view caller_host,
                                       std::uint64_t caller_incarnation) {
  this->Expire(now);
  std::size_t count = 0;
  for (auto& [key, entry] : this->entries) {
    ClaimRecord& record = entry.record;
    if (record.state == ClaimState::kRunning && record.caller_host == caller_host &&
        record.caller_incarnation <= caller_incarnation) {
      record.state = ClaimState::kOutcomeUnknown;
      ++count;
    }
  }
  return count;
}

ClaimTransferReply ClaimTable::AcceptTransfer(TimePoint now, const ClaimTransferRequest& request) {
  this->Expire(now);
  ClaimTransferReply reply;
  reply.owner_map_epoch = this->view.GetEpoch();
  const ClaimWait wait{request.from_host, request.change_epoch};
  const std::optional<std::uint32_t> expected = this->waits.GetNextPart(wait);
  this->waits.ConfirmEpoch(now, request.from_host, request.owner_map_epoch);
  if (!expected.has_value()) {
    const bool is_known = this->view.HasHost(request.from_host) || request.change_epoch == 0;
    // The table does not wait for this handover. Either the part is repeated, or this process
    // has restarted, lost its waits and replies "outcome unknown" for every key meanwhile.
    reply.accepted = is_known && request.change_epoch <= this->view.GetEpoch();
    return reply;
  }
  reply.next_part = *expected;
  reply.accepted = request.part < *expected;
  if (request.part != *expected || this->waits.IsComplete(wait)) {
    return reply;
  }
  for (const ClaimRecord& record : request.claims) {
    if (this->waits.IsFromOwner(wait, record.key) && !this->StoreRecord(now, record)) {
      return reply;
    }
  }
  this->waits.RecordPart(now, wait, request.complete);
  reply.accepted = true;
  ++reply.next_part;
  return reply;
}

void ClaimTable::ConfirmEpoch(TimePoint now, std::string_view from_host, std::uint64_t epoch) {
  this->waits.ConfirmEpoch(now, from_host, epoch);
}

std::vector<ClaimWait> ClaimTable::ListWaits(TimePoint now) {
  this->waits.Expire(now);
  return this->waits.ListWaits();
}

std::vector<ClaimRecord> ClaimTable::CollectClaims(TimePoint now, const ClaimOwnerView& after,
                                                   std::string_view to_host) {
  this->Expire(now);
  std::vector<ClaimRecord> records;
  for (const auto& [key, entry] : this->entries) {
    if (after.FindOwner(key) == to_host) {
      records.push_back(entry.record);
      records.back().age_ms = static_cast<std::uint64_t>(CountMilliseconds(now - entry.changed));
    }
  }
  return records;
}

bool ClaimTable::IsReadyToHandOver(TimePoint now, std::uint64_t change_epoch) {
  this->waits.Expire(now);
  return !this->waits.HasWaitBefore(change_epoch);
}

void ClaimTable::ForgetClaims(const ClaimOwnerView& after, std::string_view to_host) {
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    const auto current = entry++;
    if (after.FindOwner(current->first) == to_host &&
        this->view.FindOwner(current->first) != this->host) {
      this->Erase(current);
    }
  }
}

void ClaimTable::Expire(TimePoint now) {
  this->waits.Expire(now);
  while (!this->by_age.empty() &&
         this->by_age.begin()->first + this->limits.GetClaimLifetime() <= now) {
    const auto found = this->entries.find(std::string(this->by_age.begin()->second));
    if (found->second.record.state == ClaimState::kRunning) {
      // The attempt may still be running although no report arrived for the whole claim
      // lifetime. Its key stays blocked for another lifetime.
      ClaimRecord record = found->second.record;
      record.state = ClaimState::kOutcomeUnknown;
      this->Replace(found, now, std::move(record));
    } else {
      this->Erase(found);
    }
  }
}

bool ClaimTable::HasCapacityFor(const ClaimRecord& record) const {
  return this->entries.size() < this->limits.key_capacity &&
         this->byte_count + CountBytes(record) <= this->limits.byte_capacity;
}

bool ClaimTable::StoreRecord(TimePoint now, const ClaimRecord& received) {
  const auto found = this->entries.find(received.key);
  const bool is_held = found != this->entries.end();
  if (!HasValidLengths(received) || (is_held && found->second.record.state == ClaimState::kDone) ||
      (received.state == ClaimState::kRunning &&
       this->cancelled_attempts.Contains(received.attempt_id))) {
    return true;
  }
  ClaimRecord record = received;
  const auto lifetime_ms =
      static_cast<std::uint64_t>(CountMilliseconds(this->limits.GetClaimLifetime()));
  const TimePoint changed = now - std::chrono::milliseconds(std::min(record.age_ms, lifetime_ms));
  record.age_ms = 0;
  if (is_held) {
    this->Erase(found);
  }
  if (!this->HasCapacityFor(record)) {
    DropResponse(record);
  }
  if (!this->HasCapacityFor(record)) {
    return false;
  }
  this->Insert(changed, std::move(record));
  return true;
}

void ClaimTable::Insert(TimePoint changed, ClaimRecord record) {
  this->byte_count += CountBytes(record);
  std::string key = record.key;
  const auto inserted =
      this->entries.emplace(std::move(key), Entry{std::move(record), changed}).first;
  this->by_age.emplace(changed, inserted->first);
}

void ClaimTable::Replace(EntryMap::iterator found, TimePoint changed, ClaimRecord record) {
  this->Erase(found);
  this->Insert(changed, std::move(record));
}

void ClaimTable::Erase(EntryMap::iterator found) {
  this->byte_count -= CountBytes(found->second.record);
  const std::pair<TimePoint, std::string_view> age(found->second.changed, found->first);
  this->by_age.erase(age);
  this->entries.erase(found);
}

}  // namespace lacewingbridge
