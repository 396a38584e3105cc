#include "Version/submit_process.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Core/digest.h"
#include "Version/head_records.h"
#include "Version/version_order.h"

namespace lacewingbridge {

namespace {

VersionStamp GetHeadStamp(const StoredHead& stored) {
  return stored.head ? stored.head->stamp : VersionStamp{};
}

// Returns the length in bytes of the UTF-8 sequence at the start of a non-empty text; 0 if it is
// malformed.
std::size_t GetUtf8SequenceLength(std::string_view text) {
  const auto byte = [&](std::size_t index) { return static_cast<unsigned char>(text[index]); };
  const unsigned lead = byte(0);
  if (lead < 0x80) {
    return 1;
  }
  const std::size_t length = lead >= 0xf0 ? 4 : (lead >= 0xe0 ? 3 : 2);
  if (lead < 0xc2 || lead > 0xf4 || text.size() < length) {
    return 0;
  }
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xc0U) != 0x80U) {
      return 0;
    }
  }
  // Rejects overlong forms, surrogates and values above U+10FFFF.
  const unsigned second = byte(1);
  const bool invalid = (lead == 0xe0 && second < 0xa0) || (lead == 0xed && second > 0x9f) ||
                       (lead == 0xf0 && second < 0x90) || (lead == 0xf4 && second > 0x8f);
  return invalid ? 0 : length;
}

// Text fields of the head must be UTF-8. A head that daemons cannot decode would block every later
// submission.
bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = GetUtf8SequenceLength(text);
    if (length == 0) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace

bool SubmitProcess::IsValidSubmissionId(std::string_view id) {
  const auto is_allowed = [](char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || letter == '.' || letter == '_' || letter == '-';
  };
  return !id.empty() && id.size() <= kMaxIdBytes && std::all_of(id.begin(), id.end(), is_allowed);
}

Result<SubmitProcess> SubmitProcess::Create(SubmitRequest request, SubmitSettings settings,
                                            TimePoint now) {
  if (!IsValidSubmissionId(request.submission_id)) {
    return Error{ErrorKind::kInvalidArgument,
                 "the submission id must have 1 to 64 letters, digits, '.', '_' or '-'"};
  }
  if (request.operator_name.size() > kMaxOperatorBytes || !IsUtf8(request.operator_name)) {
    return Error{ErrorKind::kInvalidArgument,
                 "the operator's name must be UTF-8 of at most 128 bytes"};
  }
  if (request.text.size() > kMaxTextBytes) {
    return Error{ErrorKind::kLimitExceeded,
                 "the rules text has " + std::to_string(request.text.size()) +
                     " bytes; the limit is " + std::to_string(kMaxTextBytes)};
  }
  return SubmitProcess(std::move(request), settings, now);
}

SubmitProcess::SubmitProcess(SubmitRequest initial_request, SubmitSettings settings, TimePoint now)
    : request(std::move(initial_request)),
      stamp{this->request.base.number + 1, ComputeDigest(this->request.text)},
      backoff(settings.first_wait, settings.longest_wait),
      deadline(now + settings.deadline),
      wait_until(now),
      may_be_accepted(this->request.resumed) {}

SubmitAction SubmitProcess::Handle(const SubmitEvent& event, TimePoint now,
                                   std::mt19937_64& random) {
  if (this->state == State::kFinished) {
    return SubmitFinished{this->outcome};
  }
  return std::visit([&](const auto& input) { return this->Apply(input, now, random); }, event);
}

SubmitAction SubmitProcess::Apply(const SubmitStarted&, TimePoint, std::mt19937_64&) {
  return this->state == State::kCreated ? this->ReadHead() : this->KeepWaiting();
}

SubmitAction SubmitProcess::Apply(const SubmitHeadRead& event, TimePoint now,
                                  std::mt19937_64& random) {
  if (this->state != State::kReading) {
    return this->KeepWaiting();
  }
  if (const auto accepted = this->FindAcceptedStamp(event.stored)) {
    return this->Finish(SubmitAccepted{*accepted});
  }
  if (!this->MatchesBase(event.stored)) {
    return this->HandleUnexpectedHead(event.stored, now, random);
  }
  this->base_head = event.stored;
  if (now >= this->deadline) {
    return this->GiveUp();
  }
  if (this->body_written) {
    return this->SwapHead();
  }
  this->state = State::kWritingBody;
  return SubmitWriteBody{this->stamp.digest};
}

SubmitAction SubmitProcess::Apply(const SubmitBodyWritten&, TimePoint, std::mt19937_64&) {
  if (this->state != State::kWritingBody) {
    return this->KeepWaiting();
  }
  this->body_written = true;
  return this->SwapHead();
}

SubmitAction SubmitProcess::Apply(const SubmitSwapReplied& event, TimePoint now,
                                  std::mt19937_64& random) {
  if (this->state != State::kSwapping) {
    return this->KeepWaiting();
  }
  if (event.succeeded) {
    return this->Finish(SubmitAccepted{this->stamp});
  }
  // An earlier attempt whose response was lost may have succeeded.
  if (const auto accepted = this->FindAcceptedStamp(event.stored)) {
    return this->Finish(SubmitAccepted{*accepted});
  }
  if (!this->MatchesBase(event.stored)) {
    return this->HandleUnexpectedHead(event.stored, now, random);
  }
  // The base was written again under a new revision, for example by a repair.
  return this->Wait(now, random);
}

