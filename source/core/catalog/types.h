#ifndef CORE_CATALOG_TYPES_H_
#define CORE_CATALOG_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/name_table.h"
#include "core/common/time.h"

namespace jujuberock::catalog {

// Retry semantics of a route: idempotent requests may run more than once,
// non-idempotent ones at most once, and streams are retried only if they can be
// resumed.
enum class RouteKind { kIdempotent, kNonIdempotent, kStream };

inline constexpr common::NameTable<RouteKind, 3> kRouteKindNames(
    {"idempotent", "non_idempotent", "stream"});

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // Maximum total time of a request.
  common::Duration timeout{0};
  // Target time to the first byte of a response.
  common::Duration target_latency{0};
  // Target for the longest gap between two events of a stream.
  common::Duration target_event_gap{0};
  // 0 is the most urgent.
  int64_t priority = 0;
  // Never empty. A request picks one at random by weight.
  std::vector<WeightedService> services;
  // Maximum number of sends of one request.
  int64_t max_attempts = 1;
  // Requires no API key.
  bool is_public = false;
  // Requests carry a prompt; prefer endpoints that may have it cached.
  bool session_affinity = false;
  bool can_resume = false;
  // Regions that may see the requests; any if empty.
  std::vector<std::string> homes;
};

// Properties common to all engines of a service.
struct EngineProperties {
  int64_t slots = 0;
  int64_t kv_capacity_tokens = 0;
  int64_t kv_token_bytes = 0;
  double link_mbps = 0;
  std::vector<std::string> models;
};

struct CacheStoreProperties {
  std::string address;
  std::string zone;
  int64_t capacity_tokens = 0;
  // Maximum concurrent long polls for cache events, over all hosts.
  int64_t max_event_calls = 0;
  double link_mbps = 0;
  // The store evicts nothing by itself; hosts free its contents.
  bool managed = false;
};

struct Service {
  std::string name;
  std::string health_path;
  // Maximum connections to one endpoint, over all hosts.
  int64_t max_connections = 0;
  // Requests a second that one endpoint takes while it is cold, over all hosts;
  // 0 for no limit.
  double cold_rate = 0;
  // How long an endpoint is cold after its start.
  common::Duration cold_time{0};
  std::optional<EngineProperties> engine;
  std::optional<CacheStoreProperties> cache_store;
};

struct Team {
  std::string name;
  std::vector<std::string> keys;
  // Overrides the priority of the route.
  std::optional<int64_t> priority;
  // Does not share cached prompt parts with other teams.
  bool isolated = false;
  // Regions that may see the requests; any if empty. Apply beside those of the
  // route.
  std::vector<std::string> homes;
};

// Limits on callers' connections and requests.
struct CallerLimits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 4 * 1024 * 1024;
  common::Duration header_timeout = std::chrono::seconds(3);
  common::Duration idle_timeout = std::chrono::seconds(15);
};

struct Config {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Team> teams;
  CallerLimits limits;
};

struct ModelVersion {
  std::string model;
  uint64_t version = 0;
};

// One instance of an endpoint, as it registered itself.
struct Endpoint {
  std::string id;
  // Start time in Unix milliseconds, 0 if not given. Distinguishes restarts
  // under the same id.
  uint64_t started_at_ms = 0;
  std::string service;
  std::string address;
  std::string zone;
  // Version of its program, not of weights; empty if not given. Versions have
  // no order.
  std::string software;
  int64_t slots = 1;
  // Draining: finishes running requests, accepts no new ones.
  bool leaving = false;
  // How much longer it was cold when it wrote its entry; nothing if the entry
  // does not say.
  std::optional<common::Duration> cold_left;
  // When this host read the entry. Unset before that.
  common::TimePoint read_at;
  std::vector<ModelVersion> models;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_TYPES_H_
