#include "Core/base64.h"

#include <openssl/evp.h>

namespace lacewingbridge {

std::string EncodeBase64(std::string_view bytes) {
  // EVP_EncodeBlock also writes a terminating zero.
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock counts the bytes that the padding stands for.
  const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}  // namespace lacewingbridge
