#include "core/gateway/host_object.h"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/json_number.h"
#include "core/common/nesting.h"

namespace jujuberock::gateway {

namespace {

using common::Duration;
using common::GetUnsigned;
using suspects::CrashMark;
using suspects::PartEvidence;
using suspects::PartMark;
using Json = nlohmann::json;

// Wall clocks of hosts may differ by this much. Smaller differences are not
// taken for the age of an object.
constexpr Duration kMaxClockDifference = std::chrono::seconds(10);

// Longer ages are cut to this, so that they can be computed with.
constexpr Duration kMaxAge = std::chrono::hours(24 * 365);
// End of the year 9999. Later times can't be computed with in microseconds.
constexpr uint64_t kMaxUnixMs = 253'402'300'799'999;

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Duration GetAge(const Json& value) {
  const auto max_ms = static_cast<uint64_t>(ToMilliseconds(kMaxAge));
  return std::chrono::milliseconds(std::min(GetUnsigned(value), max_ms));
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
  mark.fingerprint = GetUnsigned(item.at("fingerprint"));
  mark.endpoint = item.at("endpoint").get<std::string>();
  mark.age = GetAge(item.at("age_ms"));
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
  mark.part = GetUnsigned(item.at("part"));
  mark.age = GetAge(item.at("age_ms"));
  if (mark.evidence == PartEvidence::kCrash) {
    mark.endpoint = item.at("endpoint").get<std::string>();
    mark.sent_age = GetAge(item.at("sent_age_ms"));
    mark.requests = static_cast<uint32_t>(
        GetUnsigned(item.at("requests"), std::numeric_limits<uint32_t>::max()));
    mark.reporter = GetUnsigned(item.at("reporter"));
  }
  return mark;
}

Duration AgeOf(const Json& value, common::UnixTime wall_now) {
  if (!value.contains("written_ms"))
    return Duration(0);
  const common::UnixTime written_at(
      std::chrono::milliseconds(GetUnsigned(value["written_ms"], kMaxUnixMs)));
  const Duration age = wall_now - written_at;
  return age > kMaxClockDifference ? std::min(age, kMaxAge) : Duration(0);
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
  if (common::ExceedsNesting(text))
    return std::nullopt;
  const Json value = Json::parse(text, nullptr, false);
  if (!value.is_object() || !value.contains("marks"))
    return std::nullopt;
  try {
    HostObject object;
    object.zone = value.value("zone", "");
    object.caller_address = value.value("address", "");
    object.peer_address = value.value("peer_address", "");
    object.store_era = common::GetUnsignedOrZero(value, "store_era");
    object.config_version = common::GetUnsignedOrZero(value, "config_version");
    if (value.contains("last_order_age_ms"))
      object.last_order_age = GetAge(value["last_order_age_ms"]);
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
  } catch (const common::Error&) {
    return std::nullopt;
  }
}

}  // namespace jujuberock::gateway
