#ifndef CORE_ORDERS_VERSION_ROLLOUT_H_
#define CORE_ORDERS_VERSION_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/common/time.h"
#include "core/platform/object.h"

namespace jujuberock::orders {

// What an endpoint says that it runs.
struct EndpointReport {
  std::string endpoint;
  // Highest fencing number that the endpoint has accepted.
  uint64_t fence = 0;
  std::string version;
  bool loading = false;
};

// The state that the service's object in the table asks for.
struct DesiredVersion {
  std::string model;
  std::string version;
  // Weight loads that may run at the same time over the whole service.
  size_t loads_at_once = 1;
};

enum class OrderResult { kAccepted, kStaleFence, kFailed };

// Reads the service's `order` object.
struct ReadOrderObject {};

// Conditional write of the service's `order` object.
struct WriteOrderObject {
  platform::Version expected = 0;
  std::string body;
  std::string token;
};

// Tells an endpoint to load a version. Must not be sent after `expires_at`: a
// holder that was paused would repeat what a later holder has replaced.
struct SendOrder {
  std::string endpoint;
  uint64_t fence = 0;
  std::string model;
  std::string version;
  common::TimePoint expires_at;
};

using Action = std::variant<ReadOrderObject, WriteOrderObject, SendOrder>;
using Actions = std::vector<Action>;

struct RolloutOptions {
  // An order may be sent this long after it was made. A new holder waits this
  // long before its first order, since not every endpoint refuses an old
  // fencing number.
  common::Duration order_lifetime = std::chrono::seconds(3);
  // A load that an endpoint stops reporting counts as running for this long.
  common::Duration load_timeout = std::chrono::seconds(30);
  // Pause after a failed read or write of the order object.
  common::Duration retry_pause = std::chrono::seconds(1);
};

// Brings the endpoints of one service to the desired weight version, on the
// host that holds the service's orders. The term in the platform's `order`
// object is the fencing number; taking over raises it by a conditional write.
// Pure state machine: the caller performs the actions and reports the replies.
// Not thread-safe.
class VersionRollout {
 public:
  VersionRollout(std::string service, std::string host, RolloutOptions options);

  void SetDesired(DesiredVersion desired);
  // Whether membership prefers this host as the holder. Only a hint: safety
  // rests on the term.
  void SetPreferred(bool preferred);
  void SetEndpoints(std::set<std::string> endpoints);

  Actions OnTick(common::TimePoint now);
  // Orders that a report makes possible are made by the next OnTick(), after
  // every endpoint was asked.
  void OnReport(const EndpointReport& report, common::TimePoint now);
  // `failed` when the platform did not answer.
  Actions OnReadReply(bool failed,
                      const std::optional<platform::Object>& object,
                      common::TimePoint now);
  Actions OnWriteReply(const platform::WriteResult& result,
                       common::TimePoint now);
  Actions OnOrderReply(const std::string& endpoint,
                       OrderResult result,
                       common::TimePoint now);

  bool holds_orders() const { return this->state == State::kHolding; }
  uint64_t term() const { return this->held_term; }
  // Endpoints that run the desired version.
  size_t CountUpToDate() const;

 private:
  enum class State { kIdle, kReading, kClaiming, kHolding };

  struct EndpointState {
    std::optional<EndpointReport> report;
    common::TimePoint reported_at;
    // Set while an order of this term may be on its way or a load may run.
    std::optional<common::TimePoint> busy_since;
    std::string ordered_version;
  };

  bool HasWork() const;
  Actions StartRead();
  Actions Claim();
  void BecomeHolder(common::TimePoint now);
  void StepDown(common::TimePoint now);
  Actions MakeOrders(common::TimePoint now);
  bool MayOrder(const EndpointState& endpoint, common::TimePoint now) const;
  size_t CountLoads(common::TimePoint now);

  std::string service;
  std::string host;
  RolloutOptions options;
  std::optional<DesiredVersion> desired;
  bool preferred = false;
  std::map<std::string, EndpointState> endpoints;
  State state = State::kIdle;
  common::TimePoint next_attempt;
  // The order object as last read.
  platform::Version object_version = 0;
  uint64_t object_term = 0;
  uint64_t claim_count = 0;
  uint64_t held_term = 0;
  common::TimePoint held_since;
};

}  // namespace jujuberock::orders

#endif  // CORE_ORDERS_VERSION_ROLLOUT_H_
