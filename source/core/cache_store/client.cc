#include "core/cache_store/client.h"

#include <charconv>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/common/json_decode.h"

namespace jujuberock::cache_store {

using common::Error;
using common::ResultCode;
using nlohmann::json;
using runtime::Address;
using runtime::HttpResponse;

namespace {

constexpr common::Duration kStatusTimeout = std::chrono::seconds(2);
constexpr common::Duration kBlockTimeout = std::chrono::seconds(5);
constexpr size_t kMaxStatusBytes = 4 * 1024 * 1024;
constexpr size_t kMaxBlockBytes = 64 * 1024 * 1024;

std::string HeaderText(const HttpResponse& response, std::string_view name) {
  return std::string(response.headers.Find(name).value_or(""));
}

std::optional<uint64_t> HeaderNumber(const HttpResponse& response,
                                     std::string_view name) {
  const std::string text = HeaderText(response, name);
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

void RequireStatus(const HttpResponse& response, int expected) {
  if (response.status != expected)
    throw Error(
        ResultCode::kPeerUnavailable,
        "cache store returned HTTP status " + std::to_string(response.status));
}

StoreStatus StatusFromJson(const json& value, uint64_t since) {
  StoreStatus status;
  status.capacity_bytes = value.value("capacity_bytes", uint64_t{0});
  status.used_bytes = value.value("used_bytes", uint64_t{0});
  status.link_bytes_per_s = value.value("link_bytes_per_s", 0.0);
  status.sent_bytes = value.value("sent_bytes", uint64_t{0});
  status.received_bytes = value.value("received_bytes", uint64_t{0});
  status.first_event = value.value("first", since);
  for (const json& item : value.at("events")) {
    const bool added = item.at("op").get<std::string>() == "add";
    status.events.push_back({added, item.at("key").get<std::string>()});
  }
  return status;
}

}  // namespace

StoreStatus Client::Status(const Address& store, uint64_t since) {
  const HttpResponse response = this->http.Fetch(
      store, {"GET", "/status?since=" + std::to_string(since), {}, ""},
      {.body_limit_bytes = kMaxStatusBytes,
       .header_timeout = kStatusTimeout,
       .read_timeout = kStatusTimeout});
  RequireStatus(response, 200);
  return common::DecodeJson(
      "cache store", response.body,
      [since](const json& value) { return StatusFromJson(value, since); });
}

std::optional<Block> Client::Read(const Address& store,
                                  const std::string& key,
                                  const std::string& team,
                                  const std::string& version,
                                  std::optional<uint64_t> expected_generation) {
  HttpResponse response =
      this->http.Fetch(store, {"GET", "/blocks/" + key, {}, ""},
                       {.body_limit_bytes = kMaxBlockBytes,
                        .header_timeout = kBlockTimeout,
                        .read_timeout = kBlockTimeout});
  if (response.status == 404)
    return std::nullopt;
  RequireStatus(response, 200);
  const auto length = HeaderNumber(response, "Block-Length");
  const auto generation = HeaderNumber(response, "Block-Generation");
  if (!length || !generation)
    throw Error(ResultCode::kProtocolError,
                "cache store: response lacks block length or generation");
  Block block;
  block.team = HeaderText(response, "Block-Team");
  block.version = HeaderText(response, "Block-Version");
  block.checksum = HeaderText(response, "Block-Checksum");
  block.length = *length;
  block.generation = *generation;
  block.bytes = std::move(response.body);
  const bool is_intact = block.bytes.size() == block.length &&
                         common::Hash128Hex(block.bytes) == block.checksum;
  const bool is_match =
      block.team == team && block.version == version &&
      block.generation == expected_generation.value_or(block.generation);
  if (!is_intact || !is_match)
    return std::nullopt;
  return block;
}

}  // namespace jujuberock::cache_store
