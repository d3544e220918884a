#ifndef CORE_ROUTING_TYPES_H_
#define CORE_ROUTING_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/routing/block_key.h"

namespace jujuberock::routing {

// Identifies a caller's request on this host; unique while the router knows the
// request.
using RequestId = uint64_t;

enum class EndpointState { kLive, kLeaving, kGone };

struct EndpointInfo {
  std::string name;
  std::string service;
  std::string zone;
};

// Result of GET /load of an engine. Plain services have no load report.
struct LoadReport {
  // When the report was made, on the endpoint's own clock.
  common::Duration as_of{0};
  uint32_t running = 0;
  uint64_t queued_tokens = 0;
  uint32_t slots = 1;
  double prefill_tokens_per_s = 0;
  double decode_ms = 0;
  uint64_t kv_capacity_blocks = 0;
  uint64_t kv_used_blocks = 0;
  std::string version;
  bool leaving = false;
};

// Result of GET /status of a cache store: its size and its link in both
// directions. "Sent" is from the store to engines.
struct LinkReport {
  uint64_t capacity_bytes = 0;
  uint64_t used_bytes = 0;
  double link_bytes_per_s = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_bytes = 0;
};

struct CacheEvent {
  enum class Op { kAdd, kRemove };
  Op op = Op::kAdd;
  BlockKey key;
};

// An endpoint that holds the leading blocks of a chain.
struct Holder {
  std::string name;
  uint32_t leading_blocks = 0;
  // Events of this holder were lost, so it may hold fewer blocks.
  bool stale = false;
};

// Asks a conversation's owner which endpoints and stores hold the blocks.
// Message `index_query`.
struct IndexQuery {
  std::vector<BlockKey> keys;
};

// The blocks of a chain that one store holds, as positions in the query.
struct StoredBlocks {
  std::string store;
  std::vector<uint32_t> positions;
};

// The reply to an IndexQuery.
struct IndexReply {
  std::vector<Holder> endpoints;
  std::vector<StoredBlocks> stores;
};

// Informs a conversation's owner about changes to a holder's cached blocks.
// Message `index_update`.
struct IndexUpdate {
  std::string holder;
  bool holder_is_store = false;
  std::vector<CacheEvent> events;
};

struct RouteRequest {
  RequestId id = 0;
  std::string service;
  // Weight version in force for the service; empty: any.
  std::string version;
  // Zone of the caller.
  std::string zone;
  std::string team;
  // Empty for plain services and for prompts shorter than a block.
  std::vector<BlockKey> block_keys;
  uint64_t prompt_tokens = 0;
  uint64_t max_tokens = 0;
  common::TimePoint deadline;
  // Endpoints that must not be selected, such as one that just failed.
  std::vector<std::string> excluded;
  // Run the request alone on an endpoint, because an earlier run may have
  // crashed one.
  bool isolate = false;
  // The owner's reply, if this host queried it.
  std::optional<IndexReply> owner_reply;
  // Ignore cached prefixes, because the owner did not reply within
  // kOwnerReplyTimeout.
  bool load_only = false;
};

// How long a host waits for the reply of a conversation's owner.
inline constexpr common::Duration kOwnerReplyTimeout =
    std::chrono::milliseconds(20);

struct Restore {
  BlockKey key;
  std::string store;
};

struct RouteDecision {
  std::string endpoint;
  // Time from the decision to the first token.
  common::Duration predicted_first_token{0};
  // The part of it spent in the endpoint's queue.
  common::Duration predicted_wait{0};
  // Time from the decision to the arrival of the last restored block.
  common::Duration predicted_restore{0};
  // Prompt tokens expected in the endpoint's cache.
  uint64_t cached_tokens = 0;
  // Whether events of the endpoint were lost since the cached prefix was
  // confirmed.
  bool stale = false;
  // Blocks that the endpoint should fetch from stores before prefill.
  std::vector<Restore> restores;
};

// An endpoint that a host keeps free for a suspect.
struct Reservation {
  std::string endpoint;
  // Zero when the host has released the endpoint.
  common::Duration remaining{0};
};

// Tells an endpoint to copy blocks to a store (POST /kv/export).
struct Export {
  std::string endpoint;
  std::string store;
  std::string team;
  std::vector<BlockKey> keys;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_TYPES_H_
