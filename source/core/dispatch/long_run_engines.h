#ifndef CORE_DISPATCH_LONG_RUN_ENGINES_H_
#define CORE_DISPATCH_LONG_RUN_ENGINES_H_

#include <map>
#include <memory>
#include <string>

#include "core/common/time.h"
#include "core/dispatch/decaying_rate.h"
#include "core/dispatch/endpoint_record.h"
#include "core/dispatch/peer_prompt.h"

namespace jujuberock::dispatch {

// The engines of a service that are preferred for runs that stream many events.
// All hosts select them by the same hash of the id, and as many of them as the
// load of such runs needs. Prefilling a prompt between the tokens of a run
// lengthens the pauses in its stream, so other requests, long prompts above
// all, go to the rest of the engines while these have capacity. Not
// thread-safe.
class LongRunEngines {
 public:
  // Records a send of this host or one that another host announced.
  void OnSent(const PeerPrompt& prompt, common::TimePoint now);
  // Sets the share of the engines that long runs need. `token_ms` is the
  // prefill time of one token.
  void UpdateShare(
      const std::map<std::string, std::shared_ptr<EndpointRecord>>& endpoints,
      double token_ms,
      common::TimePoint now);

  // Whether engines are separated at present.
  bool AreSeparated() const { return this->share > 0; }
  bool Contains(const std::string& id) const;
  // Returns the cost in milliseconds of a run on an engine of the other group.
  double MisplacementCost(const std::string& id,
                          bool is_long,
                          double prefill_ms) const;

 private:
  // Load of runs that stream many events: slot time in seconds and prefilled
  // tokens, both per second.
  DecayingRate run_time;
  DecayingRate tokens;
  double share = 0;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_LONG_RUN_ENGINES_H_
