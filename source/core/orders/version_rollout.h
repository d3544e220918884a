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

// What an endpoint reports about the version that it runs.
struct EndpointReport {
  std::string endpoint;
  // Highest fencing number that the endpoint has accepted.
  uint64_t fence = 0;
  std::string version;
  bool loading = false;
};

// The version that the service's object in the table demands.
struct DesiredVersion {
  std::string model;
  std::string version;
  // Limit on concurrent weight loads in the whole service.
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

// Orders an endpoint to load a version. Must not be sent after `expires_at`: a
// holder that was paused could undo the orders of a later holder.
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
  // An order may be sent for this long after it was issued. A new holder waits
  // this long before its first order, since not every endpoint refuses an old
  // fencing number.
  common::Duration order_lifetime = std::chrono::seconds(3);
  // If an endpoint stops reporting, its load counts as running for this long.
  common::Duration load_timeout = std::chrono::seconds(30);
  // Delay before the next claim after a failed read or write of the order
  // object, or after losing the orders.
  common::Duration retry_delay = std::chrono::seconds(1);
};

// Rolls out the desired weight version to the endpoints of one service. Only
// the host that holds the service's orders issues orders. The term in the
// platform's `order` object serves as the fencing number; a host takes over by
// raising it in a conditional write. A store that comes back from an older copy
// may lack the last terms, so a term begins with the era in which it was given
// out. A pure state machine: the caller performs
// the actions and reports the replies. Not thread-safe.
class VersionRollout {
 public:
  VersionRollout(std::string service, std::string host, RolloutOptions options);

  void SetDesired(DesiredVersion desired);
  // Whether membership prefers this host as the holder. Only a hint;
  // correctness depends on the term alone.
  void SetPreferred(bool preferred);
  void SetEndpoints(std::set<std::string> endpoints);

  Actions OnTick(common::TimePoint now);
  // Orders that a report makes possible are issued by the next OnTick(), after
  // all endpoints were polled.
  void OnReport(const EndpointReport& report, common::TimePoint now);
  // `failed` is true when the platform did not answer. An object that is
  // malformed is read again later, as if it had failed.
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
  // Whether the order object, as last read, is malformed, so that no host can
  // issue orders.
  bool object_malformed() const { return this->is_object_malformed; }
  // Number of endpoints that report the desired version.
  size_t CountUpToDate() const;

 private:
  enum class State { kIdle, kReading, kClaiming, kHolding };

  struct EndpointState {
    std::optional<EndpointReport> report;
    common::TimePoint reported_at;
    // Set while an order of this term may be in flight or its load running.
    std::optional<common::TimePoint> busy_since;
    std::string ordered_version;
  };

  bool HasWork() const;
  Actions StartRead();
  Actions Claim();
  void BecomeHolder(common::TimePoint now);
  void StepDown(common::TimePoint now);
  Actions IssueOrders(common::TimePoint now);
  bool CanOrder(const EndpointState& endpoint, common::TimePoint now) const;
  size_t CountLoads(common::TimePoint now);

  std::string service;
  std::string host;
  RolloutOptions options;
  std::optional<DesiredVersion> desired;
  bool preferred = false;
  std::map<std::string, EndpointState> endpoints;
  State state = State::kIdle;
  common::TimePoint next_claim_at;
  // The order object as last read.
  platform::Version object_version = 0;
  uint64_t object_term = 0;
  bool is_object_malformed = false;
  uint64_t claimed_term = 0;
  uint64_t claim_count = 0;
  uint64_t held_term = 0;
  common::TimePoint held_since;
};

}  // namespace jujuberock::orders

#endif  // CORE_ORDERS_VERSION_ROLLOUT_H_
