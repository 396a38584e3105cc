#include "Daemon/request_path.h"

#include <charconv>
#include <cstddef>

namespace lacewingbridge {

namespace {

constexpr std::size_t kEncodedSize = 3;
constexpr int kHexBase = 16;

bool IsForbidden(char character) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto code = static_cast<unsigned char>(character);
  return code < kFirstPrintable || code == kDelete || character == '\\';
}

// Decodes the "%XX" at the front of the text.
std::optional<char> DecodeByte(std::string_view text) {
  if (text.size() < kEncodedSize) {
    return std::nullopt;
  }
  unsigned char code = 0;
  const char* end = text.data() + kEncodedSize;
  const auto [stop, error] = std::from_chars(text.data() + 1, end, code, kHexBase);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return static_cast<char>(code);
}

// Ignores what follows ";", since some servers end a segment there before they resolve dot
// segments.
bool IsAmbiguousSegment(std::string_view segment, bool is_last) {
  const std::string_view name = segment.substr(0, segment.find(';'));
  return name == "." || name == ".." || (name.empty() && !is_last);
}

bool HasAmbiguousSegment(std::string_view path) {
  std::string_view rest = path.substr(1);
  while (true) {
    const std::size_t end = rest.find('/');
    const bool is_last = end == std::string_view::npos;
    if (IsAmbiguousSegment(rest.substr(0, end), is_last)) {
      return true;
    }
    if (is_last) {
      return false;
    }
    rest.remove_prefix(end + 1);
  }
}

}  // namespace

std::optional<std::string> DecodeRequestPath(std::string_view target) {
  std::string_view rest = target.substr(0, target.find('?'));
  if (!rest.starts_with('/')) {
    return std::nullopt;
  }
  std::string path;
  path.reserve(rest.size());
  while (!rest.empty()) {
    const bool encoded = rest.front() == '%';
    const std::optional<char> character = encoded ? DecodeByte(rest) : rest.front();
    if (!character.has_value() || IsForbidden(*character)) {
      return std::nullopt;
    }
    if (encoded && (*character == '/' || *character == '%')) {
      return std::nullopt;
    }
    path += *character;
    rest.remove_prefix(encoded ? kEncodedSize : 1);
  }
  if (HasAmbiguousSegment(path)) {
    return std::nullopt;
  }
  return path;
}

}  // namespace lacewingbridge
