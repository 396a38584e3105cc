// Guards against data races in Sharded: threads that share a shard must not lose updates.
#include <cstdint>
#include <cstdlib>
#include <thread>
#include <vector>

#include "Core/sharded.h"

namespace {

constexpr int kThreads = 4;
constexpr std::uint64_t kUpdatesPerThread = 20000;

}  // namespace

int main() {
  lacewingbridge::Sharded<std::uint64_t> sharded(4, [] { return std::uint64_t{0}; });
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&sharded] {
      for (std::uint64_t key = 0; key < kUpdatesPerThread; ++key) {
        sharded.WithShard(key, [](std::uint64_t& count) { ++count; });
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::uint64_t total = 0;
  sharded.ForEachShard([&total](const std::uint64_t& count) { total += count; });
  return total == kThreads * kUpdatesPerThread ? EXIT_SUCCESS : EXIT_FAILURE;
}
