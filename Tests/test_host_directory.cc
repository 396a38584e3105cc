// Guards against a directory that drops live hosts during an outage of the store, and against
// one that keeps dead hosts.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "Membership/host_directory.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

namespace {

HostRecord MakeRecord(const std::string& host, std::uint64_t revision) {
  HostRecord record;
  record.host = host;
  record.peer_address = host + ":1";
  record.revision = revision;
  return record;
}

TimePoint At(int second) { return TimePoint(seconds(second)); }

}  // namespace

Test(host_directory, keeps_a_host_whose_lease_expired_for_the_removal_delay) {
  HostDirectory directory;
  directory.Merge(MakeRecord("a", 1));
  directory.Merge(MakeRecord("b", 2));
  directory.Remove(At(10), "a");
  cr_assert(!directory.DropRemoved(At(12)));
  directory.Merge(MakeRecord("a", 7));
  cr_assert(!directory.DropRemoved(At(20)));
  directory.Remove(At(20), "b");
  cr_assert(directory.DropRemoved(At(23)));
  cr_assert_eq(directory.GetHosts().size(), 1);
}

Test(host_directory, keeps_a_host_that_responds_although_the_store_does_not_list_it) {
  HostDirectory directory;
  directory.Merge(MakeRecord("a", 1));
  directory.ReplaceAll(At(10), {});
  directory.RecordResponse(At(12), "a:1");
  cr_assert(!directory.DropRemoved(At(14)));
  cr_assert(directory.DropRemoved(At(15)));
}

Test(host_directory, rejects_an_older_record_unless_the_host_was_removed) {
  HostDirectory directory;
  directory.Merge(MakeRecord("a", 5));
  cr_assert(!directory.Merge(MakeRecord("a", 4)));
  directory.Remove(At(1), "a");
  // A store that was restored from a backup continues from an earlier revision.
  cr_assert(directory.Merge(MakeRecord("a", 2)));
  cr_assert_eq(directory.GetHosts()[0].revision, 2);
}

Test(host_directory, takes_records_of_a_new_era_whatever_their_revision) {
  HostDirectory directory;
  directory.Merge(MakeRecord("a", 5));
  HostRecord restored = MakeRecord("a", 2);
  restored.store_era = 1;
  cr_assert(directory.Merge(restored));
  cr_assert(!directory.Merge(MakeRecord("a", 6)));
  cr_assert_eq(directory.GetNewestPosition().era, 1);
  cr_assert_eq(directory.GetNewestPosition().revision, 2);
}
