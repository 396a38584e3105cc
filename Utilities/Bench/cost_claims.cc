#include "cost_claims.h"

#include <fmt/core.h>
#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "Claims/claim_shards.h"
#include "cost_fit.h"
#include "peer_codec.h"

namespace lacewingbridge {
namespace {

// The keys carry no time, so any wall clock does.
constexpr std::uint64_t kUnixMs = 1'796'000'000'000;
constexpr std::uint64_t kIncarnation = 1'796'000'000'000;
constexpr std::size_t kShards = 16;
constexpr std::size_t kKeyCounts[] = {1000, 5000, 20000, 80000};
constexpr unsigned kThreadCounts[] = {1, 2, 4, 8};
constexpr std::size_t kAnswerBytes = 200;
constexpr std::size_t kKeysPerThread = 40000;

ClaimRequest MakeRequest(std::size_t number) {
  ClaimRequest request;
  request.key = fmt::format("order-2026-12-04-{:010}", number);
  request.request_hash = number;
  request.owner_map_epoch = 1;
  request.attempt_id = number + 1;
  request.caller_host = "host-0001";
  request.caller_incarnation = kIncarnation;
  return request;
}

ClaimDoneRequest MakeDone(const ClaimRequest& claim) {
  ClaimDoneRequest done;
  done.key = claim.key;
  done.attempt_id = claim.attempt_id;
  done.outcome = ClaimOutcome::kDone;
  done.status_code = 200;
  done.answer = std::string(kAnswerBytes, 'a');
  done.content_type = "application/json";
  return done;
}

ClaimShards MakeShards() {
  ClaimLimits limits;
  limits.key_capacity = 1'000'000;
  limits.byte_capacity = std::size_t{1024} * 1024 * 1024;
  ClaimShards shards =
      std::move(GetValue(ClaimShards::Create("host-0000", kIncarnation, limits, kShards)));
  ClaimOwnerMap map;
  map.epoch = 1;
  map.hosts = {"host-0000"};
  map.incarnations = {kIncarnation};
  ClaimOwnerView view;
  view.Adopt(map);
  shards.AdoptMap(TimePoint{}, view);
  return shards;
}

void RunClaim(ClaimShards& shards, std::size_t number) {
  const ClaimRequest request = MakeRequest(number);
  const ClaimReply reply = shards.Claim(TimePoint{}, kUnixMs, request);
  if (reply.decision != ClaimDecision::kGranted) {
    fmt::print(stderr, "claim {} was not granted\n", number);
    std::exit(EXIT_FAILURE);
  }
  shards.Finish(TimePoint{}, MakeDone(request));
}

void MeasureKeys() {
  CostSlope memory("claims with an answer of 200 bytes, heap bytes by keys held", "key");
  CostSlope time("Claim and Finish of one key, us by keys held", "key");
  for (const std::size_t count : kKeyCounts) {
    const std::size_t before = mallinfo2().uordblks;
    ClaimShards shards = MakeShards();
    std::size_t number = 0;
    for (; number < count; ++number) {
      RunClaim(shards, number);
    }
    memory.Add(static_cast<double>(count), static_cast<double>(mallinfo2().uordblks - before));
    time.Add(static_cast<double>(count), MeasureMicroseconds([&] { RunClaim(shards, number++); }));
  }
  memory.Print();
  time.Print();
}

void MeasureThreads() {
  CostSlope rate("claims a second of wall time by threads", "thread");
  for (const unsigned count : kThreadCounts) {
    ClaimShards shards = MakeShards();
    const auto started = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < count; ++i) {
      threads.emplace_back([&shards, i] {
        for (std::size_t n = 0; n < kKeysPerThread; ++n) {
          RunClaim(shards, i * kKeysPerThread + n);
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - started;
    rate.Add(count, static_cast<double>(count * kKeysPerThread) / passed.count());
  }
  rate.Print();
}

void PrintSizes() {
  const ClaimRequest request = MakeRequest(1);
  ClaimShards shards = MakeShards();
  const ClaimReply reply = shards.Claim(TimePoint{}, kUnixMs, request);
  const ClaimDoneRequest done = MakeDone(request);
  const ClaimDoneReply recorded = shards.Finish(TimePoint{}, done);
  fmt::print("encoded bytes: ClaimRequest {} ClaimReply {} ClaimDoneRequest {} ClaimDoneReply {}\n",
             Encode(request).size(), Encode(reply).size(), Encode(done).size(),
             Encode(recorded).size());
}

}  // namespace

void MeasureClaims() {
  MeasureKeys();
  MeasureThreads();
  PrintSizes();
}

}  // namespace lacewingbridge
