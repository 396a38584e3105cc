#ifndef LACEWINGBRIDGE_SOURCE_CORE_SHARDED_H_
#define LACEWINGBRIDGE_SOURCE_CORE_SHARDED_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace lacewingbridge {

// State in a fixed number of shards, each under its own lock. A caller sees a
// shard's state only while it holds that shard's lock, and never two shards at once.
template <typename State>
class Sharded {
 public:
  // Calls make() once for every shard.
  template <typename Factory>
  Sharded(std::size_t shard_count, Factory&& make) {
    this->shards.reserve(shard_count);
    for (std::size_t i = 0; i < shard_count; ++i) {
      this->shards.push_back(std::make_unique<Shard>(make()));
    }
  }

  // Calls action(state) for the shard of the hash, under its lock.
  template <typename Action>
  decltype(auto) WithShard(std::uint64_t hash, Action&& action) {
    Shard& shard = *this->shards[hash % this->shards.size()];
    const std::lock_guard guard(shard.mutex);
    return std::forward<Action>(action)(shard.state);
  }

  // Calls action(state) for every shard, one after the other, each under its lock.
  template <typename Action>
  void ForEachShard(Action&& action) {
    for (const std::unique_ptr<Shard>& shard : this->shards) {
      const std::lock_guard guard(shard->mutex);
      action(shard->state);
    }
  }

  std::size_t GetShardCount() const { return this->shards.size(); }

 private:
  struct Shard {
    explicit Shard(State initial) : state(std::move(initial)) {}
    std::mutex mutex;
    State state;
  };

  std::vector<std::unique_ptr<Shard>> shards;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_SHARDED_H_
