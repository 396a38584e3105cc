#include "Daemon/daemon_settings_loader.h"

#include <fmt/core.h>
#include <fmt/ranges.h>

#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <toml.hpp>
#include <vector>

#include "Core/socket_address.h"

namespace lacewingbridge {

namespace {

// Visitor that copies the values of a TOML table into the settings and collects problems.
class SettingsReader {
 public:
  explicit SettingsReader(const toml::table& parsed) : table(parsed) {}

  void operator()(const SettingsField& field, std::string& member) {
    this->known.insert(std::string(field.key));
    const toml::value* value = this->FindValue(field);
    if (value == nullptr) {
      member = std::string(field.default_value);
      return;
    }
    if (!value->is_string()) {
      this->AddProblem(field, *value, "text in quotes");
      return;
    }
    member = value->as_string().str;
    this->CheckText(field, *value, member);
  }

  void operator()(const SettingsField& field, std::uint32_t& member) {
    this->known.insert(std::string(field.key));
    const toml::value* value = this->FindValue(field);
    if (value == nullptr) {
      const std::string_view text = field.default_value;
      std::from_chars(text.data(), text.data() + text.size(), member);
      return;
    }
    const std::string range = fmt::format("a whole number from {:.0f} to {:.0f}{}{}", field.min,
                                          field.max, field.unit.empty() ? "" : " ", field.unit);
    if (!value->is_integer()) {
      this->AddProblem(field, *value, range);
      return;
    }
    const auto number = value->as_integer();
    if (static_cast<double>(number) < field.min || static_cast<double>(number) > field.max) {
      this->AddProblem(field, *value, range);
      return;
    }
    member = static_cast<std::uint32_t>(number);
  }

  void operator()(const SettingsField& field, std::vector<std::string>& member) {
    this->known.insert(std::string(field.key));
    const toml::value* value = this->FindValue(field);
    if (value == nullptr) {
      return;
    }
    constexpr std::string_view kPermitted = "a list of IP:PORT texts";
    if (!value->is_array()) {
      this->AddProblem(field, *value, kPermitted);
      return;
    }
    for (const toml::value& element : value->as_array()) {
      if (!element.is_string() || !IsOk(SocketAddress::Parse(element.as_string().str))) {
        this->AddProblem(field, element, kPermitted);
        continue;
      }
      member.push_back(element.as_string().str);
    }
  }

  // Adds a problem for each unknown key. Unknown keys are usually misspelled.
  void CheckUnknownKeys() {
    for (const auto& [key, value] : this->table) {
      if (!this->known.contains(key)) {
        this->problems.push_back(
            fmt::format("unknown key \"{}\"; remove it or correct its spelling (known keys: {})",
                        key, fmt::join(this->known, ", ")));
      }
    }
  }

  const std::vector<std::string>& GetProblems() const { return this->problems; }

 private:
  const toml::value* FindValue(const SettingsField& field) {
    const auto found = this->table.find(std::string(field.key));
    if (found != this->table.end()) {
      return &found->second;
    }
    if (field.required) {
      this->problems.push_back(
          fmt::format("key \"{}\" is missing; add it ({})", field.key, field.doc));
    }
    return nullptr;
  }

  void CheckText(const SettingsField& field, const toml::value& value, const std::string& text) {
    const std::string choices = "|" + std::string(field.choices) + "|";
    if (!field.choices.empty() && choices.find("|" + text + "|") == std::string::npos) {
      this->AddProblem(field, value, "one of " + std::string(field.choices));
    }
    if (field.key.ends_with("_address") && !IsOk(SocketAddress::Parse(text))) {
      this->AddProblem(field, value, "IP:PORT, for example 127.0.0.1:8080");
    }
    if (text.empty()) {
      this->AddProblem(field, value, "text that is not empty");
    }
  }

  void AddProblem(const SettingsField& field, const toml::value& value,
                  std::string_view permitted) {
    this->problems.push_back(fmt::format("key \"{}\" has the value {}; it must be {}", field.key,
                                         toml::format(value), permitted));
  }

  const toml::table& table;
  std::set<std::string> known;
  std::vector<std::string> problems;
};

}  // namespace

Result<Settings> DaemonSettingsLoader::LoadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Error{ErrorKind::kFileUnreadable, path};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return LoadText(text.str(), path);
}

Result<Settings> DaemonSettingsLoader::LoadText(const std::string& text,
                                                const std::string& file_name) {
  toml::value parsed;
  try {
    std::istringstream stream(text);
    parsed = toml::parse(stream, file_name);
  } catch (const std::exception& exception) {
    return Error{ErrorKind::kSettingsInvalid, file_name + ": " + exception.what()};
  }
  Settings settings;
  SettingsReader reader(parsed.as_table());
  VisitSettings(settings, reader);
  reader.CheckUnknownKeys();
  if (!reader.GetProblems().empty()) {
    return Error{ErrorKind::kSettingsInvalid,
                 fmt::format("{}: {}", file_name, fmt::join(reader.GetProblems(), "; "))};
  }
  return settings;
}

}  // namespace lacewingbridge
