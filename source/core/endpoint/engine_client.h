#ifndef CORE_ENDPOINT_ENGINE_CLIENT_H_
#define CORE_ENDPOINT_ENGINE_CLIENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/common/time.h"
#include "core/runtime/http_client.h"

namespace jujuberock::endpoint {

struct RestoreBlock {
  std::string key;
  // "ip:port" of the cache store that holds the block.
  std::string store;
};

struct GenerateRequest {
  std::string request_id;
  std::string team;
  std::string model;
  std::string adapter;
  std::string version;
  std::string prompt;
  int64_t max_tokens = 0;
  int64_t priority = 0;
  std::vector<std::string> block_keys;
  std::vector<RestoreBlock> restore;
};

struct TokenEvent {
  uint64_t offset = 0;
  std::string text;
  // Weight version that produced the token.
  std::string version;
  int64_t cached_tokens = 0;
  int64_t restored_tokens = 0;
};

struct StreamEnd {
  std::string reason;
  int64_t tokens = 0;
};

using EngineEvent = std::variant<TokenEvent, StreamEnd>;

// Event stream of one request on one connection. Destroying it closes the
// connection, but the request keeps running at the engine.
class EngineStream {
 public:
  explicit EngineStream(std::unique_ptr<runtime::HttpStream> stream)
      : stream(std::move(stream)) {}

  // Returns the next event, or std::nullopt if the engine closed the stream
  // without an end event. Throws HttpError kEndpointSilent if nothing arrives
  // within `timeout`, HttpError kEndpointFailed if the connection breaks, and
  // common::Error kProtocolError for a malformed event.
  std::optional<EngineEvent> Next(common::Duration timeout);

 private:
  // Returns the next buffered line, if a whole one has arrived.
  std::optional<std::string> NextLine();
  // Returns the data of the next buffered event, if a whole one has arrived: an
  // event ends with a blank line.
  std::optional<std::string> NextEventData();
  // Reads the rest of the response body, so that the connection can be reused.
  void DrainBody();

  std::unique_ptr<runtime::HttpStream> stream;
  std::string buffer;
  // Start of the next unread line in `buffer`.
  size_t line_start = 0;
  // Data of the incomplete event.
  std::string event_data;
};

// Load report of an engine. Section 5.2 of the design describes the fields.
struct EngineLoad {
  int64_t as_of_ms = 0;
  int64_t running = 0;
  int64_t queued_tokens = 0;
  int64_t slots = 0;
  double prefill_tokens_per_s = 0;
  double decode_ms = 0;
  int64_t kv_capacity_blocks = 0;
  int64_t kv_used_blocks = 0;
  std::string version;
  bool leaving = false;
};

struct CacheEvent {
  uint64_t sequence = 0;
  bool added = false;
  std::string key;
};

struct CacheEvents {
  // Sequence number of the oldest event that the engine still keeps.
  uint64_t first = 0;
  // Sequence number to pass to the next call.
  uint64_t next = 0;
  std::vector<CacheEvent> events;
};

struct OrderRequest {
  uint64_t fence = 0;
  std::string action;
  std::string model;
  std::string version;
  int64_t expires_ms = 0;
};

struct OrderState {
  uint64_t fence = 0;
  std::string model;
  std::string version;
  bool loading = false;
};

// HTTP client of model engines. Every method suspends the calling fiber and
// throws HttpError if the HTTP call fails. Except for Cancel(), which ignores
// the status, methods throw common::Error for an error status: kWrongVersion
// (409), kNoEndpoint (503, not run), kStaleFence (412), kMalformedRequest (400,
// 413, 422), kStreamGone (404 or 410 of a resume) and kEndpointFailed for any
// other.
class EngineClient {
 public:
  explicit EngineClient(runtime::HttpClient& http) : http(http) {}

  EngineStream Generate(const runtime::Address& engine,
                        const GenerateRequest& request,
                        common::Duration header_timeout);
  // Resumes the event stream of a request at event offset `from`, on a new
  // connection.
  EngineStream Resume(const runtime::Address& engine,
                      const std::string& request_id,
                      uint64_t from,
                      common::Duration header_timeout);
  void Cancel(const runtime::Address& engine, const std::string& request_id);

  EngineLoad Load(const runtime::Address& engine);
  CacheEvents Events(const runtime::Address& engine, uint64_t since);
  void Export(const runtime::Address& engine,
              const std::vector<std::string>& keys,
              const std::string& store,
              const std::string& team);
  void Order(const runtime::Address& engine, const OrderRequest& order);
  OrderState ReadOrder(const runtime::Address& engine);

 private:
  runtime::HttpClient& http;
};

}  // namespace jujuberock::endpoint

#endif  // CORE_ENDPOINT_ENGINE_CLIENT_H_
