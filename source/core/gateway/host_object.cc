#include "core/gateway/host_object.h"

#include <nlohmann/json.hpp>

namespace jujuberock::gateway {

namespace {

using common::Duration;
using suspects::CrashMark;
using suspects::PartEvidence;
using suspects::PartMark;
using Json = nlohmann::json;

// Wall clocks of hosts may differ by this much. Smaller differences are not
// taken for the age of an object.
constexpr Duration kMaxClockDifference = std::chrono::seconds(10);

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Duration GetMilliseconds(const Json& value) {
  return std::chrono::milliseconds(value.get<int64_t>());
}

Json EncodeMark(const CrashMark& mark) {
  Json item;
  item["fingerprint"] = mark.fingerprint;
  item["endpoint"] = mark.endpoint;
  item["age_ms"] = ToMilliseconds(mark.age);
  return item;
}

CrashMark DecodeMark(const Json& item) {
  CrashMark mark;
  mark.fingerprint = item.at("fingerprint").get<uint64_t>();
  mark.endpoint = item.at("endpoint").get<std::string>();
  mark.age = GetMilliseconds(item.at("age_ms"));
  return mark;
}

Json EncodePartMark(const PartMark& mark) {
  Json item;
  item["evidence"] = suspects::kPartEvidenceNames.NameOf(mark.evidence);
  item["part"] = mark.part;
  item["age_ms"] = ToMilliseconds(mark.age);
  if (mark.evidence == PartEvidence::kCrash) {
    item["endpoint"] = mark.endpoint;
    item["sent_age_ms"] = ToMilliseconds(mark.sent_age);
    item["requests"] = mark.requests;
    item["reporter"] = mark.reporter;
  }
  return item;
}

// Returns nullopt for evidence that a newer version of the program has added.
std::optional<PartMark> DecodePartMark(const Json& item) {
  const auto evidence = suspects::kPartEvidenceNames.ValueOf(
      item.at("evidence").get<std::string>());
  if (!evidence)
    return std::nullopt;
  PartMark mark;
  mark.evidence = *evidence;
  mark.part = item.at("part").get<uint64_t>();
  mark.age = GetMilliseconds(item.at("age_ms"));
  if (mark.evidence == PartEvidence::kCrash) {
    mark.endpoint = item.at("endpoint").get<std::string>();
    mark.sent_age = GetMilliseconds(item.at("sent_age_ms"));
    mark.requests = item.at("requests").get<uint32_t>();
    mark.reporter = item.at("reporter").get<uint64_t>();
  }
  return mark;
}

Duration AgeOf(const Json& value, common::UnixTime wall_now) {
  if (!value.contains("written_ms"))
    return Duration(0);
  const common::UnixTime written_at(
      std::chrono::milliseconds(value["written_ms"].get<int64_t>()));
  const Duration age = wall_now - written_at;
  return age > kMaxClockDifference ? age : Duration(0);
}

}  // namespace

std::string EncodeHostObject(const HostObject& object) {
  Json value;
  value["zone"] = object.zone;
  value["address"] = object.caller_address;
  if (!object.peer_address.empty())
    value["peer_address"] = object.peer_address;
  value["written_ms"] = object.written_at.time_since_epoch().count();
  value["store_era"] = object.store_era;
  value["config_version"] = object.config_version;
  if (object.last_order_age)
    value["last_order_age_ms"] = ToMilliseconds(*object.last_order_age);
  value["marks"] = Json::array();
  for (const CrashMark& mark : object.marks)
    value["marks"].push_back(EncodeMark(mark));
  value["part_marks"] = Json::array();
  for (const PartMark& mark : object.part_marks)
    value["part_marks"].push_back(EncodePartMark(mark));
  return value.dump();
}

std::optional<HostObject> DecodeHostObject(std::string_view text,
                                           common::UnixTime wall_now) {
  const Json value = Json::parse(text, nullptr, false);
  if (!value.is_object() || !value.contains("marks"))
    return std::nullopt;
  try {
    HostObject object;
    object.zone = value.value("zone", "");
    object.caller_address = value.value("address", "");
    object.peer_address = value.value("peer_address", "");
    object.store_era = value.value("store_era", uint64_t{0});
    object.config_version = value.value("config_version", uint64_t{0});
    if (value.contains("last_order_age_ms"))
      object.last_order_age = GetMilliseconds(value["last_order_age_ms"]);
    const Duration age = AgeOf(value, wall_now);
    for (const Json& item : value["marks"]) {
      object.marks.push_back(DecodeMark(item));
      object.marks.back().age += age;
    }
    for (const Json& item : value.value("part_marks", Json::array())) {
      auto mark = DecodePartMark(item);
      if (!mark)
        continue;
      mark->age += age;
      mark->sent_age += age;
      object.part_marks.push_back(std::move(*mark));
    }
    return object;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace jujuberock::gateway
