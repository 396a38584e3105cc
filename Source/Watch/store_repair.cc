#include "Watch/store_repair.h"

#include <compare>
#include <utility>
#include <vector>

#include "Version/head_records.h"
#include "Version/version_order.h"

namespace lacewingbridge {

namespace {

VersionStamp GetHeadStamp(const std::optional<RulesHead>& head) {
  return head ? head->stamp : VersionStamp{};
}

}  // namespace

StoreRepair::StoreRepair(Duration first_wait, Duration longest_wait)
    : backoff(first_wait, longest_wait) {}

RepairAction StoreRepair::Handle(const RepairEvent& event,
                                 const std::shared_ptr<const RulesVersion>& held, TimePoint now,
                                 std::mt19937_64& random) {
  return std::visit([&](const auto& input) { return this->Apply(input, held, now, random); },
                    event);
}

RepairAction StoreRepair::Apply(const RepairHeadRead& event,
                                const std::shared_ptr<const RulesVersion>& held, TimePoint,
                                std::mt19937_64&) {
  const bool outstanding = this->state == State::kWritingBody ||
                           this->state == State::kRecordingDisplaced ||
                           this->state == State::kSwapping;
  if (outstanding) {
    return RepairNothing{};
  }
  return this->Compare(event.stored, held);
}

RepairAction StoreRepair::Apply(const RepairKeyWritten&, const std::shared_ptr<const RulesVersion>&,
                                TimePoint, std::mt19937_64&) {
  if (this->state == State::kWritingBody) {
    this->body = nullptr;
    return this->Continue();
  }
  if (this->state == State::kRecordingDisplaced) {
    this->last_recorded = this->displaced->stamp;
    this->displaced.reset();
    return this->Continue();
  }
  return RepairNothing{};
}

RepairAction StoreRepair::Apply(const RepairSwapReplied& event,
                                const std::shared_ptr<const RulesVersion>& held, TimePoint now,
                                std::mt19937_64& random) {
  if (this->state != State::kSwapping) {
    return RepairNothing{};
  }
  if (!event.succeeded && event.stored.revision == this->stored.revision) {
    // The store refused the revision that it reports. Waiting avoids a tight loop of calls.
    return this->Wait(now, random);
  }
  return this->Compare(event.stored, held);
}

RepairAction StoreRepair::Apply(const RepairCallFailed&, const std::shared_ptr<const RulesVersion>&,
                                TimePoint now, std::mt19937_64& random) {
  const bool outstanding = this->state != State::kIdle && this->state != State::kWaiting;
  return outstanding ? this->Wait(now, random) : RepairNothing{};
}

RepairAction StoreRepair::Apply(const RepairTimePassed&, const std::shared_ptr<const RulesVersion>&,
                                TimePoint now, std::mt19937_64&) {
  if (this->state != State::kWaiting) {
    return RepairNothing{};
  }
  if (now < this->wait_until) {
    return RepairWaitUntil{this->wait_until};
  }
  this->state = State::kReading;
  return RepairReadHead{};
}

RepairAction StoreRepair::Compare(const StoredHead& read_head,
                                  const std::shared_ptr<const RulesVersion>& held) {
  this->backoff.Reset();
  this->stored = read_head;
  const std::optional<RulesHead>& head = this->stored.head;
  const VersionStamp head_stamp = GetHeadStamp(head);
  const VersionStamp held_stamp = held ? held->stamp : VersionStamp{};
  if (IsNewer(head_stamp, GetHeadStamp(this->newest_seen))) {
    this->newest_seen = head;
  }
  this->body = nullptr;
  this->displaced.reset();
  this->write_back.reset();
  this->fetch = false;
  const std::strong_ordering order = CompareVersions(held_stamp, head_stamp);
  if (std::is_gt(order)) {
    this->body = held;
    this->write_back = this->BuildHead(*held);
    if (head && IsFork(*head, *this->write_back)) {
      this->displaced = head;
    }
  } else if (std::is_lt(order)) {
    this->fetch = true;
    if (held && !(this->last_recorded == held_stamp)) {
      RulesHead held_head = this->BuildHead(*held);
      if (IsFork(held_head, *head)) {
        this->body = held;
        this->displaced = std::move(held_head);
      }
    }
  }
  return this->Continue();
}

RepairAction StoreRepair::Continue() {
  if (this->body) {
    this->state = State::kWritingBody;
    return RepairWriteBody{this->body};
  }
  if (this->displaced) {
    this->state = State::kRecordingDisplaced;
    return RepairRecordDisplaced{*this->displaced};
  }
  if (this->write_back) {
    this->state = State::kSwapping;
    return RepairSwapHead{*this->write_back, this->stored.revision};
  }
  this->state = State::kIdle;
  if (this->fetch) {
    return RepairFetch{*this->stored.head};
  }
  return RepairNothing{};
}

RepairAction StoreRepair::Wait(TimePoint now, std::mt19937_64& random) {
  this->state = State::kWaiting;
  this->wait_until = now + this->backoff.GetNext(random);
  return RepairWaitUntil{this->wait_until};
}

bool StoreRepair::IsFork(const RulesHead& older, const RulesHead& newer) {
  if (newer.stamp.number == older.stamp.number) {
    return newer.stamp != older.stamp;
  }
  if (newer.parent.number == older.stamp.number) {
    return newer.parent != older.stamp;
  }
  const SubmissionRecord* record =
      FindSubmissionByNumber(newer.recent_submissions, older.stamp.number);
  return record != nullptr && record->submission_id != older.submission_id;
}

RulesHead StoreRepair::BuildHead(const RulesVersion& version) const {
  RulesHead head;
  head.stamp = version.stamp;
  head.parent = version.parent;
  head.submission_id = version.submission_id;
  head.operator_name = version.operator_name;
  head.accepted_unix_ms = version.accepted_unix_ms;
  head.recent_submissions = {{version.submission_id, version.stamp.number}};
  const auto add_records = [&](const RulesHead& source, std::uint64_t max_number) {
    head.recent_submissions =
        MergeRecords(head.recent_submissions, source.recent_submissions, max_number);
  };
  const auto& seen = this->newest_seen;
  if (seen && (seen->stamp == version.stamp || seen->stamp == version.parent)) {
    add_records(*seen, version.stamp.number);
  }
  if (this->stored.head && this->stored.head->stamp.number <= version.stamp.number) {
    // On a fork, the record of the displaced head does not belong to this sequence of versions.
    const RulesHead& source = *this->stored.head;
    const bool fork = IsFork(source, head);
    RulesHead kept = source;
    std::erase_if(kept.recent_submissions, [&](const SubmissionRecord& record) {
      return fork && record.number >= source.stamp.number;
    });
    add_records(kept, version.stamp.number);
  }
  return head;
}

}  // namespace lacewingbridge