SubmitAction SubmitProcess::Apply(const SubmitCallFailed& event, TimePoint now,
                                  std::mt19937_64& random) {
  if (this->state != State::kReading && this->state != State::kWritingBody &&
      this->state != State::kSwapping) {
    return this->KeepWaiting();
  }
  if (this->state == State::kSwapping && event.may_have_taken_effect) {
    this->may_be_accepted = true;
  }
  return this->Wait(now, random);
}

SubmitAction SubmitProcess::Apply(const SubmitTimePassed&, TimePoint now, std::mt19937_64&) {
  if (now >= this->deadline) {
    // A swap whose reply is not received can still take effect.
    this->may_be_accepted = this->may_be_accepted || this->state == State::kSwapping;
    return this->GiveUp();
  }
  if (this->state != State::kWaiting || now < this->wait_until) {
    return this->KeepWaiting();
  }
  return this->ReadHead();
}

SubmitAction SubmitProcess::ReadHead() {
  this->state = State::kReading;
  return SubmitReadHead{};
}

SubmitAction SubmitProcess::SwapHead() {
  this->state = State::kSwapping;
  return SubmitSwapHead{this->BuildHead(), this->base_head.revision};
}

SubmitAction SubmitProcess::Wait(TimePoint now, std::mt19937_64& random) {
  const TimePoint next = now + this->backoff.GetNext(random);
  if (next >= this->deadline) {
    return this->GiveUp();
  }
  this->state = State::kWaiting;
  this->wait_until = next;
  return SubmitWaitUntil{next};
}

SubmitAction SubmitProcess::KeepWaiting() const {
  return SubmitWaitUntil{this->state == State::kWaiting ? this->wait_until : this->deadline};
}

SubmitAction SubmitProcess::Finish(SubmitOutcome final_outcome) {
  this->state = State::kFinished;
  this->outcome = std::move(final_outcome);
  return SubmitFinished{this->outcome};
}

SubmitAction SubmitProcess::GiveUp() {
  if (this->may_be_accepted) {
    return this->Finish(SubmitOutcomeUnknown{});
  }
  return this->Finish(SubmitStoreUnavailable{});
}

bool SubmitProcess::MatchesBase(const StoredHead& stored) const {
  const VersionStamp head = GetHeadStamp(stored);
  const VersionStamp& base = this->request.base;
  return head.number == base.number &&
         (IsNoVersion(base) || base.digest.empty() || head.digest == base.digest);
}

SubmitAction SubmitProcess::HandleUnexpectedHead(const StoredHead& stored, TimePoint now,
                                                 std::mt19937_64& random) {
  if (!this->may_be_accepted) {
    return this->Finish(SubmitConflict{stored.head});
  }
  if (GetHeadStamp(stored).number < this->stamp.number) {
    // The store has lost state. A daemon that holds this submission may write it back.
    return this->Wait(now, random);
  }
  // The records show another submission under this number.
  if (FindSubmissionByNumber(stored.head->recent_submissions, this->stamp.number) != nullptr) {
    return this->Finish(SubmitConflict{stored.head});
  }
  // More versions have been accepted since then than the head keeps records of.
  return this->Finish(SubmitOutcomeUnknown{});
}

std::optional<VersionStamp> SubmitProcess::FindAcceptedStamp(const StoredHead& stored) const {
  if (!stored.head) {
    return std::nullopt;
  }
  const RulesHead& head = *stored.head;
  if (head.submission_id == this->request.submission_id) {
    return head.stamp;
  }
  const SubmissionRecord* record =
      FindSubmission(head.recent_submissions, this->request.submission_id);
  if (record == nullptr) {
    return std::nullopt;
  }
  if (record->number == head.parent.number) {
    return head.parent;
  }
  return VersionStamp{record->number, {}};
}

RulesHead SubmitProcess::BuildHead() const {
  RulesHead head;
  head.stamp = this->stamp;
  head.parent = GetHeadStamp(this->base_head);
  head.submission_id = this->request.submission_id;
  head.operator_name = this->request.operator_name;
  head.accepted_unix_ms = this->request.accepted_unix_ms;
  const auto& delta = this->request.delta;
  if (delta && this->request.delta_encoded_bytes <= kMaxDeltaBytes &&
      delta->parent == head.parent && delta->result == head.stamp) {
    head.delta = delta;
  }
  const std::vector<SubmissionRecord> own = {{head.submission_id, head.stamp.number}};
  const std::vector<SubmissionRecord> earlier = this->base_head.head
                                                    ? this->base_head.head->recent_submissions
                                                    : std::vector<SubmissionRecord>{};
  head.recent_submissions = MergeRecords(own, earlier, head.stamp.number);
  return head;
}

}  // namespace lacewingbridge
