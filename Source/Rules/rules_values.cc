#include "Rules/rules_values.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>

#include "Core/digest.h"

namespace lacewingbridge {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxPathBytes = 256;

bool IsNameByte(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') || byte == '-' || byte == '_' || byte == '.';
}

// Returns nothing unless the text is a SHA-256 digest of 64 hexadecimal digits.
std::optional<std::string> ParseKeyDigest(std::string_view text) {
  constexpr std::size_t kDigitsPerByte = 2;
  constexpr int kHexBase = 16;
  constexpr std::string_view kDigits = "0123456789abcdefABCDEF";
  if (text.size() != kSha256Bytes * kDigitsPerByte ||
      text.find_first_not_of(kDigits) != std::string_view::npos) {
    return std::nullopt;
  }
  std::string digest;
  for (std::size_t i = 0; i < kDigestBytes; ++i) {
    const char* digits = text.data() + i * kDigitsPerByte;
    unsigned char byte = 0;
    std::from_chars(digits, digits + kDigitsPerByte, byte, kHexBase);
    digest += static_cast<char>(byte);
  }
  return digest;
}

bool IsPathByte(char byte) { return byte > ' ' && byte < 0x7f && byte != '?' && byte != '#'; }

}  // namespace

bool IsRulesName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameByte);
}

bool IsRulesPath(std::string_view text) {
  if (text == "/") {
    return true;
  }
  if (text.empty() || text.front() != '/' || text.size() > kMaxPathBytes ||
      !std::all_of(text.begin(), text.end(), IsPathByte)) {
    return false;
  }
  std::size_t start = 1;
  while (start <= text.size()) {
    const std::size_t end = std::min(text.find('/', start), text.size());
    const std::string_view segment = text.substr(start, end - start);
    if (segment.empty() || segment == "." || segment == "..") {
      return false;
    }
    start = end + 1;
  }
  return true;
}

std::optional<std::uint32_t> ParseRulesNumber(std::string_view text, std::uint32_t lowest,
                                              std::uint32_t highest) {
  std::uint32_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [position, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || position != end || value < lowest || value > highest) {
    return std::nullopt;
  }
  return value;
}

std::optional<Duration> ParseRulesDuration(std::string_view text, Duration lowest,
                                           Duration highest) {
  const std::size_t unit_start = std::min(text.find_first_not_of("0123456789"), text.size());
  const std::string_view unit = text.substr(unit_start);
  const auto count =
      ParseRulesNumber(text.substr(0, unit_start), 0, std::numeric_limits<std::uint32_t>::max());
  if (!count) {
    return std::nullopt;
  }
  Duration duration{};
  if (unit == "ms") {
    duration = std::chrono::milliseconds(*count);
  } else if (unit == "s") {
    duration = std::chrono::seconds(*count);
  } else if (unit == "m") {
    duration = std::chrono::minutes(*count);
  } else {
    return std::nullopt;
  }
  if (duration < lowest || duration > highest) {
    return std::nullopt;
  }
  return duration;
}

std::optional<HttpMethodSet> ParseHttpMethodSet(std::string_view text) {
  HttpMethodSet methods = 0;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    const HttpMethod method = ParseHttpMethod(text.substr(start, end - start));
    const HttpMethodSet bit = MakeHttpMethodSet(method);
    if (method == HttpMethod::kOther || (methods & bit) != 0) {
      return std::nullopt;
    }
    methods |= bit;
    start = end + 1;
  }
  return methods;
}

std::optional<std::vector<std::string>> ParseKeyDigests(std::string_view text) {
  std::vector<std::string> digests;
  std::set<std::string> known;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    std::optional<std::string> digest = ParseKeyDigest(text.substr(start, end - start));
    if (!digest || !known.insert(*digest).second) {
      return std::nullopt;
    }
    digests.push_back(*std::move(digest));
    start = end + 1;
  }
  return digests;
}

}  // namespace lacewingbridge
