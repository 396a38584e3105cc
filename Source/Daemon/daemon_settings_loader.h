#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_DAEMON_SETTINGS_LOADER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_DAEMON_SETTINGS_LOADER_H_

#include <string>
#include <string_view>

#include "Core/result.h"
#include "settings.h"

namespace lacewingbridge {

// Reads and validates the daemon's settings, which are written in TOML.
class DaemonSettingsLoader {
 public:
  static Result<Settings> LoadFile(const std::string& path);

  // Reports all problems at once. Each names the key, value, permitted range and remedy.
  static Result<Settings> LoadText(const std::string& text, const std::string& file_name);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_DAEMON_SETTINGS_LOADER_H_
