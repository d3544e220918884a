#ifndef CORE_DISPATCH_PLACEMENT_COST_H_
#define CORE_DISPATCH_PLACEMENT_COST_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/catalog/types.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/dispatch/endpoint_choice.h"
#include "core/dispatch/endpoint_record.h"
#include "core/dispatch/first_token_model.h"
#include "core/dispatch/long_run_engines.h"
#include "core/dispatch/part_cache.h"
#include "core/dispatch/peer_prompt.h"
#include "core/dispatch/send_requirements.h"

namespace jujuberock::dispatch {

// The estimated cost of a run on each endpoint of a service, in milliseconds,
// and what the estimates are learnt from. Not thread-safe.
class PlacementCost {
 public:
  using Endpoints = std::map<std::string, std::shared_ptr<EndpointRecord>>;

  PlacementCost(std::string zone, uint64_t seed)
      : zone(std::move(zone)), random(seed) {}

  void SetProperties(const std::optional<catalog::EngineProperties>& engine) {
    this->properties = engine;
  }

  // What the costs of one request on all endpoints have in common.
  struct Preparation {
    // Whether the run is expected to stream many events.
    bool is_long = false;
    // The two highest-ranked endpoints of the prompt's session by rendezvous
    // hashing, among the engines for long runs or among the rest.
    const EndpointRecord* first = nullptr;
    const EndpointRecord* second = nullptr;
    // The parts that an engine may have cached.
    std::vector<CachedPart> parts = {};
  };
  Preparation Prepare(const SendRequirements& requirements,
                      const Endpoints& endpoints,
                      common::TimePoint now);
  // Returns the estimated cost and fills in the other fields of the choice.
  double Estimate(EndpointChoice& choice,
                  const SendRequirements& requirements,
                  const Preparation& preparation,
                  common::TimePoint now);

  // Records a send of this host or one that another host announced.
  void OnSent(const PeerPrompt& prompt, common::TimePoint now);
  void OnFirstToken(const SendTicket& ticket, common::TimePoint now);
  // Records a run that ended successfully.
  void OnFinished(const SendTicket& ticket, common::TimePoint now);
  void OnOutcome(bool good);

  const FirstTokenModel& first_token() const { return this->model; }
  // Share of the sends to all endpoints that failed lately.
  double failure_share() const { return this->mean_failures; }

 private:
  void FindAffinity(Preparation& preparation,
                    const Prompt& prompt,
                    const Endpoints& endpoints) const;
  // Share of a run's time that is spent on its output rather than on its
  // prompt. The number of output tokens alone does not tell the runs that a
  // prefill disturbs from those that disturb others: a long prompt may have
  // more output than most short questions.
  double OutputShare(const Prompt& prompt) const;
  void CountOutputShare(const Prompt& prompt);
  bool IsLong(const Prompt& prompt) const;
  common::Duration RunTime(const EndpointChoice& choice,
                           const Prompt& prompt) const;
  double EngineCost(EndpointChoice& choice,
                    const SendRequirements& requirements,
                    const Preparation& preparation,
                    common::TimePoint now);
  // Returns the cost of what the run does not find on the engine: memory and a
  // slot. Also sets whether the engine is idle.
  double RoomCost(EndpointChoice& choice,
                  const SendRequirements& requirements,
                  double pending_ahead,
                  common::TimePoint now) const;
  // Subtracts the parts that are worth fetching from the uncached tokens and
  // sets the fetch time.
  void ApplyStoredParts(EndpointChoice& choice,
                        const SendRequirements& requirements) const;
  double PlainCost(EndpointChoice& choice, common::TimePoint now) const;

  std::string zone;
  common::Random random;
  std::optional<catalog::EngineProperties> properties;
  FirstTokenModel model;
  LongRunEngines long_runs;
  double mean_failures = 0;
  double mean_uncached = 0;
  std::optional<double> mean_output_share;
  // Moving average of the KV cache use of runs, in tokens.
  double mean_memory = 0;
  // Time per output token. For short runs it includes the pause after the first
  // token, which dominates it.
  double long_output_token_ms = 6;
  double short_output_token_ms = 20;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_PLACEMENT_COST_H_
