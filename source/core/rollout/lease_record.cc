#include "core/rollout/lease_record.h"

#include <nlohmann/json.hpp>

namespace jujuberock::rollout {

using Json = nlohmann::json;

std::string RenderLeaseRecord(const LeaseRecord& record) {
  Json value;
  value["holder"] = record.holder;
  value["token"] = record.token;
  value["renewals"] = record.renewals;
  value["ordered"] = record.ordered;
  value["model"] = record.model;
  value["version"] = record.version;
  value["reserved"] = record.reserved;
  // Hosts of former builds do not accept a record without this list.
  value["upcoming"] = Json::array();
  value["updated"] = record.updated;
  return value.dump();
}

std::optional<LeaseRecord> ParseLeaseRecord(std::string_view text) {
  const Json value = Json::parse(text, nullptr, false);
  if (!value.is_object())
    return std::nullopt;
  try {
    LeaseRecord record;
    record.holder = value.at("holder").get<std::string>();
    record.token = value.at("token").get<uint64_t>();
    record.renewals = value.at("renewals").get<uint64_t>();
    record.ordered = value.at("ordered").get<bool>();
    record.model = value.at("model").get<std::string>();
    record.version = value.at("version").get<uint64_t>();
    record.reserved = value.at("reserved").get<std::vector<std::string>>();
    record.updated = value.at("updated").get<std::vector<std::string>>();
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace jujuberock::rollout
