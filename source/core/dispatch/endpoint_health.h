#ifndef CORE_DISPATCH_ENDPOINT_HEALTH_H_
#define CORE_DISPATCH_ENDPOINT_HEALTH_H_

#include <string_view>

#include "core/common/name_table.h"
#include "core/common/time.h"

namespace jujuberock::dispatch {

// How one send to an endpoint ended, as far as it tells of its health.
enum class SendOutcome {
  kGood,
  kError,    // its own failure status, or a malformed answer
  kBroken,   // the connection ended before the answer was complete
  kSilent,   // no sign of life although one was due
  kNoRoute,  // no connection could be opened
};

inline constexpr common::NameTable<SendOutcome, 5> kSendOutcomeNames(
    {"good", "error", "broken", "silent", "no_route"});

// Passive health of one endpoint, from the outcomes of what was sent to it.
// An endpoint that fails is ejected for a time that doubles with each relapse;
// after that it gets single requests until one is good. Not thread-safe.
class EndpointHealth {
 public:
  enum class State { kGood, kEjected, kProbation };

  State StateAt(common::TimePoint now) const;
  // `usual_failure_share`: the share of failures over the whole service, which
  // may be far from zero without any endpoint being at fault.
  // Returns whether this outcome ejected the endpoint.
  bool OnOutcome(SendOutcome outcome,
                 double usual_failure_share,
                 common::TimePoint now);
  // Ejects it at once: it was found dead or silent by other means.
  void Eject(common::TimePoint now);
  double failure_share() const { return this->failures; }

 private:
  static constexpr double kWeight = 0.12;
  // Failures must exceed the usual share by this much to eject an endpoint.
  static constexpr double kExcessShare = 0.22;
  static constexpr common::Duration kFirstEjection =
      std::chrono::milliseconds(700);
  static constexpr common::Duration kLongestEjection =
      std::chrono::milliseconds(4000);

  double failures = 0;
  int consecutive = 0;
  bool ejected = false;
  common::TimePoint ejected_until;
  common::Duration next_ejection = kFirstEjection;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ENDPOINT_HEALTH_H_
