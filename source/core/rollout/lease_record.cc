#include "core/rollout/lease_record.h"

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/json_number.h"

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
    record.token = common::GetUnsigned(value.at("token"));
    record.renewals = common::GetUnsigned(value.at("renewals"));
    record.ordered = value.at("ordered").get<bool>();
    record.model = value.at("model").get<std::string>();
    record.version = common::GetUnsigned(value.at("version"));
    record.reserved = value.at("reserved").get<std::vector<std::string>>();
    record.updated = value.at("updated").get<std::vector<std::string>>();
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const common::Error&) {
    return std::nullopt;
  }
}

}  // namespace jujuberock::rollout
