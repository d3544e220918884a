#include "platform/decode.h"

#include <limits>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/common/error.h"

namespace jujuberock::platform_adapter {

namespace {

using common::Duration;
using common::Error;
using common::ResultCode;
using Json = nlohmann::json;

Json ParseObject(const catalog::StoredObject& object) {
  Json value = Json::parse(object.content, nullptr, false);
  if (!value.is_object())
    throw Error(ResultCode::kProtocolError,
                "object " + object.name + " is not a JSON object");
  return value;
}

Duration GetMilliseconds(const Json& value, const char* name, double fallback) {
  return common::FromSeconds(value.value(name, fallback) / 1000);
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
  route.priority = value.value("priority", int64_t{5});
  route.max_attempts = value.value("maxAttempts", int64_t{1});
  route.is_public = value.value("public", false);
  route.session_affinity = value.value("sessionAffinity", false);
  route.can_resume = value.value("canResume", false);
  if (value.contains("service"))
    route.services.push_back({value["service"].get<std::string>(), 1});
  for (const Json& part : value.value("backends", Json::array())) {
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
  engine.slots = value.value("slots", int64_t{1});
  engine.kv_capacity_tokens = value.value("kvCapacity", int64_t{0});
  engine.kv_token_bytes = value.value("kvTokenBytes", int64_t{0});
  engine.link_mbps = value.value("linkMbps", 0.0);
  for (const Json& model : value.value("models", Json::array()))
    engine.models.push_back(model.value("name", ""));
  return engine;
}

catalog::Service DecodeService(const Json& value) {
  catalog::Service service;
  service.name = value.at("name").get<std::string>();
  service.health_path = value.value("healthPath", "");
  service.max_connections = value.value("maxConns", int64_t{0});
  if (value.contains("engine"))
    service.engine = DecodeEngine(value["engine"]);
  if (value.contains("kvStoreAddr")) {
    catalog::CacheStoreProperties store;
    store.address = value["kvStoreAddr"].get<std::string>();
    store.zone = value.value("zone", "");
    store.capacity_tokens = value.value("kvCapacity", int64_t{0});
    store.max_event_calls = value.value("maxInflight", int64_t{1});
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
    team.priority = value["priority"].get<int64_t>();
  team.isolated = value.value("isolated", false);
  return team;
}

catalog::CallerLimits DecodeLimits(const Json& value) {
  catalog::CallerLimits limits;
  limits.header_bytes = value.value("maxHeaderBytes", limits.header_bytes);
  limits.body_bytes = value.value("maxBodyBytes", limits.body_bytes);
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
                      model.at("version").get<uint64_t>()});
  }
  return models;
}

// Accepts only non-negative integers that fit into int64_t: anything else
// indicates a forged entry.
uint64_t GetUnsigned(const Json& value) {
  const bool is_negative = value.is_number_integer() &&
                           !value.is_number_unsigned() &&
                           value.get<int64_t>() < 0;
  if (!value.is_number_integer() || is_negative)
    throw Error(ResultCode::kProtocolError, "expected a non-negative integer");
  const auto number = value.get<uint64_t>();
  if (number > static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
    throw Error(ResultCode::kProtocolError, "the number is too large");
  return number;
}

catalog::Endpoint DecodeValidEndpoint(const catalog::StoredObject& object) {
  const Json value = ParseObject(object);
  catalog::Endpoint endpoint;
  endpoint.id = object.name;
  endpoint.service = value.at("service").get<std::string>();
  endpoint.address = value.at("address").get<std::string>();
  endpoint.zone = value.at("zone").get<std::string>();
  endpoint.slots = static_cast<int64_t>(GetUnsigned(value.at("slots")));
  if (value.contains("born"))
    endpoint.started_at_ms = GetUnsigned(value["born"]);
  const auto state = value.at("state").get<std::string>();
  if (state != "ready" && state != "draining")
    throw Error(ResultCode::kProtocolError, "unknown endpoint state");
  endpoint.leaving = state == "draining";
  if (value.contains("models"))
    endpoint.models = DecodeModels(value["models"]);
  return endpoint;
}

}  // namespace

catalog::Config DecodeConfig(const catalog::StoredObject& object) {
  try {
    const Json value = ParseObject(object);
    catalog::Config config;
    config.version = value.at("version").get<uint64_t>();
    for (const Json& route : value.value("routes", Json::array()))
      config.routes.push_back(DecodeRoute(route));
    for (const Json& service : value.value("services", Json::array()))
      config.services.push_back(DecodeService(service));
    for (const Json& team : value.value("tenants", Json::array()))
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
            GetUnsigned(value.at("version"))};
  } catch (const Json::exception& error) {
    throw Error(ResultCode::kProtocolError,
                std::string("malformed model version: ") + error.what());
  }
}

}  // namespace jujuberock::platform_adapter
