// Guards against invalid settings that are accepted, errors that do not name the remedy, and
// defaults that differ from the schema's.
#include <criterion/criterion.h>

#include <string>
#include <string_view>
#include <vector>

#include "Daemon/daemon_settings_loader.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

const std::string kRequired =
    "host = \"host-1\"\n"
    "data_centre = \"dc-1\"\n"
    "region = \"carolinas\"\n"
    "caller_address = \"127.0.0.1:7000\"\n"
    "control_address = \"127.0.0.1:7001\"\n"
    "store_address = \"127.0.0.1:7400\"\n";

std::string GetMessageOf(const std::string& text) {
  const Result<Settings> result = DaemonSettingsLoader::LoadText(text, "daemon.toml");
  cr_assert_not(IsOk(result), "accepted: %s", text.c_str());
  cr_assert_eq(GetError(result).kind, ErrorKind::kSettingsInvalid);
  return GetError(result).GetMessage();
}

void AssertContains(const std::string& message, const std::vector<std::string>& parts) {
  for (const std::string& part : parts) {
    cr_assert(message.find(part) != std::string::npos, "no \"%s\" in: %s", part.c_str(),
              message.c_str());
  }
}

// Checks that each member has the default of the schema.
struct DefaultCheck {
  void operator()(const SettingsField& field, const std::string& member) const {
    cr_assert(field.required || member == field.default_value, "%s", field.key.data());
  }
  void operator()(const SettingsField& field, const std::uint32_t& member) const {
    cr_assert_eq(std::to_string(member), std::string(field.default_value));
  }
  void operator()(const SettingsField& /*field*/, const std::vector<std::string>& member) const {
    cr_assert(member.empty());
  }
};

// Checks that both ends of the range of each number are accepted, and that values outside it and
// texts are refused with a message that names the range.
struct RangeCheck {
  void operator()(const SettingsField& field, const std::uint32_t& /*member*/) const {
    const std::string key(field.key);
    const auto least = static_cast<std::int64_t>(field.min);
    const auto most = static_cast<std::int64_t>(field.max);
    for (const std::int64_t inside : {least, most}) {
      const auto text = kRequired + key + " = " + std::to_string(inside) + "\n";
      cr_assert(IsOk(DaemonSettingsLoader::LoadText(text, "daemon.toml")), "%s", text.c_str());
    }
    for (const std::int64_t outside : {least - 1, most + 1, most + (std::int64_t{1} << 32)}) {
      AssertContains(GetMessageOf(kRequired + key + " = " + std::to_string(outside) + "\n"),
                     {"\"" + key + "\"", std::to_string(outside), std::to_string(least),
                      std::to_string(most), "Remedy"});
    }
    AssertContains(GetMessageOf(kRequired + key + " = \"many\"\n"), {"\"" + key + "\"", "many"});
  }
  template <typename Other>
  void operator()(const SettingsField& /*field*/, const Other& /*member*/) const {}
};

}  // namespace

Test(settings, defaults_are_those_of_the_schema) {
  const Result<Settings> loaded = DaemonSettingsLoader::LoadText(kRequired, "daemon.toml");
  cr_assert(IsOk(loaded));
  VisitSettings(GetValue(loaded), DefaultCheck());
  cr_assert_eq(GetValue(loaded).host, "host-1");
}

Test(settings, numbers_outside_their_range_are_refused) {
  Settings settings;
  VisitSettings(settings, RangeCheck());
}

Test(settings, every_required_key_is_named_when_it_is_missing) {
  const std::string message = GetMessageOf("");
  for (const SettingsField& field : kSettingsFields) {
    if (field.required) {
      AssertContains(message, {"\"" + std::string(field.key) + "\" is missing"});
    }
  }
}

Test(settings, all_errors_are_reported_at_once) {
  const std::string message = GetMessageOf(
      "host = \"\"\ndata_centre = 3\nregion = \"r\"\ncaller_address = \"localhost\"\n"
      "control_address = \"127.0.0.1:7001\"\nprofile = \"fast\"\nstate_shards = 0\n"
      "seed_addresses = [\"127.0.0.1:1\", \"nowhere\"]\nclaim_capcity = 20\n");
  AssertContains(message,
                 {"daemon.toml", "\"host\"", "not empty", "\"data_centre\"", "text in quotes",
                  "\"caller_address\"", "localhost", "IP:PORT", "\"store_address\" is missing",
                  "\"profile\"", "fast", "convergence|bytes", "\"state_shards\"", "from 1 to 256",
                  "\"seed_addresses\"", "nowhere", "claim_capcity", "claim_capacity", "Remedy"});
}

Test(settings, invalid_and_missing_files_are_refused) {
  AssertContains(GetMessageOf("host = \n"), {"daemon.toml"});
  const Result<Settings> missing = DaemonSettingsLoader::LoadFile("/nowhere/daemon.toml");
  cr_assert_not(IsOk(missing));
  cr_assert_eq(GetError(missing).kind, ErrorKind::kFileUnreadable);
}
