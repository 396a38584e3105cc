#ifndef LACEWINGBRIDGE_SOURCE_NODE_SETTING_DIFFERENCES_H_
#define LACEWINGBRIDGE_SOURCE_NODE_SETTING_DIFFERENCES_H_

#include <string>
#include <vector>

namespace lacewingbridge {

struct MeshSettings;

// Returns the names of the settings that differ.
std::vector<std::string> ListSettingDifferences(const MeshSettings& left,
                                                const MeshSettings& right);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_NODE_SETTING_DIFFERENCES_H_
