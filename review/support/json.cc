#include "support/json.h"

#include <cctype>
#include <cstddef>

namespace review {

namespace {

class Parser {
 public:
  explicit Parser(std::string_view given) : text(given) {}

  Json ReadValue() {
    Json value;
    this->SkipBlanks();
    if (this->Take('{')) {
      while (!this->AtEnd() && !this->Take('}')) {
        const std::string name = this->ReadText();
        this->SkipBlanks();
        this->Take(':');
        value.members[name] = this->ReadValue();
        this->SkipBlanks();
        this->Take(',');
        this->SkipBlanks();
      }
    } else if (this->Take('[')) {
      this->SkipBlanks();
      while (!this->AtEnd() && !this->Take(']')) {
        value.list.push_back(this->ReadValue());
        this->SkipBlanks();
        this->Take(',');
        this->SkipBlanks();
      }
    } else if (!this->AtEnd() && this->text[this->position] == '"') {
      value.text = this->ReadText();
    } else {
      const std::size_t begin = this->position;
      while (!this->AtEnd() &&
             std::string_view(",]} \r\n\t").find(this->text[this->position]) == std::string::npos) {
        ++this->position;
      }
      value.text = this->text.substr(begin, this->position - begin);
      this->position += this->position == begin ? 1 : 0;
    }
    return value;
  }

 private:
  bool AtEnd() const { return this->position >= this->text.size(); }
  bool Take(char wanted) {
    const bool found = !this->AtEnd() && this->text[this->position] == wanted;
    this->position += found ? 1 : 0;
    return found;
  }
  void SkipBlanks() {
    while (!this->AtEnd() && std::isspace(static_cast<unsigned char>(this->text[this->position]))) {
      ++this->position;
    }
  }
  // Texts of the daemons hold no escapes but those of quotes and backslashes.
  std::string ReadText() {
    std::string read;
    this->SkipBlanks();
    if (!this->Take('"')) {
      ++this->position;
      return read;
    }
    while (!this->AtEnd() && this->text[this->position] != '"') {
      this->position += this->text[this->position] == '\\' ? 1 : 0;
      if (!this->AtEnd()) {
        read.push_back(this->text[this->position++]);
      }
    }
    this->Take('"');
    return read;
  }

  std::string_view text;
  std::size_t position = 0;
};

}  // namespace

const Json& Json::operator[](const std::string& name) const {
  static const Json kNone;
  const auto found = this->members.find(name);
  return found == this->members.end() ? kNone : found->second;
}

Json ParseJson(std::string_view text) { return Parser(text).ReadValue(); }

}  // namespace review
