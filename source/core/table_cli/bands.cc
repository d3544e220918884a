#include "core/table_cli/bands.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/nesting.h"

namespace jujuberock::table_cli {

using common::Error;
using common::ResultCode;
using nlohmann::json;

namespace {

constexpr size_t kTimeChars = 5;

bool IsTime(std::string_view text) {
  const auto digit = [&](size_t i) { return text[i] >= '0' && text[i] <= '9'; };
  return text.size() == kTimeChars && digit(0) && digit(1) && text[2] == ':' &&
         digit(3) && digit(4) && text <= "24:00";
}

// Returns "HH:MM". These strings sort in order of time.
std::string TimeOf(const json& band, const char* name) {
  if (!band.is_object() || !band.contains(name) || !band[name].is_string())
    throw Error(ResultCode::kInvalidTable, "a band has no \"from\" or \"to\"");
  return band[name].get<std::string>();
}

json WithRange(const json& band,
               const std::string& from,
               const std::string& to) {
  json copy = band;
  copy["from"] = from;
  copy["to"] = to;
  return copy;
}

bool EqualExceptRange(json left, json right) {
  for (const char* name : {"from", "to"}) {
    left.erase(name);
    right.erase(name);
  }
  return left == right;
}

// Appends the band unless it is empty; extends the last band if it is adjacent
// and otherwise equal.
void AppendBand(json* bands, const json& band) {
  if (TimeOf(band, "from") >= TimeOf(band, "to"))
    return;
  const bool mergeable = !bands->empty() &&
                         EqualExceptRange(bands->back(), band) &&
                         bands->back()["to"] == band["from"];
  if (mergeable)
    bands->back()["to"] = band["to"];
  else
    bands->push_back(band);
}

}  // namespace

Assignment ParseAssignment(std::string_view text) {
  const size_t equals = text.find('=');
  if (equals == 0 || equals == std::string_view::npos)
    throw Error(ResultCode::kUsage,
                "expected FIELD=NUMBER: \"" + std::string(text) + "\"");
  const std::string value(text.substr(equals + 1));
  const json parsed = json::parse(value, nullptr, false);
  if (!parsed.is_number())
    throw Error(ResultCode::kUsage, "not a number: \"" + value + "\"");
  return {std::string(text.substr(0, equals)), value};
}

std::string EditBands(std::string_view body,
                      std::string_view range,
                      const std::vector<Assignment>& assignments) {
  const std::string from(range.substr(0, kTimeChars));
  const std::string to(range.size() > kTimeChars ? range.substr(kTimeChars + 1)
                                                 : "");
  const bool well_formed = range.size() == 2 * kTimeChars + 1 &&
                           range[kTimeChars] == '-' && IsTime(from) &&
                           IsTime(to) && from < to;
  if (!well_formed)
    throw Error(ResultCode::kUsage,
                "not a time range HH:MM-HH:MM: \"" + std::string(range) + "\"");
  if (common::ExceedsNesting(body))
    throw Error(ResultCode::kInvalidTable, "the object is nested too deep");
  json object = json::parse(body, nullptr, false);
  const bool has_bands = object.is_object() && object.contains("bands") &&
                         object["bands"].is_array();
  if (!has_bands)
    throw Error(ResultCode::kInvalidTable, "the object has no bands");
  json bands = json::array();
  for (const json& band : object["bands"]) {
    const std::string band_from = TimeOf(band, "from");
    const std::string band_to = TimeOf(band, "to");
    AppendBand(&bands, WithRange(band, band_from, std::min(band_to, from)));
    json middle =
        WithRange(band, std::max(band_from, from), std::min(band_to, to));
    for (const Assignment& assignment : assignments)
      middle[assignment.field] = json::parse(assignment.value);
    AppendBand(&bands, middle);
    AppendBand(&bands, WithRange(band, std::max(band_from, to), band_to));
  }
  object["bands"] = bands;
  return object.dump();
}

}  // namespace jujuberock::table_cli
