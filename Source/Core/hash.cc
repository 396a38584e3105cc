#include "Core/hash.h"

#include <algorithm>
#include <numeric>

namespace lacewingbridge {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

// Finalizer of SplitMix64. FNV-1a alone spreads short keys poorly in its high bits,
// which rendezvous hashing compares first.
std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

std::uint64_t GetWeight(std::uint64_t key_hash, std::string_view name) {
  return CombineHashes(key_hash, HashBytes(name));
}

}  // namespace

std::uint64_t HashBytes(std::string_view bytes) {
  std::uint64_t hash = kFnvOffset;
  for (char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return MixBits(hash);
}

std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second) {
  return MixBits(first * kFnvPrime + second);
}

std::vector<std::size_t> RankByHash(std::string_view key, std::span<const std::string> names) {
  const std::uint64_t key_hash = HashBytes(key);
  std::vector<std::uint64_t> weights(names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    weights[i] = GetWeight(key_hash, names[i]);
  }
  std::vector<std::size_t> order(names.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return weights[left] != weights[right] ? weights[left] > weights[right]
                                           : names[left] < names[right];
  });
  return order;
}

std::size_t SelectByHash(std::string_view key, std::span<const std::string> names) {
  const std::uint64_t key_hash = HashBytes(key);
  std::size_t best = 0;
  std::uint64_t best_weight = GetWeight(key_hash, names[0]);
  for (std::size_t i = 1; i < names.size(); ++i) {
    const std::uint64_t weight = GetWeight(key_hash, names[i]);
    if (weight > best_weight || (weight == best_weight && names[i] < names[best])) {
      best = i;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace lacewingbridge
