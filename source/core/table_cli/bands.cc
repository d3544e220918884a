#include "core/table_cli/bands.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/common/error.h"

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

// "HH:MM" compares like the time it stands for.
std::string TimeOf(const json& band, const char* name) {
  if (!band.is_object() || !band.contains(name) || !band[name].is_string())
    throw Error(ResultCode::kInvalidTable, "a band has no \"from\" or \"to\"");
  return band[name].get<std::string>();
}

json Piece(const json& band, const std::string& from, const std::string& to) {
  json piece = band;
  piece["from"] = from;
  piece["to"] = to;
  return piece;
}

bool SameFields(json left, json right) {
  for (const char* name : {"from", "to"}) {
    left.erase(name);
    right.erase(name);
  }
  return left == right;
}

void AppendBand(json* bands, const json& band) {
  if (TimeOf(band, "from") >= TimeOf(band, "to"))
    return;
  const bool joins = !bands->empty() && SameFields(bands->back(), band) &&
                     bands->back()["to"] == band["from"];
  if (joins)
    bands->back()["to"] = band["to"];
  else
    bands->push_back(band);
}

}  // namespace

Assignment ParseAssignment(std::string_view text) {
  const size_t equals = text.find('=');
  if (equals == 0 || equals == std::string_view::npos)
    throw Error(ResultCode::kUsage,
                "not FIELD=VALUE: \"" + std::string(text) + "\"");
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
                "not HH:MM-HH:MM: \"" + std::string(range) + "\"");
  json object = json::parse(body, nullptr, false);
  const bool has_bands = object.is_object() && object.contains("bands") &&
                         object["bands"].is_array();
  if (!has_bands)
    throw Error(ResultCode::kInvalidTable, "the object has no bands");
  json bands = json::array();
  for (const json& band : object["bands"]) {
    const std::string band_from = TimeOf(band, "from");
    const std::string band_to = TimeOf(band, "to");
    AppendBand(&bands, Piece(band, band_from, std::min(band_to, from)));
    json middle = Piece(band, std::max(band_from, from), std::min(band_to, to));
    for (const Assignment& assignment : assignments)
      middle[assignment.field] = json::parse(assignment.value);
    AppendBand(&bands, middle);
    AppendBand(&bands, Piece(band, std::max(band_from, to), band_to));
  }
  object["bands"] = bands;
  return object.dump();
}

}  // namespace jujuberock::table_cli
