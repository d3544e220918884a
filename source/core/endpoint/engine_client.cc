#include "core/endpoint/engine_client.h"

#include <chrono>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/json_decode.h"
#include "core/endpoint/request_id.h"

namespace jujuberock::endpoint {

using common::Error;
using common::ResultCode;
using nlohmann::json;
using runtime::Address;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

// Engines respond to load reports, exports and orders from memory, so a longer
// wait means that the engine or its link has failed.
constexpr common::Duration kControlTimeout = std::chrono::seconds(2);

// Limit on the size of numbers in load reports, so that what is computed from
// them does not overflow. In milliseconds since 1970 it is the year 33658.
constexpr double kMaxReportedNumber = 1e15;

// Largest answer to a poll for cache events.
constexpr size_t kMaxCacheEventsBytes = 4 * 1024 * 1024;

// Limit on the bytes of an event that are held until it ends.
constexpr size_t kMaxEventBytes = 1024 * 1024;

const runtime::HttpCallOptions kControlOptions{
    .header_timeout = kControlTimeout,
    .read_timeout = kControlTimeout,
    .body_timeout = kControlTimeout};

template <typename Decode>
auto ParseJson(std::string_view text, Decode decode) {
  return common::DecodeJson("engine", text, decode);
}

HttpRequest JsonPost(std::string target, const json& body) {
  HttpRequest request{"POST", std::move(target), {}, body.dump()};
  request.headers.Add("Content-Type", "application/json");
  return request;
}

[[noreturn]] void ThrowForStatus(int status) {
  if (status == 409)
    throw Error(ResultCode::kWrongVersion,
                "engine does not have the weight version loaded");
  if (status == 503)
    throw Error(ResultCode::kNoEndpoint, "engine is not accepting requests");
  if (status == 412)
    throw Error(ResultCode::kStaleFence,
                "engine rejected a stale fencing number");
  if (status == 400 || status == 413 || status == 422)
    throw Error(ResultCode::kMalformedRequest,
                "engine rejected the request with HTTP status " +
                    std::to_string(status));
  throw Error(ResultCode::kEndpointFailed,
              "engine returned HTTP status " + std::to_string(status));
}

HttpResponse FetchOk(
    runtime::HttpClient& http,
    const Address& engine,
    const HttpRequest& request,
    const runtime::HttpCallOptions& options = kControlOptions) {
  HttpResponse response = http.Fetch(engine, request, options);
  if (response.status / 100 != 2)
    ThrowForStatus(response.status);
  return response;
}

json ToJson(const GenerateRequest& request) {
  json restore = json::array();
  for (const RestoreBlock& block : request.restore)
    restore.push_back({{"key", block.key}, {"store", block.store}});
  return {{"request_id", request.request_id}, {"team", request.team},
          {"model", request.model},           {"adapter", request.adapter},
          {"version", request.version},       {"prompt", request.prompt},
          {"max_tokens", request.max_tokens}, {"priority", request.priority},
          {"block_keys", request.block_keys}, {"restore", std::move(restore)}};
}

EngineEvent EventFromJson(const json& value) {
  if (value.value("done", false)) {
    return StreamEnd{value.value("reason", std::string()),
                     value.value("tokens", int64_t{0})};
  }
  return TokenEvent{value.at("offset").get<uint64_t>(),
                    value.at("text").get<std::string>(),
                    value.value("version", std::string()),
                    value.value("cached_tokens", int64_t{0}),
                    value.value("restored_tokens", int64_t{0})};
}

// Returns a count or a time, or 0 if it is absent.
int64_t BoundedInteger(const json& value, const char* name) {
  const double number = value.value(name, 0.0);
  if (std::abs(number) > kMaxReportedNumber)
    throw Error(ResultCode::kProtocolError,
                std::string("engine: out of range: ") + name);
  return static_cast<int64_t>(number);
}

EngineLoad LoadFromJson(const json& value) {
  EngineLoad load;
  load.as_of_ms = BoundedInteger(value, "as_of_ms");
  load.running = BoundedInteger(value, "running");
  load.queued_tokens = BoundedInteger(value, "queued_tokens");
  load.slots = BoundedInteger(value, "slots");
  load.prefill_tokens_per_s = value.value("prefill_tokens_per_s", 0.0);
  load.decode_ms = value.value("decode_ms", 0.0);
  load.kv_capacity_blocks = BoundedInteger(value, "kv_capacity_blocks");
  load.kv_used_blocks = BoundedInteger(value, "kv_used_blocks");
  load.version = value.value("version", std::string());
  load.leaving = value.value("leaving", false);
  return load;
}

CacheEvents EventsFromJson(const json& value) {
  CacheEvents events;
  events.first = value.at("first").get<uint64_t>();
  events.next = value.at("next").get<uint64_t>();
  for (const json& item : value.at("events")) {
    events.events.push_back({item.at("seq").get<uint64_t>(),
                             item.at("op").get<std::string>() == "add",
                             item.at("key").get<std::string>()});
  }
  return events;
}

}  // namespace

std::optional<std::string> EngineStream::NextLine() {
  const size_t end = this->buffer.find('\n', this->line_start);
  if (end == std::string::npos) {
    this->buffer.erase(0, this->line_start);
    this->line_start = 0;
    return std::nullopt;
  }
  std::string line =
      this->buffer.substr(this->line_start, end - this->line_start);
  this->line_start = end + 1;
  if (!line.empty() && line.back() == '\r')
    line.pop_back();
  return line;
}

