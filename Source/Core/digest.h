#ifndef LACEWINGBRIDGE_SOURCE_CORE_DIGEST_H_
#define LACEWINGBRIDGE_SOURCE_CORE_DIGEST_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace lacewingbridge {

inline constexpr std::size_t kSha256Bytes = 32;
inline constexpr std::size_t kDigestBytes = 16;

std::string ComputeSha256(std::string_view text);

// First 16 bytes of the SHA-256 of the text.
std::string ComputeDigest(std::string_view text);

// Compares in a time that depends on the sizes only, not on how much of the digests is equal.
bool AreDigestsEqual(std::string_view first, std::string_view second);

// Lower-case hexadecimal form, for keys and messages.
std::string FormatHex(std::string_view bytes);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_DIGEST_H_
