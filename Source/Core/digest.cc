#include "Core/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace lacewingbridge {

std::string ComputeSha256(std::string_view text) {
  static_assert(kSha256Bytes == SHA256_DIGEST_LENGTH);
  std::array<unsigned char, kSha256Bytes> full{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), full.data());
  return {reinterpret_cast<const char*>(full.data()), full.size()};
}

std::string ComputeDigest(std::string_view text) {
  return ComputeSha256(text).substr(0, kDigestBytes);
}

bool AreDigestsEqual(std::string_view first, std::string_view second) {
  return first.size() == second.size() &&
         CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::string FormatHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4U];
    text += kDigits[value & 0x0fU];
  }
  return text;
}

}  // namespace lacewingbridge
