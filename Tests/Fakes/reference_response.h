#ifndef LACEWINGBRIDGE_TESTS_FAKES_REFERENCE_RESPONSE_H_
#define LACEWINGBRIDGE_TESTS_FAKES_REFERENCE_RESPONSE_H_

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewingbridge {

struct ReferenceResponse {
  unsigned status = 0;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool operator==(const ReferenceResponse&) const = default;

  // Fields keep their order only among those of one name (RFC 9110, section 5.3).
  void SortFields() {
    const auto lower = [](const std::string& name) {
      std::string text(name);
      std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
      });
      return text;
    };
    std::stable_sort(this->fields.begin(), this->fields.end(),
                     [&](const auto& left, const auto& right) {
                       return lower(left.first) < lower(right.first);
                     });
  }
};

// Reads the final response from all bytes of a connection, slowly and strictly. A reader under test
// may refuse more than this one, but what it accepts has to be the same.
class ReferenceReader {
 public:
  static std::optional<ReferenceResponse> Read(std::string_view bytes, bool reset) {
    while (true) {
      ReferenceResponse response;
      ReferenceReader reader(bytes);
      if (!reader.ReadHead(response)) {
        return std::nullopt;
      }
      bytes = reader.rest;
      if (response.status >= 200) {
        const bool whole = reader.ReadBody(response, reset);
        response.SortFields();
        return whole ? std::optional(response) : std::nullopt;
      }
    }
  }

 private:
  explicit ReferenceReader(std::string_view bytes) : rest(bytes) {}

  std::optional<std::string_view> TakeLine() {
    const std::size_t end = this->rest.find("\r\n");
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view line = this->rest.substr(0, end);
    this->rest.remove_prefix(end + 2);
    return line;
  }

  static bool HasControl(std::string_view text) {
    return std::any_of(text.begin(), text.end(), [](char c) {
      const auto code = static_cast<unsigned char>(c);
      return (code < 0x20 && c != '\t') || code == 0x7f;
    });
  }

  static std::string Lower(std::string_view text) {
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
      return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
  }

  static bool IsAllOf(std::string_view text, std::string_view allowed) {
    return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos;
  }

  bool ReadHead(ReferenceResponse& response) {
    const std::optional<std::string_view> line = this->TakeLine();
    if (!line.has_value() || line->size() < 12 || HasControl(*line) ||
        !(line->starts_with("HTTP/1.1 ") || line->starts_with("HTTP/1.0 ")) ||
        !IsAllOf(line->substr(9, 3), "0123456789") || (line->size() > 12 && (*line)[12] != ' ')) {
      return false;
    }
    response.status = static_cast<unsigned>(std::stoul(std::string(line->substr(9, 3))));
    return response.status >= 100 && response.status <= 599 && this->ReadFields(response);
  }

  bool ReadFields(ReferenceResponse& response) {
    while (true) {
      const std::optional<std::string_view> line = this->TakeLine();
      if (!line.has_value()) {
        return false;
      }
      if (line->empty()) {
        return true;
      }
      const std::size_t colon = line->find(':');
      if (colon == std::string_view::npos ||
          !IsAllOf(
              line->substr(0, colon),
              "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")) {
        return false;
      }
      std::string value(line->substr(colon + 1));
      if (HasControl(value)) {
        return false;
      }
      value.erase(0, value.find_first_not_of(" \t"));
      value.erase(value.find_last_not_of(" \t") + 1);
      response.fields.emplace_back(line->substr(0, colon), value);
    }
  }

  bool ReadBody(ReferenceResponse& response, bool reset) {
    if (response.status == 204 || response.status == 304) {
      return true;
    }
    std::vector<std::string> lengths;
    bool chunked = false;
    for (const auto& [name, value] : response.fields) {
      if (Lower(name) == "content-length") {
        lengths.push_back(value);
      } else if (Lower(name) == "transfer-encoding") {
        if (chunked || Lower(value) != "chunked") {
          return false;
        }
        chunked = true;
      }
    }
    if (chunked) {
      return lengths.empty() && this->ReadChunks(response.body);
    }
    if (lengths.empty()) {
      response.body = this->rest;
      return !reset;
    }
    const bool same = std::all_of(lengths.begin(), lengths.end(),
                                  [&](const std::string& other) { return other == lengths[0]; });
    if (!same || !IsAllOf(lengths[0], "0123456789") || lengths[0].size() > 9 ||
        std::stoul(lengths[0]) > this->rest.size()) {
      return false;
    }
    response.body = this->rest.substr(0, std::stoul(lengths[0]));
    return true;
  }

  bool ReadChunks(std::string& body) {
    while (true) {
      const std::optional<std::string_view> line = this->TakeLine();
      if (!line.has_value()) {
        return false;
      }
      const std::string digits(line->substr(0, line->find_first_not_of("0123456789abcdefABCDEF")));
      if (digits.empty() || digits.size() > 8) {
        return false;
      }
      const std::size_t size = std::stoul(digits, nullptr, 16);
      if (size == 0) {
        return this->SkipTrailers();
      }
      if (this->rest.size() < size + 2 || this->rest.substr(size, 2) != "\r\n") {
        return false;
      }
      body += this->rest.substr(0, size);
      this->rest.remove_prefix(size + 2);
    }
  }

  // Trailers are dropped, so only their end matters.
  bool SkipTrailers() {
    std::optional<std::string_view> line = this->TakeLine();
    while (line.has_value() && !line->empty()) {
      line = this->TakeLine();
    }
    return line.has_value();
  }

  std::string_view rest;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_REFERENCE_RESPONSE_H_
