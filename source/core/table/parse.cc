#include "core/table/parse.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <initializer_list>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/name_table.h"
#include "core/common/nesting.h"
#include "core/runtime/http_types.h"

namespace jujuberock::table {

namespace {

using common::Error;
using common::ResultCode;
using nlohmann::json;

constexpr size_t kMaxNameBytes = 63;
constexpr size_t kKeyDigestDigits = 64;
constexpr double kMaxWeight = 1e6;
constexpr int64_t kMaxCount = 1'000'000;
constexpr int64_t kMaxPatienceMs = 10 * 60 * 1000;
constexpr int64_t kMaxLoadsAtOnce = 1000;
// Operators enter shares with few digits, so thirds do not add up to exactly 1.
constexpr double kShareTolerance = 0.01;

constexpr common::NameTable<MemberState, 2> kStateNames({"live", "leaving"});
constexpr common::NameTable<ServiceKind, 2> kServiceKindNames({"engine",
                                                               "plain"});

// Typed access to the fields of a JSON object. Errors name the path of the
// field.
class JsonFields {
 public:
  JsonFields(const json& value, std::string path)
      : value(value), path(std::move(path)) {
    if (!value.is_object())
      this->Fail("is not a JSON object");
  }

  [[noreturn]] void Fail(const std::string& what) const {
    throw Error(ResultCode::kInvalidTable, this->path + ": " + what);
  }

  [[noreturn]] void FailField(const char* name, const std::string& what) const {
    this->Fail(std::string("field \"") + name + "\" " + what);
  }

  void AllowOnly(std::initializer_list<std::string_view> names) const {
    for (const auto& [name, ignored] : this->value.items()) {
      if (std::find(names.begin(), names.end(), name) == names.end())
        this->Fail("unknown field \"" + name + "\"");
    }
  }

  bool Has(const char* name) const { return this->value.contains(name); }

  const json& At(const char* name) const {
    if (!this->Has(name))
      this->FailField(name, "is missing");
    return this->value[name];
  }

  const json& Array(const char* name) const {
    const json& field = this->At(name);
    if (!field.is_array())
      this->FailField(name, "is not an array");
    return field;
  }

  std::string String(const char* name) const {
    const json& field = this->At(name);
    if (!field.is_string())
      this->FailField(name, "is not a string");
    return field.get<std::string>();
  }

  std::string StringOr(const char* name, const char* default_value) const {
    return this->Has(name) ? this->String(name) : std::string(default_value);
  }

  std::string Name(const char* name) const {
    std::string text = this->String(name);
    if (!IsObjectName(text))
      this->FailField(name, "is not a valid name: \"" + text + "\"");
    return text;
  }

  int64_t Integer(const char* name, int64_t low, int64_t high) const {
    const json& field = this->At(name);
    const bool in_range =
        field.is_number_integer() && field >= low && field <= high;
    if (!in_range)
      this->FailField(name, "is not an integer from " + std::to_string(low) +
                                " to " + std::to_string(high) + ": " +
                                field.dump());
    return field.get<int64_t>();
  }

  double Number(const char* name, double low, double high) const {
    const json& field = this->At(name);
    if (!field.is_number() || field < low || field > high)
      this->FailField(name, "is not a number from " + json(low).dump() +
                                " to " + json(high).dump() + ": " +
                                field.dump());
    return field.get<double>();
  }

  std::vector<std::string> Strings(const char* name) const {
    std::vector<std::string> texts;
    for (const json& item : this->Array(name)) {
      if (!item.is_string())
        this->FailField(name, "contains a value that is not a string");
      texts.push_back(item.get<std::string>());
    }
    return texts;
  }

  std::string Address() const {
    std::string text = this->String("address");
    if (!runtime::Address::Parse(text))
      this->FailField("address", "is not \"ip:port\": \"" + text + "\"");
    return text;
  }

  MemberState State() const {
    const std::string text = this->String("state");
    const auto state = kStateNames.ValueOf(text);
    if (!state)
      this->FailField("state",
                      "is neither \"live\" nor \"leaving\": \"" + text + "\"");
    return *state;
  }

  const std::string& location() const { return this->path; }

