#ifndef CORE_TABLE_TYPES_H_
#define CORE_TABLE_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/platform/object.h"

namespace jujuberock::table {

using platform::Object;
using platform::Version;

// Kinds of platform objects that make up the table. Journal and order objects
// are not part of it; only the components that own them read them.
enum class Kind { kTeam, kService, kEndpoint, kHost, kStore };
constexpr size_t kKindCount = 5;

std::string_view NameOf(Kind kind);
std::optional<Kind> KindOf(std::string_view name);

constexpr int kMinutesPerDay = 24 * 60;

// Time window [from, to) of a day, in minutes after midnight in the
// deployment's time zone. `to` is at most kMinutesPerDay.
struct Band {
  int from_minute = 0;
  int to_minute = kMinutesPerDay;
};

struct TeamBand : Band {
  // Fair-share weight relative to the other teams.
  double weight = 1;
  // Concurrency limit of the team over the whole deployment.
  int64_t max_running = 0;
  // Maximum time to first token.
  common::Duration patience{0};
};

struct Team {
  std::string name;
  Version version = 0;
  // SHA-256 of each accepted bearer key, as 64 lower-case hexadecimal digits.
  std::vector<std::string> key_digests;
  // Ordered; cover the day exactly once.
  std::vector<TeamBand> bands;
};

enum class ServiceKind { kEngine, kPlain };

struct ServiceBand : Band {
  common::Duration patience{0};
  // Maximum number of requests of the service queued on one host.
  int64_t max_queue = 0;
};

// Matches calls that are not idempotent and must run at most once.
struct NonIdempotentRule {
  std::string method;
  std::string path_prefix;
};

struct Service {
  std::string name;
  Version version = 0;
  ServiceKind kind = ServiceKind::kEngine;
  std::vector<std::string> models;
  // Version of the model weights to serve; empty for a plain service.
  std::string weight_version;
  std::vector<NonIdempotentRule> non_idempotent;
  // Path prefix of the status calls; empty if the service has none.
  std::string status_path;
  int64_t loads_at_once = 1;
  // Retry budget as a fraction of requests, 0 to 1.
  double retry_budget = 0;
  // Fraction of each team's limit that each zone may use. If empty, the limit
  // is divided evenly over the zones.
  std::map<std::string, double> zone_shares;
  // Ordered; cover the day exactly once.
  std::vector<ServiceBand> bands;
};

enum class MemberState { kLive, kLeaving };

struct Endpoint {
  std::string name;
  Version version = 0;
  std::string service;
  std::string zone;
  // "ip:port"
  std::string address;
  MemberState state = MemberState::kLive;
};

struct HostEntry {
  std::string name;
  Version version = 0;
  std::string zone;
  std::string address;
  MemberState state = MemberState::kLive;
};

struct StoreEntry {
  std::string name;
  Version version = 0;
  std::string zone;
  std::string address;
};

// Limits that apply to requests of one team to one service at a given time.
struct EffectiveLimits {
  double weight = 1;
  int64_t max_running = 0;
  int64_t max_queue = 0;
  // The smaller of the patience of the team's and of the service's band.
  common::Duration patience{0};
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_TYPES_H_
