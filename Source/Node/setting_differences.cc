#include "Node/setting_differences.h"

#include <string_view>

#include "mesh.h"

namespace lacewingbridge {

std::vector<std::string> ListSettingDifferences(const MeshSettings& left,
                                                const MeshSettings& right) {
  std::vector<std::string> names;
  const auto compare = [&](std::string_view name, const auto& field) {
    if (left.*field != right.*field) {
      names.emplace_back(name);
    }
  };
  compare("host", &MeshSettings::host);
  compare("data_centre", &MeshSettings::data_centre);
  compare("region", &MeshSettings::region);
  compare("service", &MeshSettings::service);
  compare("target_address", &MeshSettings::target_address);
  compare("caller_address", &MeshSettings::caller_address);
  compare("peer_address", &MeshSettings::peer_address);
  compare("control_address", &MeshSettings::control_address);
  compare("ready_address", &MeshSettings::ready_address);
  compare("metrics_address", &MeshSettings::metrics_address);
  compare("store_address", &MeshSettings::store_address);
  compare("worker_threads", &MeshSettings::worker_threads);
  compare("min_lease_ms", &MeshSettings::min_lease_ms);
  compare("stop_limit_ms", &MeshSettings::stop_limit_ms);
  compare("retry_ratio", &MeshSettings::retry_ratio);
  compare("retry_slack", &MeshSettings::retry_slack);
  compare("retry_window_ms", &MeshSettings::retry_window_ms);
  compare("table_bound_ms", &MeshSettings::table_bound_ms);
  compare("link_bytes_per_second", &MeshSettings::link_bytes_per_second);
  compare("revoke_bound_ms", &MeshSettings::revoke_bound_ms);
  compare("quota_window_ms", &MeshSettings::quota_window_ms);
  compare("quota_overage", &MeshSettings::quota_overage);
  compare("quota_slack", &MeshSettings::quota_slack);
  return names;
}

}  // namespace lacewingbridge
