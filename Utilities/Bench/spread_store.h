#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_SPREAD_STORE_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_SPREAD_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Core/time_point.h"
#include "Watch/watch_messages.h"
#include "rules.h"
#include "spread_network.h"

namespace lacewingbridge {

// The platform's store in injected time: leases and holders per scope, and a list of
// versions that only grows. It stands in data centre 0. Counts calls by second.
class SpreadStore {
 public:
  explicit SpreadStore(SpreadNetwork& shared_network);

  // Appends a version that changes one line of the text before.
  void AcceptChange();
  // While down, no call gets an answer, pending watches included.
  void SetDown(bool value);
  std::size_t GetNumber() const { return this->heads.size(); }
  const RulesHead& GetHead(std::size_t number) const { return this->heads.at(number - 1); }
  const std::string& GetText(std::size_t number) const { return this->texts.at(number - 1); }

  // Performs a call of the election for a scope; answers through the callback.
  void Call(std::size_t from, const std::string& scope, const WatchCall& call,
            const std::function<void(WatchEvent)>& answer);
  // Waits until the head's number differs from the known one, up to 30 s.
  void Watch(std::size_t from, std::size_t known_number,
             const std::function<void(std::optional<std::size_t>)>& answer);
  // Reads the head, or the text with that many bytes.
  void Read(std::size_t from, std::size_t bytes, const std::function<void(bool)>& answer);

  std::uint64_t GetCallCount() const { return this->call_count; }
  // Most calls in one second between the two times.
  std::uint64_t GetPeak(TimePoint from, TimePoint until) const;

 private:
  struct Holder {
    std::optional<WatchHolder> holder;
    std::uint64_t revision = 0;
    TimePoint lease_end;
  };
  struct PendingWatch {
    std::size_t from = 0;
    std::function<void(std::optional<std::size_t>)> answer;
  };

  void CountCall();
  WatchEvent Apply(Holder& key, const WatchCall& call);
  void FinishWatch(std::uint64_t id);

  SpreadNetwork& network;
  std::vector<RulesHead> heads;
  std::vector<std::string> texts;
  std::map<std::string, Holder> holders;
  std::map<std::uint64_t, TimePoint> leases;
  std::map<std::uint64_t, PendingWatch> watches;
  std::map<std::int64_t, std::uint64_t> calls_by_second;
  std::uint64_t call_count = 0;
  std::uint64_t next_id = 1;
  bool down = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_SPREAD_STORE_H_