std::optional<std::string> EngineStream::NextEventData() {
  constexpr std::string_view kDataField = "data:";
  while (auto line = this->NextLine()) {
    if (line->rfind(kDataField, 0) == 0) {
      this->event_data += line->substr(kDataField.size());
      this->event_data += '\n';
    }
    if (line->empty() && !this->event_data.empty())
      return std::exchange(this->event_data, {});
  }
  return std::nullopt;
}

// The connection can be reused only after the body has been read completely.
// The end of the body follows the last event immediately, so a longer wait
// means that the connection has failed.
void EngineStream::DrainBody() {
  constexpr common::Duration kDrainTimeout = std::chrono::milliseconds(20);
  try {
    this->stream->set_read_timeout(kDrainTimeout);
    while (this->stream->Read()) {
    }
  } catch (const runtime::HttpError&) {
    // All events have arrived; only the connection cannot be reused.
  }
}

std::optional<EngineEvent> EngineStream::Next(common::Duration timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (true) {
    if (auto data = this->NextEventData()) {
      const EngineEvent event = ParseJson(*data, EventFromJson);
      if (std::holds_alternative<StreamEnd>(event))
        this->DrainBody();
      return event;
    }
    // The bytes of an event that never ends do not prolong the wait for it.
    const auto left = std::chrono::duration_cast<common::Duration>(
        deadline - std::chrono::steady_clock::now());
    if (left <= common::Duration::zero())
      throw runtime::HttpError(ResultCode::kEndpointSilent, "no event in time",
                               true);
    this->stream->set_read_timeout(left);
    auto bytes = this->stream->Read();
    if (!bytes)
      return std::nullopt;
    this->buffer += *bytes;
    if (this->buffer.size() + this->event_data.size() > kMaxEventBytes)
      throw runtime::HttpError(ResultCode::kEndpointFailed,
                               "an event is too long", true);
  }
}

EngineStream EngineClient::Generate(const Address& engine,
                                    const GenerateRequest& request,
                                    common::Duration header_timeout) {
  HttpRequest message = JsonPost("/v1/generate", ToJson(request));
  message.headers.Set(kRequestIdField, request.request_id);
  auto stream = this->http.Open(engine, message,
                                {.body_limit_bytes = runtime::kStreamLimitBytes,
                                 .header_timeout = header_timeout,
                                 .read_timeout = header_timeout,
                                 .naming_field = kRequestIdField});
  if (stream->status() != 200)
    ThrowForStatus(stream->status());
  return EngineStream(std::move(stream));
}

EngineStream EngineClient::Resume(const Address& engine,
                                  const std::string& request_id,
                                  uint64_t from,
                                  common::Duration header_timeout) {
  const std::string target =
      "/v1/requests/" + request_id + "?from=" + std::to_string(from);
  auto stream = this->http.Open(engine, {"GET", target, {}, ""},
                                {.body_limit_bytes = runtime::kStreamLimitBytes,
                                 .header_timeout = header_timeout,
                                 .read_timeout = header_timeout,
                                 .fresh_connection = true});
  if (stream->status() == 404 || stream->status() == 410)
    throw Error(ResultCode::kStreamGone,
                "the engine does not know the request");
  if (stream->status() != 200)
    ThrowForStatus(stream->status());
  return EngineStream(std::move(stream));
}

void EngineClient::Cancel(const Address& engine,
                          const std::string& request_id) {
  this->http.Fetch(engine, {"DELETE", "/v1/requests/" + request_id, {}, ""},
                   kControlOptions);
}

EngineLoad EngineClient::Load(const Address& engine) {
  const HttpResponse response =
      FetchOk(this->http, engine, {"GET", "/load", {}, ""});
  return ParseJson(response.body, LoadFromJson);
}

CacheEvents EngineClient::Events(const Address& engine, uint64_t since) {
  const std::string target = "/kv/events?since=" + std::to_string(since);
  runtime::HttpCallOptions options = kControlOptions;
  options.body_limit_bytes = kMaxCacheEventsBytes;
  const HttpResponse response =
      FetchOk(this->http, engine, {"GET", target, {}, ""}, options);
  return ParseJson(response.body, EventsFromJson);
}

void EngineClient::Export(const Address& engine,
                          const std::vector<std::string>& keys,
                          const std::string& store,
                          const std::string& team) {
  FetchOk(this->http, engine,
          JsonPost("/kv/export",
                   {{"keys", keys}, {"store", store}, {"team", team}}));
}

void EngineClient::Order(const Address& engine, const OrderRequest& order) {
  FetchOk(this->http, engine,
          JsonPost("/orders", {{"fence", order.fence},
                               {"action", order.action},
                               {"model", order.model},
                               {"version", order.version},
                               {"expires_ms", order.expires_ms}}));
}

OrderState EngineClient::ReadOrder(const Address& engine) {
  const HttpResponse response =
      FetchOk(this->http, engine, {"GET", "/orders", {}, ""});
  return ParseJson(response.body, [](const json& value) {
    OrderState state;
    state.fence = value.value("fence", uint64_t{0});
    state.model = value.value("model", std::string());
    state.version = value.value("version", std::string());
    state.loading = value.value("loading", false);
    return state;
  });
}

}  // namespace jujuberock::endpoint
