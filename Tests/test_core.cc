// Guards against hashes and digests that differ between machines or releases, and
// against shards that share a lock or lose updates.
#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "Core/digest.h"
#include "Core/error.h"
#include "Core/hash.h"
#include "Core/sharded.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

constexpr std::uint64_t kExpectedHash = 0xd93b356097a5d800ULL;

Test(core_hash, has_the_same_value_on_every_machine) {
  cr_assert_eq(HashBytes("lacewingbridge"), kExpectedHash);
  cr_assert_neq(HashBytes("a"), HashBytes("b"));
}

Test(core_hash, removing_a_name_keeps_the_order_of_the_others) {
  const std::vector<std::string> all = {"host-1", "host-2", "host-3", "host-4"};
  const std::vector<std::string> fewer = {"host-1", "host-2", "host-4"};
  for (int key = 0; key < 200; ++key) {
    std::vector<std::string> expected;
    for (std::size_t index : RankByHash(std::to_string(key), all)) {
      if (all[index] != "host-3") {
        expected.push_back(all[index]);
      }
    }
    std::vector<std::string> actual;
    for (std::size_t index : RankByHash(std::to_string(key), fewer)) {
      actual.push_back(fewer[index]);
    }
    cr_assert(expected == actual);
    cr_assert_eq(RankByHash(std::to_string(key), all)[0], SelectByHash(std::to_string(key), all));
  }
}

Test(core_digest, is_the_head_of_sha256) {
  cr_assert(FormatHex(ComputeDigest("abc")) == "ba7816bf8f01cfea414140de5dae2223");
}

Test(core_error, message_names_the_remedy) {
  const Error error{ErrorKind::kNotFound, "route \"x\""};
  cr_assert(error.GetMessage().find("route \"x\"") != std::string::npos);
  cr_assert(error.GetMessage().find("Remedy: ") != std::string::npos);
}

Test(core_sharded, loses_no_update_of_concurrent_threads) {
  Sharded<int> sharded(4, [] { return 0; });
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&sharded] {
      for (std::uint64_t key = 0; key < 1000; ++key) {
        sharded.WithShard(key, [](int& count) { ++count; });
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  int total = 0;
  sharded.ForEachShard([&total](int& count) { total += count; });
  cr_assert_eq(total, 4000);
}
