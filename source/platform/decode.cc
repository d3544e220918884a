#include "platform/decode.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/json_number.h"
#include "core/common/nesting.h"
#include "core/runtime/http_types.h"

namespace jujuberock::platform_adapter {

namespace {

using common::Duration;
using common::Error;
using common::GetUnsigned;
using common::kMaxInt64;
using common::ResultCode;
using Json = nlohmann::json;

// Longer times are cut to this, so that they can be computed with.
constexpr double kMaxMs = 365.0 * 24 * 60 * 60 * 1000;
// Integers up to this have an exact value as a double.
constexpr double kMaxExactInteger = 1LL << 53;
// More slots are taken for a forged entry.
constexpr uint64_t kMaxSlots = 1'000'000;
// Longer cold times are cut to this, so that a forged entry keeps an endpoint
// cold for a moment only.
constexpr double kMaxColdMs = 10.0 * 60 * 1000;
// Longer texts are taken for a forged entry; lines of the log have them.
constexpr size_t kMaxTextBytes = 1024;

Json ParseObject(const catalog::StoredObject& object) {
  if (common::ExceedsNesting(object.content))
    throw Error(ResultCode::kProtocolError,
                "object " + object.name + " is nested too deeply");
  Json value = Json::parse(object.content, nullptr, false);
  if (!value.is_object())
    throw Error(ResultCode::kProtocolError,
                "object " + object.name + " is not a JSON object");
  return value;
}

Duration GetMilliseconds(const Json& value, const char* name, double fallback) {
  const double ms = value.value(name, fallback);
  return common::FromSeconds(std::clamp(ms, 0.0, kMaxMs) / 1000);
}

// Returns the number if it is one and positive, otherwise 0.
double GetPositive(const Json& value, const char* name) {
  const auto found = value.find(name);
  if (found == value.end() || !found->is_number())
    return 0;
  return std::max(0.0, found->get<double>());
}

// Cuts off fractions.
int64_t GetInteger(const Json& value, const char* name, int64_t fallback) {
  const double number = value.value(name, static_cast<double>(fallback));
  if (number < -kMaxExactInteger || number > kMaxExactInteger)
    throw Error(ResultCode::kProtocolError,
                std::string(name) + " is out of range");
  return static_cast<int64_t>(number);
}

size_t GetSize(const Json& value, const char* name, size_t fallback) {
  const int64_t size = GetInteger(value, name, static_cast<int64_t>(fallback));
  if (size < 0)
    throw Error(ResultCode::kProtocolError, std::string(name) + " is negative");
  return static_cast<size_t>(size);
}

// Returns the elements of the list; none if the object has none of this name.
const Json& GetList(const Json& value, const char* name) {
  static const Json kEmpty = Json::array();
  const auto found = value.find(name);
  return found == value.end() ? kEmpty : *found;
}

// Null stands for none. A list that can't be read must not let requests out of
// their homes, so the configuration is rejected.
std::vector<std::string> DecodeHomes(const Json& value) {
  const Json& homes = GetList(value, "allowedRegions");
  return homes.is_null() ? std::vector<std::string>()
                         : homes.get<std::vector<std::string>>();
}

catalog::Route DecodeRoute(const Json& value) {
  catalog::Route route;
  route.name = value.value("name", "");
  route.host = value.at("host").get<std::string>();
  route.path_prefix = value.at("pathPrefix").get<std::string>();
  const auto kind =
      catalog::kRouteKindNames.ValueOf(value.at("kind").get<std::string>());
  // Unknown kinds fall back to the kind with the strictest retry rules.
  route.kind = kind.value_or(catalog::RouteKind::kNonIdempotent);
  route.timeout = GetMilliseconds(value, "timeoutMs", 30000);
  route.target_latency = GetMilliseconds(value, "targetLatencyMs", 1000);
  route.target_event_gap = GetMilliseconds(value, "gapAimMs", 0);
  route.priority = GetInteger(value, "priority", 5);
  route.max_attempts = GetInteger(value, "maxAttempts", 1);
  route.is_public = value.value("public", false);
  route.session_affinity = value.value("sessionAffinity", false);
  route.can_resume = value.value("canResume", false);
  route.homes = DecodeHomes(value);
  if (value.contains("service"))
    route.services.push_back({value["service"].get<std::string>(), 1});
  for (const Json& part : GetList(value, "backends")) {
    route.services.push_back(
        {part.at("service").get<std::string>(), part.value("weight", 1.0)});
  }
  if (route.services.empty())
    throw Error(ResultCode::kProtocolError,
                "route " + route.name + " has no service");
  return route;
}

catalog::EngineProperties DecodeEngine(const Json& value) {
  catalog::EngineProperties engine;
  engine.slots = GetInteger(value, "slots", 1);
  engine.kv_capacity_tokens = GetInteger(value, "kvCapacity", 0);
  engine.kv_token_bytes = GetInteger(value, "kvTokenBytes", 0);
  engine.link_mbps = value.value("linkMbps", 0.0);
  for (const Json& model : GetList(value, "models"))
    engine.models.push_back(model.value("name", ""));
  return engine;
}

catalog::Service DecodeService(const Json& value) {
  catalog::Service service;
  service.name = value.at("name").get<std::string>();
  service.health_path = value.value("healthPath", "");
  service.max_connections = GetInteger(value, "maxConns", 0);
  service.cold_rate = GetPositive(value, "coldPerS");
  service.cold_time = common::FromSeconds(
      std::min(GetPositive(value, "coldStartS") * 1000, kMaxColdMs) / 1000);
  if (value.contains("engine"))
    service.engine = DecodeEngine(value["engine"]);
  if (value.contains("kvStoreAddr")) {
    catalog::CacheStoreProperties store;
    store.address = value["kvStoreAddr"].get<std::string>();
    store.zone = value.value("zone", "");
    store.capacity_tokens = GetInteger(value, "kvCapacity", 0);
    store.max_event_calls = GetInteger(value, "maxInflight", 1);
    store.link_mbps = value.value("linkMbps", 0.0);
    store.managed = value.value("managed", false);
    service.cache_store = std::move(store);
  }
  return service;
}

catalog::Team DecodeTeam(const Json& value) {
  catalog::Team team;
  team.name = value.at("name").get<std::string>();
  team.keys = value.value("apiKeys", std::vector<std::string>());
  if (value.contains("priority") && value["priority"].is_number_integer())
    team.priority = GetInteger(value, "priority", 0);
  team.isolated = value.value("isolated", false);
  team.homes = DecodeHomes(value);
  return team;
}

catalog::CallerLimits DecodeLimits(const Json& value) {
  catalog::CallerLimits limits;
  limits.header_bytes = GetSize(value, "maxHeaderBytes", limits.header_bytes);
  limits.body_bytes = GetSize(value, "maxBodyBytes", limits.body_bytes);
  limits.header_timeout = GetMilliseconds(
      value, "headerTimeoutMs", common::ToMilliseconds(limits.header_timeout));
  limits.idle_timeout = GetMilliseconds(
      value, "idleTimeoutMs", common::ToMilliseconds(limits.idle_timeout));
  return limits;
}

std::vector<catalog::ModelVersion> DecodeModels(const Json& value) {
  std::vector<catalog::ModelVersion> models;
  for (const Json& model : value) {
    models.push_back({model.at("name").get<std::string>(),
                      GetUnsigned(model.at("version"), kMaxInt64)});
  }
  return models;
}

std::string GetText(const Json& value, const char* name) {
  auto text = value.at(name).get<std::string>();
  if (text.size() > kMaxTextBytes)
    throw Error(ResultCode::kProtocolError, std::string(name) + " is too long");
  return text;
}

// Whether the text is an IP address and a port that can be connected to.
bool IsAddress(const std::string& text) {
  const auto address = runtime::Address::Parse(text);
  if (!address || address->port == 0)
    return false;
  boost::system::error_code error;
  boost::asio::ip::make_address(address->ip, error);
  return !error;
}

catalog::Endpoint DecodeValidEndpoint(const catalog::StoredObject& object) {
  const Json value = ParseObject(object);
  catalog::Endpoint endpoint;
  endpoint.id = object.name;
  endpoint.service = GetText(value, "service");
  endpoint.address = GetText(value, "address");
  if (!IsAddress(endpoint.address))
    throw Error(ResultCode::kProtocolError, "malformed address");
  endpoint.zone = GetText(value, "zone");
  // Of its program. The versions of its weights are listed with its models.
  if (value.contains("version"))
    endpoint.software = GetText(value, "version");
  endpoint.slots =
      static_cast<int64_t>(GetUnsigned(value.at("slots"), kMaxSlots));
  if (value.contains("born"))
    endpoint.started_at_ms = GetUnsigned(value["born"], kMaxInt64);
  const auto state = value.at("state").get<std::string>();
  if (state != "ready" && state != "draining")
    throw Error(ResultCode::kProtocolError, "unknown endpoint state");
  endpoint.leaving = state == "draining";
  if (value.contains("coldLeftMs")) {
    const double cold_ms = value["coldLeftMs"].get<double>();
    endpoint.cold_left =
        common::FromSeconds(std::clamp(cold_ms, 0.0, kMaxColdMs) / 1000);
  }
  if (value.contains("models"))
    endpoint.models = DecodeModels(value["models"]);
  return endpoint;
}

}  // namespace

catalog::Config DecodeConfig(const catalog::StoredObject& object) {
  try {
    const Json value = ParseObject(object);
    catalog::Config config;
    config.version = GetUnsigned(value.at("version"), kMaxInt64);
    for (const Json& route : GetList(value, "routes"))
      config.routes.push_back(DecodeRoute(route));
    for (const Json& service : GetList(value, "services"))
      config.services.push_back(DecodeService(service));
    for (const Json& team : GetList(value, "tenants"))
      config.teams.push_back(DecodeTeam(team));
    config.limits = DecodeLimits(value.value("limits", Json::object()));
    return config;
  } catch (const Json::exception& error) {
    throw Error(ResultCode::kProtocolError,
                std::string("malformed configuration: ") + error.what());
  }
}

std::optional<catalog::Endpoint> DecodeEndpoint(
    const catalog::StoredObject& object) {
  try {
    return DecodeValidEndpoint(object);
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const Error&) {
    return std::nullopt;
  }
}

catalog::ModelVersion DecodeModelVersion(const catalog::StoredObject& object) {
  try {
    const Json value = ParseObject(object);
    return {value.at("model").get<std::string>(),
            GetUnsigned(value.at("version"), kMaxInt64)};
  } catch (const Json::exception& error) {
    throw Error(ResultCode::kProtocolError,
                std::string("malformed model version: ") + error.what());
  }
}

}  // namespace jujuberock::platform_adapter
