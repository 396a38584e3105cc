// Generated from Source/Schema/settings.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>


namespace lacewingbridge {

struct Settings {
  std::string host;
  std::string data_centre;
  std::string region;
  std::string caller_address;
  std::string control_address;
  std::vector<std::string> seed_addresses;
  std::string store_address;
  std::string profile;
  std::uint32_t caller_threads = 0;
  std::uint32_t control_threads = 0;
  std::uint32_t probe_interval_ms = 0;
  std::uint32_t suspicion_ms = 0;
  std::uint32_t watch_lease_ms = 0;
  std::uint32_t drain_limit_ms = 0;
  std::uint32_t claim_retention_ms = 0;
  std::uint32_t claim_capacity = 0;
  std::uint32_t state_shards = 0;
  std::uint32_t store_timeout_ms = 0;
  std::uint32_t connect_timeout_ms = 0;
  std::string log_level;

  bool operator==(const Settings&) const = default;
};

// One key of the settings file.
struct SettingsField {
  std::string_view key;
  std::string_view unit;
  double min = 0;
  double max = 0;
  std::string_view default_value;
  bool required = false;
  std::string_view doc;
  std::string_view choices;
};

inline constexpr std::array<SettingsField, 20> kSettingsFields = {{
    {"host", "", 0.000000, 0.000000, "", true,
     "Name of this host, unique in the fleet and the same after a restart.", ""},
    {"data_centre", "", 0.000000, 0.000000, "", true,
     "Data centre of this host.", ""},
    {"region", "", 0.000000, 0.000000, "", true,
     "Region of the data centre.", ""},
    {"caller_address", "", 0.000000, 0.000000, "", true,
     "IP address and port on which callers' requests are accepted.", ""},
    {"control_address", "", 0.000000, 0.000000, "", true,
     "IP address and port for operators, targets and other daemons (TCP and UDP).", ""},
    {"seed_addresses", "", 0.000000, 0.000000, "[]", false,
     "Control addresses of daemons to ask first for the members of the fleet.", ""},
    {"store_address", "", 0.000000, 0.000000, "", true,
     "IP address and port of the platform's key-value store.", ""},
    {"profile", "", 0.000000, 0.000000, "convergence", false,
     "Favours short convergence time or few bytes on region links.", "convergence|bytes"},
    {"caller_threads", "threads", 4.000000, 4096.000000, "256", false,
     "Most simultaneous caller connections; each open connection holds a thread.", ""},
    {"control_threads", "threads", 4.000000, 512.000000, "16", false,
     "Most simultaneous connections on the control address.", ""},
    {"probe_interval_ms", "ms", 50.000000, 60000.000000, "1000", false,
     "Time between two probes of other members.", ""},
    {"suspicion_ms", "ms", 200.000000, 120000.000000, "5000", false,
     "Time a suspect member has to refute before it counts as dead.", ""},
    {"watch_lease_ms", "ms", 1000.000000, 120000.000000, "9000", false,
     "Duration of the lease of the daemon that watches the store for its scope.", ""},
    {"drain_limit_ms", "ms", 0.000000, 600000.000000, "30000", false,
     "Longest time that a shutdown waits for requests in flight.", ""},
    {"claim_retention_ms", "ms", 1000.000000, 86400000.000000, "600000", false,
     "Time for which a key is remembered after its request.", ""},
    {"claim_capacity", "keys", 16.000000, 1000000.000000, "20000", false,
     "Most keys that this daemon remembers as their owner.", ""},
    {"state_shards", "shards", 1.000000, 256.000000, "16", false,
     "Number of shards, each with its own lock, of the state used by requests.", ""},
    {"store_timeout_ms", "ms", 50.000000, 60000.000000, "2000", false,
     "Longest wait for an answer of the store, watches excepted.", ""},
    {"connect_timeout_ms", "ms", 10.000000, 60000.000000, "250", false,
     "Longest wait for a connection to a target or another daemon.", ""},
    {"log_level", "", 0.000000, 0.000000, "info", false,
     "Least severe events that are logged.", "info|warning|error"},
}};

// Calls visitor(field description, member) for every key, in schema order.
template <typename Settings, typename Visitor>
void VisitSettings(Settings& settings, Visitor&& visitor) {
  visitor(kSettingsFields[0], settings.host);
  visitor(kSettingsFields[1], settings.data_centre);
  visitor(kSettingsFields[2], settings.region);
  visitor(kSettingsFields[3], settings.caller_address);
  visitor(kSettingsFields[4], settings.control_address);
  visitor(kSettingsFields[5], settings.seed_addresses);
  visitor(kSettingsFields[6], settings.store_address);
  visitor(kSettingsFields[7], settings.profile);
  visitor(kSettingsFields[8], settings.caller_threads);
  visitor(kSettingsFields[9], settings.control_threads);
  visitor(kSettingsFields[10], settings.probe_interval_ms);
  visitor(kSettingsFields[11], settings.suspicion_ms);
  visitor(kSettingsFields[12], settings.watch_lease_ms);
  visitor(kSettingsFields[13], settings.drain_limit_ms);
  visitor(kSettingsFields[14], settings.claim_retention_ms);
  visitor(kSettingsFields[15], settings.claim_capacity);
  visitor(kSettingsFields[16], settings.state_shards);
  visitor(kSettingsFields[17], settings.store_timeout_ms);
  visitor(kSettingsFields[18], settings.connect_timeout_ms);
  visitor(kSettingsFields[19], settings.log_level);
}

}  // namespace lacewingbridge
