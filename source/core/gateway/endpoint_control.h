#ifndef CORE_GATEWAY_ENDPOINT_CONTROL_H_
#define CORE_GATEWAY_ENDPOINT_CONTROL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/endpoint_notice.h"
#include "core/catalog/types.h"
#include "core/common/time.h"
#include "core/reuse/cache_store_index.h"

namespace jujuberock::gateway {

// An engine's report of its own state; a few hundred milliseconds old.
struct EngineReport {
  std::vector<catalog::ModelVersion> models;
  // An order is being executed.
  bool busy = false;
  // Orders accepted since its start.
  uint64_t sequence = 0;
};

// An order to load other weights of a model after the current runs have ended.
struct VersionOrder {
  std::string model;
  uint64_t version = 0;
  std::string holder;
  uint64_t token = 0;
  // The engine refuses the order if this is not its current sequence number.
  uint64_t expected_sequence = 0;
};

enum class OrderReply {
  kAccepted,
  kInForce,  // the engine already has that version
  kRefused,  // busy, or the sequence has changed
  kStale,    // the engine has seen a higher fencing token
  kUnknown,  // no response: the order may be executed later
  kNotSent,  // it was no longer allowed when the connection was ready
};

// An order to a cache store to free prompt parts.
struct FreeOrder {
  std::vector<reuse::StoredPartName> parts;
  // The store refuses the order if its epoch differs, or after `until_ms` on
  // the endpoints' clock.
  uint64_t epoch = 0;
  uint64_t until_ms = 0;
};

// Control calls to engines and cache stores. Each call suspends the calling
// fiber. Failures are returned, not thrown.
class EndpointControl {
 public:
  using NoticeCallback = std::function<void(const catalog::Endpoint&,
                                            const catalog::EndpointNotice&)>;

  virtual ~EndpointControl() = default;

  // Sets the callback for what engines say about themselves in responses to
  // Report() and Order().
  virtual void OnNotice(NoticeCallback callback) = 0;

  virtual std::optional<EngineReport> Report(
      const catalog::Endpoint& endpoint) = 0;
  // `may_send` is called immediately before the order is sent, since opening
  // its connection takes time.
  virtual OrderReply Order(const catalog::Endpoint& endpoint,
                           const VersionOrder& order,
                           std::function<bool()> may_send) = 0;
  // Returns a cache store's changes after `next`; waits up to `wait` for the
  // first. Nullopt if the store did not respond.
  virtual std::optional<reuse::StoreEvents> CacheEvents(
      const std::string& address,
      uint64_t next,
      common::Duration wait) = 0;
  // Returns whether the store confirmed that it freed the parts.
  virtual bool Free(const std::string& address, const FreeOrder& order) = 0;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_ENDPOINT_CONTROL_H_
