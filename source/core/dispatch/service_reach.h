#ifndef CORE_DISPATCH_SERVICE_REACH_H_
#define CORE_DISPATCH_SERVICE_REACH_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// Whether this host reaches the endpoints of a service. While it does not, they
// may be down for all hosts, or only this host may be cut off from them; what
// other hosts answer tells which. Pure state machine, not thread-safe.
class ServiceReach {
 public:
  // An endpoint that was not tried again for this long counts as reached.
  static constexpr common::Duration kMemory = std::chrono::seconds(10);
  // Failures count as those of this host if no endpoint was reached for this
  // long before them. A host that hears little tries endpoints more often.
  static constexpr common::Duration kQuietTime = std::chrono::milliseconds(700);

  // The endpoint has sent something or accepted a connection.
  void OnReached(std::string_view endpoint, common::TimePoint now);
  // No connection to the endpoint could be opened.
  void OnUnreached(const std::string& endpoint, common::TimePoint now);
  // The endpoint is no longer registered.
  void Forget(const std::string& endpoint) { this->unreached.erase(endpoint); }
  // Forgets what is older than kMemory.
  void Tick(common::TimePoint now);

  // Whether several endpoints can't be reached, so that others should be tried
  // to see whether they can.
  bool IsSuspect(size_t endpoints) const;
  // Whether most of the `endpoints` of the service can't be reached, or several
  // of them and no other one since. The share matters where connections stay
  // open and only new ones fail.
  bool IsImpaired(size_t endpoints) const;
  bool IsUnreached(const std::string& endpoint) const {
    return this->unreached.contains(endpoint);
  }
  common::TimePoint reached_at() const { return this->last_reached; }
  size_t unreached_count() const { return this->unreached.size(); }

 private:
  struct Failures {
    common::TimePoint first;
    common::TimePoint last;
  };

  std::map<std::string, Failures, std::less<>> unreached;
  common::TimePoint last_reached;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_SERVICE_REACH_H_
