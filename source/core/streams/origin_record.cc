#include "core/streams/origin_record.h"

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/common/json_number.h"
#include "core/common/nesting.h"

namespace jujuberock::streams {

namespace {

using Json = nlohmann::json;

// Throws unless the value is an object.
const Json::object_t& MembersOf(const Json& value) {
  return value.get_ref<const Json::object_t&>();
}

OriginRecord Decode(const Json& value) {
  OriginRecord record;
  for (const auto& [service, versions] : MembersOf(value.at("streams"))) {
    for (const auto& [software, attempts] : MembersOf(versions)) {
      std::vector<AttemptKey>& keys = record[service][software];
      for (const Json& attempt : attempts)
        keys.push_back(common::GetUnsigned(attempt));
    }
  }
  return record;
}

}  // namespace

AttemptKey KeyOf(std::string_view attempt_id) {
  return common::Hash64(attempt_id);
}

std::string RenderOriginRecord(const OriginRecord& record) {
  Json value;
  value["streams"] = record;
  return value.dump();
}

std::optional<OriginRecord> ParseOriginRecord(std::string_view text) {
  if (common::ExceedsNesting(text))
    return std::nullopt;
  const Json value = Json::parse(text, nullptr, false);
  if (!value.is_object())
    return std::nullopt;
  try {
    return Decode(value);
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const common::Error&) {
    return std::nullopt;
  }
}

}  // namespace jujuberock::streams
