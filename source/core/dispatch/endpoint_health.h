#ifndef CORE_DISPATCH_ENDPOINT_HEALTH_H_
#define CORE_DISPATCH_ENDPOINT_HEALTH_H_

#include <string_view>

#include "core/common/name_table.h"
#include "core/common/time.h"

namespace jujuberock::dispatch {

// Outcome of one send to an endpoint, for passive health checking.
enum class SendOutcome {
  kGood,
  kError,    // the endpoint returned a failure status or a malformed answer
  kBroken,   // the connection ended before the answer was complete
  kSilent,   // no byte arrived within the expected time
  kNoRoute,  // no connection could be opened
  // Another process answers at its address, so it is gone for good.
  kReplaced,
};

inline constexpr common::NameTable<SendOutcome, 6> kSendOutcomeNames(
    {"good", "error", "broken", "silent", "no_route", "replaced"});

// Passive health check of one endpoint, based on the outcomes of sends to it.
// A failing endpoint is ejected for a time that doubles with each relapse, up
// to a maximum. It is then on probation and gets one request at a time until
// one succeeds. Not thread-safe.
class EndpointHealth {
 public:
  enum class State { kHealthy, kEjected, kProbation };

  State StateAt(common::TimePoint now) const;
  // `usual_failure_share` is the failure rate of the whole service, which may
  // be far from zero without any endpoint being at fault. Returns whether this
  // outcome ejected the endpoint.
  bool OnOutcome(SendOutcome outcome,
                 double usual_failure_share,
                 common::TimePoint now);
  // Ejects the endpoint immediately, because it was found dead or silent by
  // other means.
  void Eject(common::TimePoint now);
  // Ends an ejection early, because the endpoint can be reached again.
  void EndEjection(common::TimePoint now);
  double failure_share() const { return this->failure_rate; }

 private:
  static constexpr double kFailureSmoothing = 0.12;
  // The failure rate must exceed that of the service by this much to eject an
  // endpoint.
  static constexpr double kEjectionMargin = 0.22;
  static constexpr common::Duration kInitialEjection =
      std::chrono::milliseconds(700);
  static constexpr common::Duration kMaxEjection =
      std::chrono::milliseconds(4000);

  // Moving average; 0 without failures, 1 when every send fails.
  double failure_rate = 0;
  int consecutive_failures = 0;
  bool ejected = false;
  common::TimePoint ejected_until;
  common::Duration next_ejection_time = kInitialEjection;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ENDPOINT_HEALTH_H_
