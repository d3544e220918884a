#include "core/gateway/host_object.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

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

// The requests of one crash are written together: after a crash of many engines
// their marks are nearly all of the object, which every host reads.
Json EncodeCrashes(const std::vector<CrashMark>& marks) {
  std::map<std::pair<std::string, int64_t>, Json> crashes;
  for (const CrashMark& mark : marks)
    crashes[{mark.endpoint, ToMilliseconds(mark.age)}].push_back(
        mark.fingerprint);
  Json items = Json::array();
  for (auto& [crash, fingerprints] : crashes)
    items.push_back({{"endpoint", crash.first},
                     {"age_ms", crash.second},
                     {"fingerprints", std::move(fingerprints)}});
  return items;
}

void DecodeCrash(const Json& item, std::vector<CrashMark>& marks) {
  const CrashMark crash{0, item.at("endpoint").get<std::string>(),
                        GetAge(item.at("age_ms"))};
  for (const Json& fingerprint : item.at("fingerprints")) {
    marks.push_back(crash);
    marks.back().fingerprint = GetUnsigned(fingerprint);
  }
}

// [part, age of the latest send, requests] of each part that was in flight.
Json EncodePartCrashes(const std::vector<PartMark>& marks) {
  std::map<std::tuple<std::string, int64_t, uint64_t>, Json> crashes;
  for (const PartMark& mark : marks) {
    if (mark.evidence == PartEvidence::kCrash)
      crashes[{mark.endpoint, ToMilliseconds(mark.age), mark.reporter}]
          .push_back({mark.part, ToMilliseconds(mark.sent_age), mark.requests});
  }
  Json items = Json::array();
  for (auto& [crash, parts] : crashes)
    items.push_back({{"endpoint", std::get<0>(crash)},
                     {"age_ms", std::get<1>(crash)},
                     {"reporter", std::get<2>(crash)},
                     {"parts", std::move(parts)}});
  return items;
}

void DecodePartCrash(const Json& item, std::vector<PartMark>& marks) {
  PartMark crash;
  crash.endpoint = item.at("endpoint").get<std::string>();
  crash.age = GetAge(item.at("age_ms"));
  crash.reporter = GetUnsigned(item.at("reporter"));
  for (const Json& part : item.at("parts")) {
    PartMark mark = crash;
    mark.part = GetUnsigned(part.at(0));
    mark.sent_age = GetAge(part.at(1));
    mark.requests = static_cast<uint32_t>(
        GetUnsigned(part.at(2), std::numeric_limits<uint32_t>::max()));
    marks.push_back(std::move(mark));
  }
}

// For each kind of evidence, the most important first: [part, age] of each
// part.
Json EncodePartEvidence(const std::vector<PartMark>& marks) {
  std::map<PartEvidence, Json> kinds;
  for (const PartMark& mark : marks) {
    if (mark.evidence != PartEvidence::kCrash)
      kinds[mark.evidence].push_back({mark.part, ToMilliseconds(mark.age)});
  }
  Json items = Json::array();
  for (auto& [evidence, parts] : kinds)
    items.push_back(
        {{"evidence", suspects::kPartEvidenceNames.NameOf(evidence)},
         {"parts", std::move(parts)}});
  return items;
}

void DecodePartEvidence(const Json& item, std::vector<PartMark>& marks) {
  const auto evidence = suspects::kPartEvidenceNames.ValueOf(
      item.at("evidence").get<std::string>());
  // A newer version of the program has added it.
  if (!evidence)
    return;
  for (const Json& part : item.at("parts")) {
    PartMark mark;
    mark.evidence = *evidence;
    mark.part = GetUnsigned(part.at(0));
    mark.age = GetAge(part.at(1));
    marks.push_back(std::move(mark));
  }
}

// The form of earlier versions of the program, which some hosts still run.
CrashMark DecodeMark(const Json& item) {
  CrashMark mark;
  mark.fingerprint = GetUnsigned(item.at("fingerprint"));
  mark.endpoint = item.at("endpoint").get<std::string>();
  mark.age = GetAge(item.at("age_ms"));
  return mark;
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

void DecodeMarks(const Json& value, HostObject& object) {
  const auto list = [&](const char* name) {
    return value.value(name, Json::array());
  };
  for (const Json& item : value["marks"])
    object.marks.push_back(DecodeMark(item));
  for (const Json& item : list("crashes"))
    DecodeCrash(item, object.marks);
  for (const Json& item : list("part_marks")) {
    if (auto mark = DecodePartMark(item))
      object.part_marks.push_back(std::move(*mark));
  }
  for (const Json& item : list("part_evidence"))
    DecodePartEvidence(item, object.part_marks);
  for (const Json& item : list("part_crashes"))
    DecodePartCrash(item, object.part_marks);
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
  if (!object.handover_address.empty())
    value["handover_address"] = object.handover_address;
  value["written_ms"] = object.written_at.time_since_epoch().count();
  value["store_era"] = object.config.era;
  value["config_version"] = object.config.version;
  if (object.config.is_known)
    value["config_known"] = *object.config.is_known;
  if (object.last_order_age)
    value["last_order_age_ms"] = ToMilliseconds(*object.last_order_age);
  // Earlier versions of the program reject an object without it.
  value["marks"] = Json::array();
  value["crashes"] = EncodeCrashes(object.marks);
  value["part_crashes"] = EncodePartCrashes(object.part_marks);
  value["part_evidence"] = EncodePartEvidence(object.part_marks);
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
    object.handover_address = value.value("handover_address", "");
    object.config.era = common::GetUnsignedOrZero(value, "store_era");
    object.config.version = common::GetUnsignedOrZero(value, "config_version");
    if (value.contains("config_known"))
      object.config.is_known = value["config_known"].get<bool>();
    if (value.contains("last_order_age_ms"))
      object.last_order_age = GetAge(value["last_order_age_ms"]);
    const Duration age = AgeOf(value, wall_now);
    DecodeMarks(value, object);
    for (CrashMark& mark : object.marks)
      mark.age += age;
    for (PartMark& mark : object.part_marks) {
      mark.age += age;
      mark.sent_age += age;
    }
    return object;
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const common::Error&) {
    return std::nullopt;
  }
}

}  // namespace jujuberock::gateway
