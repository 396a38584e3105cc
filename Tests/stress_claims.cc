// Guards against ClaimShards granting a key to two threads, and against data races between
// claims, the collection of claims for a handover, and callers that are marked as gone.
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "Claims/claim_shards.h"

using lacewingbridge::ClaimDecision;
using lacewingbridge::ClaimOwnerView;
using lacewingbridge::ClaimShards;
using lacewingbridge::TimePoint;

namespace {

constexpr std::uint64_t kThreads = 4;
constexpr std::uint64_t kKeys = 5000;

ClaimOwnerView MakeView(std::uint64_t epoch) {
  ClaimOwnerView view;
  view.Adopt({epoch, {"a"}, {1}, 0});
  return view;
}

}  // namespace

int main() {
  ClaimShards shards = lacewingbridge::GetValue(ClaimShards::Create("a", 1, {}, 4));
  shards.AdoptMap(TimePoint{}, MakeView(1));
  std::atomic<std::uint64_t> granted = 0;
  std::vector<std::thread> threads;
  for (std::uint64_t thread = 1; thread <= kThreads; ++thread) {
    threads.emplace_back([&shards, &granted, thread] {
      for (std::uint64_t key = 0; key < kKeys; ++key) {
        const std::uint64_t attempt = thread * kKeys + key;
        const auto reply =
            shards.Claim(TimePoint{}, 0, {std::to_string(key), 0, 1, attempt, "c", 1});
        granted += reply.decision == ClaimDecision::kGranted ? 1 : 0;
      }
    });
  }
  threads.emplace_back([&shards] {
    for (int i = 0; i < 100; ++i) {
      shards.MarkCallerGone(TimePoint{}, "other", 1);
      shards.CollectClaims(TimePoint{}, MakeView(1), "b");
    }
  });
  for (std::thread& thread : threads) {
    thread.join();
  }
  return granted == kKeys && shards.GetKeyCount() == kKeys ? EXIT_SUCCESS : EXIT_FAILURE;
}
