// Guards against tables that depend on the order of the received records, dead members that
// old records bring back, lost refutations, and tables or queues that grow without a limit.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "Membership/gossip_packer.h"
#include "Membership/member_table.h"
#include "membership_codec.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

const TimePoint kStart{};

MemberRecord MakeRecord(std::string host, std::uint64_t incarnation, std::uint64_t sequence,
                        MemberState state) {
  MemberRecord record;
  record.host = std::move(host);
  record.region = "carolinas";
  record.data_centre = "raleigh";
  record.control_address = "10.0.0.1:7400";
  record.incarnation = incarnation;
  record.sequence = sequence;
  record.state = state;
  return record;
}

MemberTable MakeTable(MemberTableOptions options = {}) {
  return GetValue(MemberTable::Create(MakeRecord("self", 5, 0, MemberState::kAlive), options));
}

std::vector<MemberRecord> GenerateRecords() {
  const auto codes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4 * 2 * 3 * 4));
  std::vector<MemberRecord> records;
  for (const int code : codes) {
    records.push_back(MakeRecord("host-" + std::to_string(code % 4), 1 + code / 4 % 2, code / 8 % 3,
                                 static_cast<MemberState>(1 + code / 24)));
  }
  return records;
}

}  // namespace

Test(membership_table, order_of_records_does_not_matter) {
  cr_assert(rc::check([] {
    std::vector<MemberRecord> records = GenerateRecords();
    MemberTable first = MakeTable();
    for (const MemberRecord& record : records) {
      first.Merge(record, kStart);
    }
    MemberTable second = MakeTable();
    std::reverse(records.begin(), records.end());
    for (int repeat = 0; repeat < 2; ++repeat) {
      for (const MemberRecord& record : records) {
        second.Merge(record, kStart);
      }
    }
    for (const MemberRecord& record : records) {
      RC_ASSERT(*first.Find(record.host) == *second.Find(record.host));
    }
    RC_ASSERT(first.GetDigests(true) == second.GetDigests(true));
  }));
}

Test(membership_table, refutes_records_about_itself) {
  cr_assert(rc::check([] {
    MemberTable table = MakeTable();
    const auto sequence = *rc::gen::inRange<std::uint64_t>(0, 100);
    const auto state = static_cast<MemberState>(*rc::gen::inRange(1, 5));
    table.Merge(MakeRecord("self", 5, sequence, state), kStart);
    RC_ASSERT(table.GetSelf().state == MemberState::kAlive);
    RC_ASSERT(table.GetSelf().sequence >= sequence);
    const bool refutes = sequence > 0 || state != MemberState::kAlive;
    RC_ASSERT(!refutes || table.GetSelf().sequence > sequence);
  }));
  MemberTable table = MakeTable();
  cr_assert(table.Merge(MakeRecord("self", 4, 9, MemberState::kDead), kStart) ==
            MemberMerge::kUnchanged);
  cr_assert(table.Merge(MakeRecord("self", 6, 0, MemberState::kAlive), kStart) ==
            MemberMerge::kSelfSuperseded);
  cr_assert_eq(table.GetSelf().incarnation, 5U);
  table.RestartAbove(6);
  cr_assert_eq(table.GetSelf().incarnation, 7U);
}

Test(membership_table, old_record_does_not_revive_a_dead_member) {
  MemberTable table = MakeTable();
  const MemberRecord alive = MakeRecord("host-1", 1, 3, MemberState::kAlive);
  table.Merge(alive, kStart);
  cr_assert(table.MarkDead("host-1", kStart));
  table.Expire(kStart + std::chrono::minutes(9));
  cr_assert(table.Merge(alive, kStart) == MemberMerge::kUnchanged);
  cr_assert(table.ListHosts("raleigh") == std::vector<std::string>{"self"});
  cr_assert(table.Merge(MakeRecord("host-1", 2, 0, MemberState::kAlive), kStart) ==
            MemberMerge::kJoined);
  cr_assert(table.MarkDead("host-1", kStart));
  table.Expire(kStart + std::chrono::minutes(10));
  cr_assert_null(table.Find("host-1"));
}

Test(membership_table, size_is_bounded) {
  MemberTable table = MakeTable({.max_records = 10});
  for (int i = 0; i < 9; ++i) {
    table.Merge(MakeRecord("host-" + std::to_string(i), 1, 0, MemberState::kAlive), kStart);
  }
  const MemberRecord extra = MakeRecord("extra", 1, 0, MemberState::kAlive);
  cr_assert(table.Merge(extra, kStart) == MemberMerge::kRejected);
  table.MarkDead("host-4", kStart);
  cr_assert(table.Merge(extra, kStart) == MemberMerge::kJoined,
            "a dead record is evicted for a new one");
  cr_assert_null(table.Find("host-4"));
  cr_assert_eq(table.GetRecordCount(), 10U);
}

Test(membership_table, transmissions_are_bounded) {
  MemberTable table = MakeTable();
  const auto get_size = [](const GossipDatagram& datagram) { return Encode(datagram).size(); };
  for (int i = 0; i < 224; ++i) {
    table.MergeListed(MakeRecord("host-" + std::to_string(i), 1, 0, MemberState::kAlive), kStart);
  }
  table.Merge(MakeRecord("host-7", 1, 1, MemberState::kAlive), kStart);
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    GossipDatagram datagram;
    PackMemberUpdates(table, datagram, get_size);
    sent += static_cast<int>(datagram.members.size());
  }
  // Two records, that of this daemon and that of host-7, are sent 3 ln 226 times each.
  cr_assert_eq(sent, 2 * static_cast<int>(std::ceil(3.0 * std::log(226.0))));
  cr_assert_eq(table.GetQueuedCount(), 0U);
}

Test(membership_table, load_alone_is_not_announced) {
  MemberTable table = MakeTable();
  TargetRecord target{"orders", "10.0.0.1:8080", 9, false, 100};
  table.SetOwnTargets({&target, 1});
  const std::uint64_t sequence = table.GetSelf().sequence;
  target.reported_load_permille = 900;
  table.SetOwnTargets({&target, 1});
  cr_assert_eq(table.GetSelf().sequence, sequence);
  target.draining = true;
  table.SetOwnTargets({&target, 1});
  cr_assert_eq(table.GetSelf().sequence, sequence + 1);
}

Test(membership_table, differing_buckets_contain_the_differing_records) {
  MemberTable first = MakeTable();
  MemberTable second = MakeTable();
  for (int i = 0; i < 100; ++i) {
    const MemberRecord record = MakeRecord("host-" + std::to_string(i), 1, 0, MemberState::kAlive);
    first.Merge(record, kStart);
    second.Merge(record, kStart);
  }
  first.MarkSuspect("host-1");
  cr_assert(first.GetDigests(true) == second.GetDigests(true),
            "a suspicion does not change the digest");
  first.Merge(MakeRecord("host-50", 1, 1, MemberState::kDraining), kStart);
  const std::vector<MemberRecord> records = first.ListDiffering(second.GetDigests(true));
  cr_assert(std::ranges::find(records, "host-50", &MemberRecord::host) != records.end());
  cr_assert_lt(records.size(), 25U);
  for (const MemberRecord& record : records) {
    second.Merge(record, kStart);
  }
  cr_assert(first.GetDigests(true) == second.GetDigests(true));
}
