#include "Transfer/response_head.h"

#include <algorithm>
#include <cctype>

#include "Transfer/field_syntax.h"

namespace lacewingbridge {

namespace {

constexpr std::string_view kVersion = "HTTP/1.";
constexpr std::string_view kLineEnd = "\r\n";

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool EqualsIgnoringCase(std::string_view text, std::string_view lower) {
  return std::equal(text.begin(), text.end(), lower.begin(), lower.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) == b;
  });
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  text.remove_prefix(std::min(text.find_first_not_of(kBlanks), text.size()));
  return text.substr(0, text.find_last_not_of(kBlanks) + 1);
}

bool IsStatusLine(std::string_view line) {
  constexpr std::size_t kCodeBegin = kVersion.size() + 2;
  constexpr std::size_t kCodeEnd = kCodeBegin + 3;
  if (line.size() < kCodeEnd || !line.starts_with(kVersion)) {
    return false;
  }
  const char minor = line[kVersion.size()];
  const std::string_view code = line.substr(kCodeBegin, kCodeEnd - kCodeBegin);
  const bool has_end = line.size() == kCodeEnd || line[kCodeEnd] == ' ';
  return (minor == '0' || minor == '1') && line[kCodeBegin - 1] == ' ' && code[0] >= '1' &&
         code[0] <= '5' && IsDigit(code[1]) && IsDigit(code[2]) && has_end &&
         IsFieldText(line.substr(kCodeEnd));
}

// Reads the fields of one head and remembers those that determine the length of the body.
class FieldCheck {
 public:
  HeadFault Add(std::string_view line) {
    if (line.front() == ' ' || line.front() == '\t') {
      return HeadFault::kFoldedLine;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || !IsToken(name)) {
      return HeadFault::kFieldName;
    }
    const std::string_view value = line.substr(colon + 1);
    if (!IsFieldText(value)) {
      return HeadFault::kFieldValue;
    }
    return this->AddFraming(name, Trim(value));
  }

  HeadFault Finish() const {
    return !this->length.empty() && this->chunked ? HeadFault::kEncoding : HeadFault::kNone;
  }

 private:
  HeadFault AddFraming(std::string_view name, std::string_view value) {
    if (EqualsIgnoringCase(name, "content-length")) {
      const bool number = !value.empty() && std::all_of(value.begin(), value.end(), IsDigit);
      const bool repeated = !this->length.empty() && this->length != value;
      this->length = value;
      return number && !repeated ? HeadFault::kNone : HeadFault::kLength;
    }
    if (EqualsIgnoringCase(name, "transfer-encoding")) {
      const bool known = EqualsIgnoringCase(value, "chunked") && !this->chunked;
      this->chunked = true;
      return known ? HeadFault::kNone : HeadFault::kEncoding;
    }
    return HeadFault::kNone;
  }

  std::string_view length;
  bool chunked = false;
};

}  // namespace

std::string_view GetName(HeadFault fault) {
  switch (fault) {
    case HeadFault::kNone:
      return "none";
    case HeadFault::kStatusLine:
      return "status_line";
    case HeadFault::kFieldName:
      return "field_name";
    case HeadFault::kFieldValue:
      return "field_value";
    case HeadFault::kFoldedLine:
      return "folded_line";
    case HeadFault::kLength:
      return "length";
    case HeadFault::kEncoding:
      return "transfer_encoding";
  }
  return "invalid";
}

bool CanBeginResponse(std::string_view bytes) {
  const std::string_view begin = bytes.substr(0, kVersion.size());
  return kVersion.starts_with(begin);
}

HeadFault CheckResponseHead(std::string_view head) {
  const std::size_t status_end = head.find(kLineEnd);
  if (status_end == std::string_view::npos || !IsStatusLine(head.substr(0, status_end))) {
    return HeadFault::kStatusLine;
  }
  FieldCheck fields;
  std::string_view rest = head.substr(status_end + kLineEnd.size());
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(kLineEnd), rest.size());
    if (end == 0) {
      break;
    }
    const HeadFault fault = fields.Add(rest.substr(0, end));
    if (fault != HeadFault::kNone) {
      return fault;
    }
    rest.remove_prefix(std::min(end + kLineEnd.size(), rest.size()));
  }
  return fields.Finish();
}

}  // namespace lacewingbridge
