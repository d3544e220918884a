#ifndef CORE_GATEWAY_SETTINGS_H_
#define CORE_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/settings.h"
#include "core/common/time.h"

namespace jujuberock::gateway {

// If a check that is made every 100 ms comes later than this, the process was
// suspended.
inline constexpr common::Duration kHostStallThreshold =
    std::chrono::milliseconds(450);

// Settings of one gateway host.
struct Settings {
  std::string host_name;
  std::string zone;
  std::string caller_address;
  std::string ready_address;
  std::string platform_address;
  // 0: load information and views are not exchanged with other hosts.
  int64_t peer_port = 0;
  // 0: requests are not handed over between hosts.
  int64_t handover_port = 0;
  // Hosts in the zone from which on some of them watch the store for the
  // others; 0: never.
  int64_t relay_min_hosts = 12;
  // 0: metrics are not served.
  int64_t metrics_port = 0;
  std::string log_level = "requests";
  bool engines_check_fences = false;
  common::Duration revocation_bound = std::chrono::milliseconds(5000);
  common::Duration version_bound = std::chrono::milliseconds(8000);
  common::Duration lease_time = std::chrono::milliseconds(3000);
  common::Duration stop_grace = std::chrono::milliseconds(8000);
  common::Duration retry_window = std::chrono::milliseconds(10000);
  double retry_ratio = 0.2;
  double retry_slack = 0;
  int64_t assumed_hosts = 4;
  common::Duration endpoint_heartbeat = std::chrono::milliseconds(1200);
  common::Duration registration_lag = std::chrono::milliseconds(3000);
  common::Duration config_watch_wait = std::chrono::milliseconds(1300);
  common::Duration endpoints_watch_wait = std::chrono::milliseconds(2500);
  common::Duration other_watch_wait = std::chrono::milliseconds(4000);
  // 0: unknown.
  int64_t memory_limit_mb = 0;
  int64_t descriptor_limit = 0;
  common::Duration body_timeout = std::chrono::seconds(30);
  common::Duration body_progress_timeout = std::chrono::seconds(10);
  // 0: the operator evacuates no zones.
  common::Duration evacuation_bound{0};
  common::Duration evacuations_watch_wait = std::chrono::milliseconds(10000);
  // "zone=region,zone=region,..."
  std::string zone_regions;
};

// Returns the declarations of all settings, with names, ranges and help texts.
const std::vector<common::SettingDeclaration<Settings>>& SettingTable();

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_SETTINGS_H_
