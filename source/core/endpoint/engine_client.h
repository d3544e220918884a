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

// The events of one request on one connection. Destroying it closes the
// connection; the request goes on at the engine.
class EngineStream {
 public:
  explicit EngineStream(std::unique_ptr<runtime::HttpStream> stream)
      : stream(std::move(stream)) {}

  // The next event, or nothing when the engine closed the stream without an
  // end event. Throws HttpError kEndpointSilent when no event arrives within
  // `limit`, kEndpointFailed when the connection breaks, and common::Error
  // kProtocolError on malformed events.
  std::optional<EngineEvent> Next(common::Duration limit);

 private:
  std::optional<std::string> TakeData();
  void ReadToEnd();

  std::unique_ptr<runtime::HttpStream> stream;
  std::string pending;
  size_t scanned = 0;
};

// A load report; see section 5.2 of the design for the fields.
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
  // Sequence number of the first event that the engine still has.
  uint64_t first = 0;
  // Where the next call goes on.
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

// Client of a model engine. Every method suspends the calling fiber and throws
// HttpError for a failed exchange and common::Error for a refusal:
// kWrongVersion (409), kNoEndpoint (503, not run), kStreamGone (404 of a
// resume), kStaleFence (412), kEndpointFailed for any other status.
class EngineClient {
 public:
  explicit EngineClient(runtime::HttpClient& http) : http(http) {}

  EngineStream Generate(const runtime::Address& engine,
                        const GenerateRequest& request,
                        common::Duration header_timeout);
  // Goes on from event offset `from`, on a new connection.
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
