#ifndef CORE_CACHE_STORE_CLIENT_H_
#define CORE_CACHE_STORE_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/runtime/http_client.h"

namespace jujuberock::cache_store {

// A block was sealed or has gone.
struct StoreEvent {
  bool added = false;
  std::string key;
};

struct StoreStatus {
  uint64_t capacity_bytes = 0;
  uint64_t used_bytes = 0;
  double link_bytes_per_s = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_bytes = 0;
  // Events in a row, the first with this sequence number. Above the number
  // asked for when the store has forgotten events.
  uint64_t first_event = 0;
  std::vector<StoreEvent> events;
};

// A sealed block and what its checks need.
struct Block {
  std::string team;
  std::string version;
  uint64_t length = 0;
  std::string checksum;
  uint64_t generation = 0;
  std::string bytes;
};

// Client of a cache store. Every method suspends the calling fiber. Throws
// HttpError for a failed exchange, common::Error kPeerUnavailable for an
// unexpected status and kProtocolError for a malformed answer.
class Client {
 public:
  explicit Client(runtime::HttpClient& http) : http(http) {}

  // With the events from sequence number `since` on.
  StoreStatus Status(const runtime::Address& store, uint64_t since);

  // The block, or nothing when it is absent, not sealed, of another team or
  // version, shorter than announced, or no longer of generation `pinned`.
  std::optional<Block> Read(const runtime::Address& store,
                            const std::string& key,
                            const std::string& team,
                            const std::string& version,
                            std::optional<uint64_t> pinned = std::nullopt);

 private:
  runtime::HttpClient& http;
};

}  // namespace jujuberock::cache_store

#endif  // CORE_CACHE_STORE_CLIENT_H_
