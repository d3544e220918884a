#include "core/gateway/settings.h"

#include "core/catalog/homes.h"
#include "core/events/event_log.h"
#include "core/runtime/http_types.h"

namespace jujuberock::gateway {

namespace {

std::optional<std::string> CheckAddress(std::string_view text) {
  if (runtime::Address::Parse(text))
    return std::nullopt;
  return "must have the form ip:port";
}

std::optional<std::string> CheckNotEmpty(std::string_view text) {
  if (!text.empty())
    return std::nullopt;
  return "must not be empty";
}

std::optional<std::string> CheckRegions(std::string_view text) {
  if (catalog::ZoneRegions::Parse(text))
    return std::nullopt;
  return "must have the form zone=region,zone=region,...";
}

std::optional<std::string> CheckLevel(std::string_view text) {
  if (events::kLevelNames.ValueOf(text))
    return std::nullopt;
  return "must be off, lifecycle, beliefs or requests";
}

}  // namespace

const std::vector<common::SettingDeclaration<Settings>>& SettingTable() {
  using S = Settings;
  static const std::vector<common::SettingDeclaration<Settings>> kTable = {
      {"host_name", &S::host_name, "", 0, 0, "Name of this host", true,
       CheckNotEmpty},
      {"zone", &S::zone, "", 0, 0, "Availability zone of this host", true,
       CheckNotEmpty},
      {"caller_address", &S::caller_address, "", 0, 0,
       "Listen address for callers", true, CheckAddress},
      {"ready_address", &S::ready_address, "", 0, 0,
       "Listen address of the readiness probe", true, CheckAddress},
      {"platform_address", &S::platform_address, "", 0, 0,
       "Address of the platform's store", true, CheckAddress},
      {"metrics_port", &S::metrics_port, "", 0, 65535,
       "Port of `/metrics` on the IP address of caller_address; 0: none"},
      {"peer_port", &S::peer_port, "", 0, 65535,
       "UDP port for load information from other hosts, and TCP port for views "
       "of the platform's store, on the IP address of caller_address; 0: none"},
      {"handover_port", &S::handover_port, "", 0, 65535,
       "TCP port for requests that other hosts hand over while they do not "
       "reach the endpoints, on the IP address of caller_address; 0: none, and "
       "this host hands none over"},
      {"relay_min_hosts", &S::relay_min_hosts, "hosts", 0, 10000,
       "Hosts in the zone from which on some of them watch the platform's "
       "store for the others; 0: never"},
      {"log_level", &S::log_level, "", 0, 0,
       "Most detailed log level: off, lifecycle, beliefs or requests", false,
       CheckLevel},
      {"engines_check_fences", &S::engines_check_fences, "", 0, 0,
       "Engines refuse orders with an old fencing token"},
      {"revocation_bound_ms", &S::revocation_bound, "ms", 1000, 600000,
       "Maximum time that an API key is accepted after its revocation"},
      {"version_bound_ms", &S::version_bound, "ms", 1000, 600000,
       "Maximum time that requests run on old weights after new ones were "
       "named"},
      {"lease_ms", &S::lease_time, "ms", 500, 60000,
       "Duration of the lease to send orders to engines"},
      {"stop_grace_ms", &S::stop_grace, "ms", 1000, 600000,
       "Time from SIGTERM until the process is killed"},
      {"retry_window_ms", &S::retry_window, "ms", 1000, 600000,
       "Window in which retries are counted"},
      {"retry_ratio", &S::retry_ratio, "", 0, 10,
       "Retries allowed per request in the window"},
      {"retry_slack", &S::retry_slack, "retries", 0, 100000,
       "Additional retries allowed in the window, over all hosts"},
      {"assumed_hosts", &S::assumed_hosts, "hosts", 1, 10000,
       "Number of hosts assumed until they have been counted"},
      {"endpoint_heartbeat_ms", &S::endpoint_heartbeat, "ms", 10, 600000,
       "Interval at which endpoints report to the platform's store"},
      {"registration_lag_ms", &S::registration_lag, "ms", 0, 600000,
       "Maximum time from the start of an endpoint until hosts read of it in "
       "the platform's store"},
      {"config_watch_wait_ms", &S::config_watch_wait, "ms", 100, 30000,
       "Maximum wait of one watch of the configuration"},
      {"endpoints_watch_wait_ms", &S::endpoints_watch_wait, "ms", 100, 30000,
       "Maximum wait of one watch of the endpoints"},
      {"other_watch_wait_ms", &S::other_watch_wait, "ms", 100, 30000,
       "Maximum wait of one watch of weight versions and of hosts"},
      {"memory_limit_mb", &S::memory_limit_mb, "MB", 0, 1 << 20,
       "Memory of this process, a part of which bounds what it holds for "
       "callers; 0: unknown, 160 MB are assumed"},
      {"descriptor_limit", &S::descriptor_limit, "descriptors", 0, 1 << 24,
       "File descriptors of this process, which bound the connections of "
       "callers; 0: only the system's limit counts"},
      {"body_timeout_ms", &S::body_timeout, "ms", 10, 600000,
       "Time for a request's body to arrive"},
      {"body_progress_timeout_ms", &S::body_progress_timeout, "ms", 10, 600000,
       "Time for the next bytes of a request's body to arrive"},
      {"evacuation_bound_ms", &S::evacuation_bound, "ms", 0, 600000,
       "Maximum time until requests no longer go to a zone that the operator "
       "has evacuated; 0: no zone is evacuated"},
      {"evacuations_watch_wait_ms", &S::evacuations_watch_wait, "ms", 100,
       30000, "Maximum wait of one watch of evacuated zones"},
      {"zone_regions", &S::zone_regions, "", 0, 0,
       "Region of each availability zone: zone=region,zone=region,...", false,
       CheckRegions},
  };
  return kTable;
}

}  // namespace jujuberock::gateway
