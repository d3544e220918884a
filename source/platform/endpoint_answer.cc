#include "platform/endpoint_answer.h"

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/json_number.h"
#include "core/common/nesting.h"

namespace jujuberock::platform_adapter {

namespace {

using common::GetUnsigned;
using Json = nlohmann::json;

// Parsing a larger body would hold up the requests of the host.
constexpr size_t kMaxBodyBytes = 8 * 1024 * 1024;
// End of the year 9999. Later times can't be computed with in microseconds.
constexpr double kMaxUnixMs = 253'402'300'799'999;

// Far above the capacity of a store, and low enough that sums do not overflow.
constexpr uint64_t kMaxPartTokens = 1'000'000'000'000;

// Returns a discarded value if the body can't be read.
Json ParseBody(std::string_view body) {
  if (body.size() > kMaxBodyBytes || common::ExceedsNesting(body))
    return Json(Json::value_t::discarded);
  return Json::parse(body, nullptr, false);
}

gateway::EngineReport ReadReport(const Json& body) {
  gateway::EngineReport report;
  report.busy = body.value("busy", false);
  report.sequence = common::GetUnsignedOrZero(body, "sequence");
  if (!body.contains("models"))
    return report;
  for (const Json& model : body["models"]) {
    report.models.push_back({model.at("name").get<std::string>(),
                             GetUnsigned(model.at("version"))});
  }
  return report;
}

// Reads [event number, "+" or "-", salt, part, tokens stored now, model], where
// "+" adds the part and "-" removes it.
reuse::StoreEvent ReadEvent(const Json& item) {
  reuse::StoreEvent event;
  event.added = item.at(1).get<std::string>() == "+";
  event.salt = item.at(2).get<std::string>();
  event.part = item.at(3).get<std::string>();
  event.tokens = static_cast<int64_t>(GetUnsigned(item.at(4), kMaxPartTokens));
  return event;
}

int64_t ReadClock(const Json& value) {
  const auto clock_ms = value.get<double>();
  if (!(clock_ms >= 0 && clock_ms <= kMaxUnixMs))
    throw common::Error(common::ResultCode::kProtocolError,
                        "the clock is out of range");
  return static_cast<int64_t>(clock_ms);
}

reuse::StoreEvents ReadEvents(const Json& body) {
  reuse::StoreEvents events;
  events.epoch = GetUnsigned(body.at("epoch"));
  events.next = GetUnsigned(body.at("next"));
  events.lost = body.value("lost", false);
  if (body.contains("clock_ms"))
    events.clock_ms = ReadClock(body["clock_ms"]);
  for (const Json& item : body.at("events"))
    events.events.push_back(ReadEvent(item));
  return events;
}

// Calls `read` for the parsed body.
template <typename Read>
auto ReadBody(std::string_view body, Read read)
    -> std::optional<decltype(read(Json()))> {
  const Json value = ParseBody(body);
  if (!value.is_object())
    return std::nullopt;
  try {
    return read(value);
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const common::Error&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<gateway::EngineReport> DecodeReport(std::string_view body) {
  return ReadBody(body, ReadReport);
}

std::optional<reuse::StoreEvents> DecodeEvents(std::string_view body) {
  return ReadBody(body, ReadEvents);
}

}  // namespace jujuberock::platform_adapter
