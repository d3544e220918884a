#ifndef CORE_DISPATCH_SERVICE_POOL_H_
#define CORE_DISPATCH_SERVICE_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/types.h"
#include "core/common/random.h"
#include "core/dispatch/demand.h"
#include "core/dispatch/endpoint_record.h"
#include "core/dispatch/first_token_model.h"
#include "core/dispatch/prompt.h"
#include "core/dispatch/stored_part.h"

namespace jujuberock::dispatch {

// What the choice of an endpoint depends on.
struct SendNeeds {
  int urgency = 0;
  // Null for plain services.
  const Prompt* prompt = nullptr;
  std::string_view salt;
  // Version of the weights that the request must (or had better) run on; 0
  // when any will do.
  uint64_t required_version = 0;
  uint64_t preferred_version = 0;
  // Endpoints that this request was sent to already.
  const std::set<std::string>* tried = nullptr;
  // What engines of this weight version can fetch of each part of the prompt
  // instead of reading it; may be empty.
  std::function<const std::vector<StoredPart>&(uint64_t version)> stored;
  FetchLimits fetch_limits;
  // Had a part in a crash: runs where it endangers least.
  bool isolate = false;
};

struct Choice {
  std::shared_ptr<EndpointRecord> endpoint;
  // Expected time to the first byte.
  common::Duration predicted{0};
  // The endpoint has places and memory, and nothing waits there.
  bool idle = false;
  // Tokens that the engine must read.
  int64_t uncached_tokens = 0;
  // Tokens that it is thought to hold.
  int64_t cached_tokens = 0;
  // Time to fetch what is neither held nor read.
  double fetch_ms = 0;
  // The run sends many events, so that pauses are likely to hurt it.
  bool is_long = false;
  // Expected time until the run has ended.
  common::Duration run_time{0};
};

// The endpoints of one service as this host sees them, and the choice among
// them. Not thread-safe.
class ServicePool {
 public:
  ServicePool(std::string zone, size_t hosts, uint64_t seed)
      : zone(std::move(zone)), hosts(hosts), random(seed) {}

  // Endpoints registered for the service now. Records of endpoints that are
  // still known keep their books; a new start gets a new record.
  void Update(const catalog::Service& service,
              const std::vector<catalog::Endpoint>& endpoints);
  void SetHostCount(size_t count) { this->hosts = count == 0 ? 1 : count; }

  // The best endpoint for the request; nothing when none may take it.
  std::optional<Choice> Choose(const SendNeeds& needs, common::TimePoint now);

  // Books a send of this host, or one that another host told of.
  void OnSent(const PeerPrompt& prompt, common::TimePoint now);
  void OnFirstToken(const SendTicket& ticket, common::TimePoint now);
  // The run has ended well.
  void OnFinished(const SendTicket& ticket, common::TimePoint now);
  // Returns whether the endpoint was ejected by it.
  bool OnOutcome(EndpointRecord& endpoint,
                 SendOutcome outcome,
                 common::TimePoint now);

  // Another host could not reach the endpoint. Returns whether it
  // was ejected: not if it has answered this host in the meantime.
  static bool OnPeerLost(EndpointRecord& endpoint, common::TimePoint now);

  const std::map<std::string, std::shared_ptr<EndpointRecord>>& records()
      const {
    return this->endpoints;
  }
  std::shared_ptr<EndpointRecord> Find(std::string_view id) const;
  const FirstTokenModel& first_token() const { return this->model; }
  const std::optional<catalog::EngineTraits>& engine_traits() const {
    return this->traits;
  }
  bool is_engine() const { return this->traits.has_value(); }
  double usual_failures() const { return this->failure_share; }

 private:
  enum class Eligibility { kNo, kLastResort, kYes };

  Eligibility EligibilityOf(const EndpointRecord& record,
                            const SendNeeds& needs,
                            common::TimePoint now) const;
  // The first two endpoints of a session by rendezvous hashing.
  struct Affinity {
    const EndpointRecord* first = nullptr;
    const EndpointRecord* second = nullptr;
  };

  // Among the engines for long runs or among the others.
  Affinity AffinityOf(const Prompt& prompt, bool is_long) const;
  bool IsLong(const Prompt& prompt) const;
  common::Duration RunTime(const Choice& choice, const Prompt& prompt) const;
  // Engines for long runs are a share of all, the same on every host. Prompts
  // that engines read between the tokens of a run make its pauses longer, so
  // long prompts go to the other engines while these have time for them.
  bool IsForLongRuns(const std::string& id) const;
  void SetLongRunShare(common::TimePoint now);
  double SeparationCost(const Choice& choice, double reading_ms) const;
  // Cost in milliseconds; fills the rest of the choice.
  double Score(Choice& choice,
               const SendNeeds& needs,
               const Affinity& affinity,
               common::TimePoint now);
  double ScoreEngine(Choice& choice,
                     const SendNeeds& needs,
                     const Affinity& affinity,
                     common::TimePoint now);
  // Lowers the tokens that must be read by those that are worth fetching.
  void TakeStored(Choice& choice, const SendNeeds& needs) const;
  double ScorePlain(Choice& choice, common::TimePoint now);

  std::string zone;
  size_t hosts;
  common::Random random;
  std::optional<catalog::EngineTraits> traits;
  std::map<std::string, std::shared_ptr<EndpointRecord>> endpoints;
  FirstTokenModel model;
  double failure_share = 0;
  double mean_uncached = 0;
  // Most output tokens that requests ask for, on average.
  double mean_output = 0;
  // Time that an engine takes for one output token of a run; that of short
  // runs contains the first pause, which is most of it.
  double long_output_token_ms = 6;
  double short_output_token_ms = 20;
  // Runs that send many events: their time in places, in seconds, and the
  // tokens that engines read for them.
  Demand long_run_time;
  Demand long_run_tokens;
  double long_run_share = 0;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_SERVICE_POOL_H_