 private:
  const json& value;
  std::string path;
};

// Parses "HH:MM" into minutes after midnight; 24:00 is the end of the day.
int ParseMinute(const JsonFields& fields, const char* name) {
  const std::string text = fields.String(name);
  const auto digit = [&](size_t i) { return text[i] >= '0' && text[i] <= '9'; };
  const bool well_formed = text.size() == 5 && text[2] == ':' && digit(0) &&
                           digit(1) && digit(3) && digit(4);
  if (!well_formed)
    fields.FailField(name, "is not \"HH:MM\": \"" + text + "\"");
  const int hour = (text[0] - '0') * 10 + (text[1] - '0');
  const int minute = (text[3] - '0') * 10 + (text[4] - '0');
  const int total = hour * 60 + minute;
  if (minute >= 60 || total > kMinutesPerDay)
    fields.FailField(name, "is not a time of day: \"" + text + "\"");
  return total;
}

std::string FormatMinute(int minute) {
  const std::string hours = std::to_string(minute / 60);
  const std::string minutes = std::to_string(minute % 60);
  return std::string(2 - hours.size(), '0') + hours + ':' +
         std::string(2 - minutes.size(), '0') + minutes;
}

common::Duration ParsePatience(const JsonFields& fields) {
  return std::chrono::milliseconds(
      fields.Integer("patience_ms", 1, kMaxPatienceMs));
}

void ParseTimeRange(const JsonFields& fields, Band* band) {
  band->from_minute = ParseMinute(fields, "from");
  band->to_minute = ParseMinute(fields, "to");
  if (band->from_minute >= band->to_minute)
    fields.Fail("the band is empty or crosses midnight; split it at 24:00");
}

// Sorts the bands and checks that they cover the day exactly once.
template <typename BandType>
void CheckCoversDay(const std::string& path, std::vector<BandType>* bands) {
  std::sort(bands->begin(), bands->end(), [](const Band& a, const Band& b) {
    return a.from_minute < b.from_minute;
  });
  int covered = 0;
  for (const BandType& band : *bands) {
    if (band.from_minute > covered)
      throw Error(ResultCode::kInvalidTable,
                  path + ": no band covers " + FormatMinute(covered) + " to " +
                      FormatMinute(band.from_minute));
    if (band.from_minute < covered)
      throw Error(ResultCode::kInvalidTable,
                  path + ": two bands cover " + FormatMinute(band.from_minute));
    covered = band.to_minute;
  }
  if (covered < kMinutesPerDay)
    throw Error(
        ResultCode::kInvalidTable,
        path + ": no band covers " + FormatMinute(covered) + " to 24:00");
}

template <typename BandType, typename ParseBand>
std::vector<BandType> ParseBands(const JsonFields& fields,
                                 ParseBand parse_band) {
  std::vector<BandType> bands;
  const std::string path = fields.location() + ": bands";
  for (const json& item : fields.Array("bands")) {
    const JsonFields band(item,
                          path + "[" + std::to_string(bands.size()) + "]");
    bands.push_back(parse_band(band));
  }
  CheckCoversDay(path, &bands);
  return bands;
}

TeamBand ParseTeamBand(const JsonFields& fields) {
  fields.AllowOnly({"from", "to", "weight", "max_running", "patience_ms"});
  TeamBand band;
  ParseTimeRange(fields, &band);
  band.weight = fields.Number("weight", 0, kMaxWeight);
  if (band.weight <= 0)
    fields.FailField("weight", "is not greater than 0");
  band.max_running = fields.Integer("max_running", 0, kMaxCount);
  band.patience = ParsePatience(fields);
  return band;
}

ServiceBand ParseServiceBand(const JsonFields& fields) {
  fields.AllowOnly({"from", "to", "patience_ms", "max_queue"});
  ServiceBand band;
  ParseTimeRange(fields, &band);
  band.patience = ParsePatience(fields);
  band.max_queue = fields.Integer("max_queue", 0, kMaxCount);
  return band;
}

bool IsKeyDigest(std::string_view text) {
  return text.size() == kKeyDigestDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::vector<NonIdempotentRule> ParseRules(const JsonFields& fields) {
  std::vector<NonIdempotentRule> rules;
  if (!fields.Has("non_idempotent"))
    return rules;
  for (const json& item : fields.Array("non_idempotent")) {
    const JsonFields rule(item, fields.location() + ": non_idempotent[" +
                                    std::to_string(rules.size()) + "]");
    rule.AllowOnly({"method", "path_prefix"});
    rules.push_back({rule.String("method"), rule.String("path_prefix")});
    if (rules.back().method.empty())
      rule.FailField("method", "is empty");
    if (rules.back().path_prefix.empty() ||
        rules.back().path_prefix.front() != '/')
      rule.FailField("path_prefix", "does not start with \"/\"");
  }
  return rules;
}

std::map<std::string, double> ParseZoneShares(const JsonFields& fields) {
  std::map<std::string, double> shares;
  if (!fields.Has("zone_shares"))
    return shares;
  const json& field = fields.At("zone_shares");
  const JsonFields zone_fields(field, fields.location() + ": zone_shares");
  double total = 0;
  for (const auto& [zone, ignored] : field.items()) {
    if (!IsObjectName(zone))
      zone_fields.Fail("not a valid name: \"" + zone + "\"");
    shares[zone] = zone_fields.Number(zone.c_str(), 0, 1);
    total += shares[zone];
  }
  if (!shares.empty() && std::abs(total - 1) > kShareTolerance)
    zone_fields.Fail("the shares add up to " + json(total).dump() +
                     ", not to 1");
  return shares;
}

std::string ObjectPath(const Object& object) {
  return object.kind + "/" + object.name;
}

// Parses the body as JSON and passes its fields to `read`.
template <typename T, typename Read>
T ParseBody(const Object& object, Read read) {
  const std::string path = ObjectPath(object);
  if (!IsObjectName(object.name))
    throw Error(ResultCode::kInvalidTable,
                path + ": the name does not match [a-z0-9][a-z0-9.-]{0,62}");
  if (object.body.size() > kMaxBodyBytes)
    throw Error(ResultCode::kInvalidTable,
                path + ": the body has " + std::to_string(object.body.size()) +
                    " bytes; the limit is " + std::to_string(kMaxBodyBytes));
  if (common::ExceedsNesting(object.body))
    throw Error(ResultCode::kInvalidTable,
                path + ": the body is nested more than " +
                    std::to_string(common::kNestingLimit) + " levels deep");
  const json body = json::parse(object.body, nullptr, false);
  if (body.is_discarded())
    throw Error(ResultCode::kInvalidTable, path + ": the body is not JSON");
  T row;
  row.name = object.name;
  row.version = object.version;
  read(JsonFields(body, path), &row);
  return row;
}

void ReadTeam(const JsonFields& fields, Team* team) {
  fields.AllowOnly({"keys", "bands"});
  team->key_digests = fields.Strings("keys");
  std::set<std::string> seen;
  for (const std::string& digest : team->key_digests) {
    if (!IsKeyDigest(digest))
      fields.FailField("keys",
                       "contains a value that is not 64 lower-case "
                       "hexadecimal digits");
    if (!seen.insert(digest).second)
      fields.FailField("keys", "contains a duplicate key");
  }
  team->bands = ParseBands<TeamBand>(fields, ParseTeamBand);
}

void ReadService(const JsonFields& fields, Service* service) {
  fields.AllowOnly({"kind", "models", "version", "non_idempotent",
                    "status_path", "loads_at_once", "retry_budget",
                    "zone_shares", "bands"});
  const std::string kind = fields.String("kind");
  const auto parsed = kServiceKindNames.ValueOf(kind);
  if (!parsed)
    fields.FailField("kind",
                     "is neither \"engine\" nor \"plain\": \"" + kind + "\"");
  service->kind = *parsed;
  const bool engine = service->kind == ServiceKind::kEngine;
  if (engine || fields.Has("models"))
    service->models = fields.Strings("models");
  if (engine && service->models.empty())
    fields.FailField("models", "is empty, but the service is an engine");
  service->weight_version = fields.StringOr("version", "");
  if (engine && service->weight_version.empty())
    fields.FailField("version", "is missing, but the service is an engine");
  service->non_idempotent = ParseRules(fields);
  service->status_path = fields.StringOr("status_path", "");
  if (!service->status_path.empty() && service->status_path.front() != '/')
    fields.FailField("status_path", "does not start with \"/\"");
  if (fields.Has("loads_at_once"))
    service->loads_at_once =
        fields.Integer("loads_at_once", 1, kMaxLoadsAtOnce);
  if (fields.Has("retry_budget"))
    service->retry_budget = fields.Number("retry_budget", 0, 1);
  service->zone_shares = ParseZoneShares(fields);
  service->bands = ParseBands<ServiceBand>(fields, ParseServiceBand);
}

void ReadEndpoint(const JsonFields& fields, Endpoint* endpoint) {
  fields.AllowOnly({"service", "zone", "address", "state"});
  endpoint->service = fields.Name("service");
  endpoint->zone = fields.Name("zone");
  endpoint->address = fields.Address();
  endpoint->state = fields.State();
}

void ReadHost(const JsonFields& fields, HostEntry* host) {
  fields.AllowOnly({"zone", "address", "state"});
  host->zone = fields.Name("zone");
  host->address = fields.Address();
  host->state = fields.State();
}

void ReadStore(const JsonFields& fields, StoreEntry* store) {
  fields.AllowOnly({"zone", "address"});
  store->zone = fields.Name("zone");
  store->address = fields.Address();
}

}  // namespace

bool IsObjectName(std::string_view name) {
  const auto is_alphanumeric = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  if (name.empty() || name.size() > kMaxNameBytes ||
      !is_alphanumeric(name.front()))
    return false;
  return std::all_of(name.begin(), name.end(), [&](char c) {
    return is_alphanumeric(c) || c == '.' || c == '-';
  });
}

Team ParseTeam(const Object& object) {
  return ParseBody<Team>(object, ReadTeam);
}

Service ParseService(const Object& object) {
  return ParseBody<Service>(object, ReadService);
}

Endpoint ParseEndpoint(const Object& object) {
  return ParseBody<Endpoint>(object, ReadEndpoint);
}

HostEntry ParseHost(const Object& object) {
  return ParseBody<HostEntry>(object, ReadHost);
}

StoreEntry ParseStore(const Object& object) {
  return ParseBody<StoreEntry>(object, ReadStore);
}

void Validate(const Object& object) {
  const auto kind = KindOf(object.kind);
  if (!kind)
    throw Error(ResultCode::kInvalidTable,
                "unknown kind \"" + object.kind + "\"");
  using Check = void (*)(const Object&);
  constexpr std::array<Check, kKindCount> kChecks = {
      [](const Object& o) { ParseTeam(o); },
      [](const Object& o) { ParseService(o); },
      [](const Object& o) { ParseEndpoint(o); },
      [](const Object& o) { ParseHost(o); },
      [](const Object& o) { ParseStore(o); },
  };
  kChecks[static_cast<size_t>(*kind)](object);
}

}  // namespace jujuberock::table
