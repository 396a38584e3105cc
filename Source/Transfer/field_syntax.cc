#include "Transfer/field_syntax.h"

#include <algorithm>

namespace lacewingbridge {

namespace {

constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

bool IsTokenCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || kTokenMarks.find(c) != std::string_view::npos;
}

bool IsTextCharacter(char c) {
  const auto code = static_cast<unsigned char>(c);
  return c == '\t' || (code >= 0x20 && code != 0x7f);
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsFieldText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTextCharacter);
}

}  // namespace lacewingbridge
