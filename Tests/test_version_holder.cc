// Guards against a holder that returns to an older version, accepts a corrupted text or grows
// without bound, and against an order of versions that is not total.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

#include "Core/digest.h"
#include "Version/head_records.h"
#include "Version/version_holder.h"
#include "Version/version_order.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

static RulesVersion MakeVersion(std::uint64_t number, const std::string& text) {
  RulesVersion version;
  version.stamp = {number, ComputeDigest(text)};
  version.text = text;
  return version;
}

Test(version_order, is_total_and_ignores_the_digest_of_no_version) {
  cr_assert(rc::check([] {
    const auto make = [] {
      return VersionStamp{*rc::gen::inRange<std::uint64_t>(0, 3),
                          std::string(1, *rc::gen::arbitrary<char>())};
    };
    const VersionStamp a = make();
    const VersionStamp b = make();
    const VersionStamp c = make();
    RC_ASSERT(IsNewer(a, b) + IsNewer(b, a) + std::is_eq(CompareVersions(a, b)) == 1);
    RC_ASSERT(!(IsNewer(a, b) && IsNewer(b, c)) || IsNewer(a, c));
  }));
  cr_assert(std::is_eq(CompareVersions({0, "a"}, {0, "b"})));
}

Test(version_holder, never_goes_back_under_reordering_duplicates_and_corruption) {
  cr_assert(rc::check([] {
    VersionHolder holder({.max_versions = 3, .max_text_bytes = 40});
    const auto offers = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 4)));
    for (const auto& [number, variant] : offers) {
      RulesVersion version = MakeVersion(static_cast<std::uint64_t>(number),
                                         "text " + std::to_string(number + variant % 2));
      const bool corrupted = variant == 3;
      if (corrupted) {
        version.text += "?";
      }
      const VersionStamp before = holder.GetStamp();
      const OfferOutcome outcome = holder.Offer(version);
      const bool newer = IsNewer(version.stamp, before);
      RC_ASSERT((outcome == OfferOutcome::kApplied) == (newer && !corrupted));
      RC_ASSERT((outcome == OfferOutcome::kDigestMismatch) == (newer && corrupted));
      RC_ASSERT(holder.GetStamp() == (newer && !corrupted ? version.stamp : before));
    }
    if (const auto held = holder.GetHeld()) {
      RC_ASSERT(ComputeDigest(held->text) == held->stamp.digest);
      RC_ASSERT(holder.FindVersion(held->stamp) == held);
    }
  }));
}

Test(version_holder, keeps_a_bounded_number_of_versions_and_bytes) {
  VersionHolder holder({.max_versions = 3, .max_text_bytes = 10});
  std::vector<VersionStamp> stamps;
  for (std::uint64_t number = 1; number <= 4; ++number) {
    const RulesVersion version = MakeVersion(number, std::string(2, 'a'));
    stamps.push_back(version.stamp);
    cr_assert(holder.Offer(version) == OfferOutcome::kApplied);
  }
  cr_assert(holder.FindVersion(stamps[0]) == nullptr, "more than 3 versions kept");
  cr_assert(holder.FindVersion(stamps[1]) != nullptr);
  cr_assert(holder.Offer(MakeVersion(5, std::string(20, 'b'))) == OfferOutcome::kApplied);
  cr_assert(holder.FindVersion(stamps[3]) == nullptr, "more than 10 bytes kept");
  cr_assert(holder.GetHeld()->text.size() == 20, "the version in force was removed");
}

Test(version_records, keep_the_newest_and_prefer_the_first_list) {
  std::vector<SubmissionRecord> records;
  for (std::uint64_t number = 1; number <= 40; ++number) {
    records.push_back({"id" + std::to_string(number), number});
  }
  const std::vector<SubmissionRecord> own = {{"own", 39}};
  const auto merged = MergeRecords(own, records, 39);
  cr_assert_eq(merged.size(), kMaxSubmissionRecords);
  cr_assert(merged.back() == own.front());
  cr_assert(merged.front().number == 8);
}
