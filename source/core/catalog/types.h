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

// What may be repeated: idempotent requests may run more than once,
// non-idempotent ones at most once, streams only where they can be resumed.
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
  // Longest time that a request may be kept.
  common::Duration timeout{0};
  // Time to the first byte of a response that is on time.
  common::Duration target_latency{0};
  // Longest pause between two events of a stream that is on time.
  common::Duration event_gap{0};
  // 0 is the most urgent.
  int64_t priority = 0;
  // At least one.
  std::vector<WeightedService> services;
  // Endpoints that one request may be sent to.
  int64_t max_attempts = 1;
  // Needs no key.
  bool is_public = false;
  // Requests carry a prompt that endpoints may have cached.
  bool session_affinity = false;
  bool can_resume = false;
};

// Properties that all engines of a service share.
struct EngineTraits {
  int64_t slots = 0;
  int64_t kv_capacity_tokens = 0;
  int64_t kv_token_bytes = 0;
  double link_mbps = 0;
  std::vector<std::string> models;
};

struct CacheStoreTraits {
  std::string address;
  std::string zone;
  int64_t capacity_tokens = 0;
  // Calls for cache events that the store holds at once, over all hosts.
  int64_t max_event_calls = 0;
  double link_mbps = 0;
  // The store drops nothing on its own.
  bool managed = false;
};

struct Service {
  std::string name;
  std::string health_path;
  // Connections that one endpoint accepts from all hosts together.
  int64_t max_connections = 0;
  std::optional<EngineTraits> engine;
  std::optional<CacheStoreTraits> cache_store;
};

struct Team {
  std::string name;
  std::vector<std::string> keys;
  // Goes before the priority of the route.
  std::optional<int64_t> priority;
  // Shares no cached context with other teams.
  bool isolated = false;
};

// Bounds of what a caller may send.
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

// One start of an endpoint, as it registered itself.
struct Endpoint {
  std::string id;
  // Unix milliseconds of its start; 0 when it does not say. Tells two starts
  // under one id apart.
  uint64_t born = 0;
  std::string service;
  std::string address;
  std::string zone;
  int64_t slots = 1;
  // Serves what it has and takes nothing new.
  bool leaving = false;
  std::vector<ModelVersion> models;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_TYPES_H_
