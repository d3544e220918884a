#ifndef CORE_GATEWAY_ENDPOINT_CONTROL_H_
#define CORE_GATEWAY_ENDPOINT_CONTROL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/types.h"
#include "core/common/time.h"
#include "core/reuse/store_book.h"

namespace jujuberock::gateway {

// What an engine reports of itself; some hundred milliseconds old.
struct EngineReport {
  std::vector<catalog::ModelVersion> models;
  // An order is being carried out.
  bool busy = false;
  // Orders accepted since its start.
  uint64_t sequence = 0;
};

// An order to change the weights of one model, after the runs that are going
// on have ended.
struct VersionOrder {
  std::string model;
  uint64_t version = 0;
  std::string holder;
  uint64_t token = 0;
  // The engine refuses when it has accepted another number of orders.
  uint64_t expected_sequence = 0;
};

enum class OrderReply {
  kAccepted,
  kInForce,  // the engine has that version already
  kRefused,  // busy, or the sequence has changed
  kStale,    // a higher fencing token was seen
  kUnknown,  // no answer: it may be carried out later
};

// Parts that a cache store is to free.
struct FreeOrder {
  std::vector<reuse::StoredPartName> parts;
  // The store refuses when it has another epoch, or later than this on the
  // endpoints' clock.
  uint64_t epoch = 0;
  uint64_t until_ms = 0;
};

// Calls to engines and cache stores besides requests. Each suspends the
// calling fiber; nothing is thrown.
class EndpointControl {
 public:
  virtual ~EndpointControl() = default;

  virtual std::optional<EngineReport> Report(
      const catalog::Endpoint& endpoint) = 0;
  virtual OrderReply Order(const catalog::Endpoint& endpoint,
                           const VersionOrder& order) = 0;
  // Changes of a cache store after `next`; waits up to `wait` for the first.
  virtual std::optional<reuse::StoreEvents> CacheEvents(
      const std::string& address,
      uint64_t next,
      common::Duration wait) = 0;
  // Whether the store has freed the parts.
  virtual bool Free(const std::string& address, const FreeOrder& order) = 0;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_ENDPOINT_CONTROL_H_
