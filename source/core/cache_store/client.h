#ifndef CORE_CACHE_STORE_CLIENT_H_
#define CORE_CACHE_STORE_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/runtime/http_client.h"

namespace jujuberock::cache_store {

// A block was added (sealed) to the store or removed from it.
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
  // Sequence number of the first element of `events`, which are consecutive.
  // Higher than the requested number if the store no longer has the events in
  // between.
  uint64_t first_event = 0;
  std::vector<StoreEvent> events;
};

// A sealed block with the metadata needed to verify it.
struct Block {
  std::string team;
  std::string version;
  uint64_t length = 0;
  std::string checksum;
  uint64_t generation = 0;
  std::string bytes;
};

// HTTP client of cache stores. Every method suspends the calling fiber. Throws
// HttpError if the HTTP call fails, and common::Error kPeerUnavailable for an
// unexpected status or kProtocolError for a malformed response.
class Client {
 public:
  explicit Client(runtime::HttpClient& http) : http(http) {}

  // Returns the store's status and its events starting at sequence number
  // `since`.
  StoreStatus Status(const runtime::Address& store, uint64_t since);

  // Returns the block, or std::nullopt if it is absent, not sealed, belongs to
  // another team or version, fails its length or checksum check, or is not of
  // generation `expected_generation` (if given).
  std::optional<Block> Read(
      const runtime::Address& store,
      const std::string& key,
      const std::string& team,
      const std::string& version,
      std::optional<uint64_t> expected_generation = std::nullopt);

 private:
  runtime::HttpClient& http;
};

}  // namespace jujuberock::cache_store

#endif  // CORE_CACHE_STORE_CLIENT_H_
