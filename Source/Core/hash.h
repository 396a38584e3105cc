#ifndef LACEWINGBRIDGE_SOURCE_CORE_HASH_H_
#define LACEWINGBRIDGE_SOURCE_CORE_HASH_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingbridge {

// 64-bit hash with the same result on every machine (FNV-1a with a final mix).
std::uint64_t HashBytes(std::string_view bytes);

// Combines two hashes into one; the order matters.
std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second);

// Indices of the names in descending rendezvous weight for the key. Removing a
// name leaves the order of the others unchanged.
std::vector<std::size_t> RankByHash(std::string_view key, std::span<const std::string> names);

// Index of the first name in that order; names must not be empty.
std::size_t SelectByHash(std::string_view key, std::span<const std::string> names);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_HASH_H_
