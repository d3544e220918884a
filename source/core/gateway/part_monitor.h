#ifndef CORE_GATEWAY_PART_MONITOR_H_
#define CORE_GATEWAY_PART_MONITOR_H_

#include <optional>
#include <string>
#include <vector>

#include "core/dispatch/endpoint_record.h"
#include "core/dispatch/prompt.h"
#include "core/suspects/part_suspects.h"

namespace jujuberock::gateway {

// The parts of one request's prompt that other requests may share: all but the
// last. Checks them against the parts that crash endpoints and records what the
// sends of the request show about them.
class PartMonitor {
 public:
  // The prompt must outlive the object; null if the request has none.
  PartMonitor(suspects::PartSuspects& suspects, const dispatch::Prompt* prompt);

  // Returns the id of a part for which the request must not be sent.
  std::optional<std::string> FindBlocked(common::TimePoint now) const;
  // Whether the request, which has such a part, may be sent all the same to
  // test that the part crashes endpoints; TakeTrial() when it is about to be
  // sent.
  bool MayBeTrial(common::TimePoint now) const;
  bool TakeTrial(common::TimePoint now);
  // The request is being sent to another endpoint.
  void OnSent() { this->is_sound = false; }
  // An event of the response has arrived.
  void OnEvent(const dispatch::SendTicket& ticket, common::TimePoint now);
  // The response has ended successfully. If it ended with its connection, the
  // endpoint has answered since.
  void OnAnswered(const dispatch::SendTicket& ticket, common::TimePoint now);
  // The parts that can be the cause if the endpoint has crashed.
  std::vector<suspects::PartInFlight> PossibleCauses(
      const dispatch::SendTicket& ticket,
      common::TimePoint now) const;

 private:
  suspects::PartSuspects& suspects;
  const dispatch::Prompt* prompt;
  std::vector<suspects::Fingerprint> fingerprints;
  // Whether this send has shown that the parts are sound.
  bool is_sound = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_PART_MONITOR_H_
