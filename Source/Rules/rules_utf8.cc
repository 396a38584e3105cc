#include "Rules/rules_utf8.h"

#include <algorithm>
#include <boost/nowide/utf/utf.hpp>

#include "Core/digest.h"

namespace lacewingbridge {

namespace {

constexpr std::size_t kMaxQuotedBytes = 60;

bool IsContinuation(char byte) { return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U; }

}  // namespace

std::size_t FindInvalidUtf8(std::string_view text) {
  using Traits = boost::nowide::utf::utf_traits<char>;
  const char* position = text.data();
  const char* const end = position + text.size();
  while (position != end) {
    if (static_cast<unsigned char>(*position) < 0x80U) {
      ++position;
      continue;
    }
    const char* const start = position;
    const auto code_point = Traits::decode(position, end);
    if (code_point == boost::nowide::utf::illegal || code_point == boost::nowide::utf::incomplete) {
      return static_cast<std::size_t>(start - text.data());
    }
  }
  return std::string_view::npos;
}

std::size_t CountColumn(std::string_view line, std::size_t offset) {
  const std::string_view before = line.substr(0, offset);
  const auto continuations = std::count_if(before.begin(), before.end(), IsContinuation);
  return 1 + before.size() - static_cast<std::size_t>(continuations);
}

std::string QuoteForMessage(std::string_view text) {
  std::string_view shown = text;
  if (shown.size() > kMaxQuotedBytes) {
    shown = shown.substr(0, kMaxQuotedBytes);
    while (!shown.empty() && IsContinuation(text[shown.size()])) {
      shown.remove_suffix(1);
    }
  }
  const bool valid = FindInvalidUtf8(shown) == std::string_view::npos;
  std::string quoted = "\"";
  for (char byte : shown) {
    const auto value = static_cast<unsigned char>(byte);
    if (value < 0x20U || value == 0x7fU || (value >= 0x80U && !valid)) {
      quoted += "\\x" + FormatHex({&byte, 1});
    } else {
      quoted += byte;
    }
  }
  return quoted + (shown.size() < text.size() ? "...\"" : "\"");
}

}  // namespace lacewingbridge
