// Guards against a stand-in for the store that hides faults because it guarantees other things
// than the store: two swaps from one revision that both succeed, leases that do not expire,
// watches that miss a change.
#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>

#include "store_table.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint32_t kLongMs = 60000;

StoreSwapReply Swap(StoreTable& table, const std::string& key, const std::string& value,
                    std::uint64_t revision, std::uint64_t lease = 0) {
  const auto reply = table.Swap({key, value, revision, lease});
  cr_assert(reply.has_value());
  return *reply;
}

}  // namespace

Test(store_table, only_one_of_two_swaps_from_one_revision_succeeds) {
  StoreTable table;
  const StoreSwapReply first = Swap(table, "key", "a", 0);
  cr_assert(first.succeeded);
  const StoreSwapReply second = Swap(table, "key", "b", 0);
  cr_assert_not(second.succeeded);
  cr_assert_eq(second.entry.value, "a");
  cr_assert_eq(second.entry.revision, first.entry.revision);
  cr_assert(Swap(table, "key", "c", first.entry.revision).succeeded);
  cr_assert_eq(table.Get({"key"}).entry.value, "c");
  cr_assert_eq(table.Get({"other"}).entry.revision, 0U);
}

Test(store_table, a_lost_response_does_not_undo_the_swap) {
  StoreTable table;
  StoreFaults faults;
  faults.lose_swap_answers = 1;
  table.SetFaults(faults);
  cr_assert_not(table.Swap({"key", "a", 0, 0}).has_value());
  cr_assert_eq(table.Get({"key"}).entry.value, "a");
  cr_assert_eq(table.GetFaults().lose_swap_answers, 0U);
}

Test(store_table, an_expired_lease_deletes_its_keys) {
  StoreTable table;
  const std::uint64_t lease = table.Lease({0, 50}).lease_id;
  cr_assert(Swap(table, "watcher", "host-1", 0, lease).succeeded);
  const std::uint64_t revision = table.Get({"watcher"}).entry.revision;
  // The watch ends with the lease, long before its own limit.
  cr_assert_eq(table.Watch({"watcher", revision, kLongMs}).entry.revision, 0U);
  cr_assert_not(table.Lease({lease, 50}).granted);
  cr_assert_not(Swap(table, "watcher", "host-1", 0, lease).succeeded);
}

Test(store_table, a_renewed_lease_keeps_its_keys) {
  StoreTable table;
  const std::uint64_t lease = table.Lease({0, kLongMs}).lease_id;
  cr_assert(Swap(table, "watcher", "host-1", 0, lease).succeeded);
  cr_assert(table.Lease({lease, kLongMs}).granted);
  cr_assert_eq(table.Get({"watcher"}).entry.value, "host-1");
}

Test(store_table, a_watch_returns_the_change_it_waits_for) {
  StoreTable table;
  std::thread writer([&table] {
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    Swap(table, "other", "x", 0);
    Swap(table, "key", "a", 0);
  });
  cr_assert_eq(table.Watch({"key", 0, kLongMs}).entry.value, "a");
  writer.join();
  // A watch also returns a change that was made before it began.
  cr_assert_eq(table.Watch({"key", 0, kLongMs}).entry.value, "a");
}

Test(store_table, a_restored_checkpoint_is_seen_by_watches) {
  StoreTable table;
  const std::uint64_t old_revision = Swap(table, "key", "a", 0).entry.revision;
  table.SaveCheckpoint();
  const std::uint64_t revision = Swap(table, "key", "b", old_revision).entry.revision;
  table.RestoreCheckpoint();
  cr_assert_eq(table.Watch({"key", revision, kLongMs}).entry.value, "a");
  // Revisions are never reused, so a swap with a revision from before the loss cannot succeed
  // by accident.
  cr_assert_gt(Swap(table, "key", "c", old_revision).entry.revision, revision);
}

Test(store_table, calls_are_counted) {
  StoreTable table;
  table.Get({"key"});
  Swap(table, "key", "a", 0);
  table.Lease({0, kLongMs});
  table.Watch({"key", 0, kLongMs});
  cr_assert(table.GetCounts() == (StoreCallCounts{1, 1, 1, 1}));
}
