#ifndef CORE_DISPATCH_SERVICE_POOL_H_
#define CORE_DISPATCH_SERVICE_POOL_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/types.h"
#include "core/common/name_table.h"
#include "core/common/random.h"
#include "core/dispatch/decaying_rate.h"
#include "core/dispatch/endpoint_record.h"
#include "core/dispatch/first_token_model.h"
#include "core/dispatch/prompt.h"
#include "core/dispatch/stored_part.h"

namespace jujuberock::dispatch {

// Why an endpoint may not take a request.
enum class Exclusion {
  kNone,
  kLeaving,        // it is draining or no longer registered
  kTried,          // the request was already sent to it
  kOutdated,       // its weights are older than the required version
  kReserved,       // its weights are being replaced
  kPaused,         // it is full, or not the endpoint that was expected
  kOtherSoftware,  // its program has another version than that of the stream
  kUncertain,      // its process may not be the one that is registered
};

inline constexpr common::NameTable<Exclusion, 8> kExclusionNames(
    {"none", "leaving", "tried", "outdated", "reserved", "paused",
     "other_software", "uncertain"});

// Number of endpoints by exclusion; indexed by Exclusion.
using ExclusionCounts = std::array<uint64_t, 8>;

// Properties of a request that the choice of an endpoint depends on.
struct SendRequirements {
  int urgency = 0;
  // Null for plain services.
  const Prompt* prompt = nullptr;
  std::string_view salt;
  // Weight versions that the request must, or should preferably, run on; 0 for
  // any.
  uint64_t required_version = 0;
  uint64_t preferred_version = 0;
  // Returns the latest time at which a run on a version may begin, if there is
  // one. May be empty.
  std::function<std::optional<common::TimePoint>(uint64_t version)>
      start_deadline;
  // Software version of the endpoints that may go on with the stream; any if
  // not set.
  std::optional<std::string> software;
  // Only endpoints whose process is certain to be the one that is registered,
  // because the software version matters.
  bool certain_only = false;
  // Endpoints that this request was already sent to.
  const std::set<std::string>* tried = nullptr;
  // Returns, for each part of the prompt, the stored copy that an engine of
  // this weight version can fetch instead of prefilling the part. May be empty.
  std::function<const std::vector<StoredPart>&(uint64_t version)> stored;
  FetchLimits fetch_limits;
  // The request was in flight on an endpoint that crashed, so it should run
  // where it affects the fewest other requests.
  bool isolate = false;
  // Only endpoints that are healthy and have not just refused a request.
  bool ready_only = false;
};

struct EndpointChoice {
  std::shared_ptr<EndpointRecord> endpoint;
  // Expected time to the first byte.
  common::Duration predicted{0};
  // Whether the endpoint has a free slot and enough memory, and no request is
  // waiting there.
  bool idle = false;
  // Tokens that the engine must prefill.
  int64_t uncached_tokens = 0;
  // Tokens that the engine is assumed to have cached.
  int64_t cached_tokens = 0;
  // Time to fetch the tokens that are neither cached nor prefilled, and the
  // part of it during which the transfers occupy the links.
  double fetch_ms = 0;
  double link_ms = 0;
  // Whether the run is expected to stream many events, so that pauses between
  // tokens are likely to affect it.
  bool is_long = false;
  // Expected time until the run ends.
  common::Duration run_time{0};
};

// The endpoints of one service as this host sees them. Chooses the endpoint for
// each request by estimated cost. Not thread-safe.
class ServicePool {
 public:
  ServicePool(std::string zone, size_t hosts, uint64_t seed)
      : zone(std::move(zone)), hosts(hosts), random(seed) {}

  // Sets the endpoints that are registered for the service. Known endpoints
  // keep their records; an endpoint that has restarted gets a new one.
  void Update(const catalog::Service& service,
              const std::vector<catalog::Endpoint>& endpoints);
  void SetHostCount(size_t count) { this->hosts = count == 0 ? 1 : count; }

  // Returns the best endpoint for the request, or nothing if none may take it.
  std::optional<EndpointChoice> Choose(const SendRequirements& requirements,
                                       common::TimePoint now);

  // Returns the time until the first endpoint takes the request again; nothing
  // unless all that may take it have asked for a pause.
  std::optional<common::Duration> PauseLeft(
      const SendRequirements& requirements,
      common::TimePoint now) const;
  // Whether an endpoint of this software version takes new requests.
  bool HasSoftware(const std::string& software) const;
  // The same for an endpoint whose process is certain and that is not among
  // those in `except`.
  bool HasCertainSoftware(const std::string& software,
                          const std::set<std::string>& except) const;
  // Counts the endpoints that may take the request and those that may not.
  ExclusionCounts CountExclusions(const SendRequirements& requirements,
                                  common::TimePoint now) const;

  // Records a send of this host or one that another host announced.
  void OnSent(const PeerPrompt& prompt, common::TimePoint now);
  void OnFirstToken(const SendTicket& ticket, common::TimePoint now);
  // Records a run that ended successfully.
  void OnFinished(const SendTicket& ticket, common::TimePoint now);
  // Returns whether this outcome ejected the endpoint.
  bool OnOutcome(EndpointRecord& endpoint,
                 SendOutcome outcome,
                 common::TimePoint now);

  // Another host could not reach the endpoint. Returns whether the endpoint was
  // ejected; it is not if it has just answered this host.
  static bool OnPeerUnreachable(EndpointRecord& endpoint,
                                common::TimePoint now);

  const std::map<std::string, std::shared_ptr<EndpointRecord>>& records()
      const {
    return this->endpoints;
  }
  std::shared_ptr<EndpointRecord> Find(std::string_view id) const;
  const FirstTokenModel& first_token() const { return this->model; }
  const std::optional<catalog::EngineProperties>& engine_properties() const {
    return this->properties;
  }
  bool is_engine() const { return this->properties.has_value(); }

 private:
  enum class Eligibility { kNo, kLastResort, kYes };

  // Removed endpoints that are remembered because they asked for a pause.
  static constexpr size_t kMaxRemembered = 256;

  // Returns the record of an instance that is registered again, if it is
  // remembered.
  std::shared_ptr<EndpointRecord> TakeRemembered(
      const catalog::Endpoint& endpoint);

  static Exclusion ExclusionOf(const EndpointRecord& record,
                               const SendRequirements& requirements,
                               common::TimePoint now);
  static Eligibility EligibilityOf(const EndpointRecord& record,
                                   const SendRequirements& requirements,
                                   common::TimePoint now);
  static Eligibility EligibilityByHealth(const EndpointRecord& record,
                                         common::TimePoint now);
  // What makes some engines cheaper for a prompt than others: the two
  // highest-ranked endpoints of its session by rendezvous hashing, and the
  // parts that an engine may have cached.
  struct Affinity {
    const EndpointRecord* first = nullptr;
    const EndpointRecord* second = nullptr;
    std::vector<CachedPart> parts = {};
  };

  // Chooses among the engines for long runs if `is_long` is set, otherwise
  // among the rest.
  Affinity AffinityOf(const Prompt& prompt, bool is_long) const;
  bool IsLong(const Prompt& prompt) const;
  common::Duration RunTime(const EndpointChoice& choice,
                           const Prompt& prompt) const;
  // Whether the engine is preferred for long runs. All hosts select such
  // engines by the same hash of the id. Prefilling a prompt between the tokens
  // of a run lengthens the pauses in its stream, so other requests, long
  // prompts above all, go to the rest of the engines while these have capacity.
  bool IsForLongRuns(const std::string& id) const;
  void UpdateLongRunShare(common::TimePoint now);
  double MisplacementCost(const EndpointChoice& choice,
                          double prefill_ms) const;
  // Whether a run on the chosen engine is likely to begin in time.
  static bool BeginsInTime(const EndpointChoice& choice,
                           const SendRequirements& requirements,
                           common::TimePoint now);
  // Returns the estimated cost in milliseconds and fills in the other fields of
  // the choice.
  double Cost(EndpointChoice& choice,
              const SendRequirements& requirements,
              const Affinity& affinity,
              common::TimePoint now);
  double EngineCost(EndpointChoice& choice,
                    const SendRequirements& requirements,
                    const Affinity& affinity,
                    common::TimePoint now);
  // Subtracts the parts that are worth fetching from the uncached tokens and
  // sets the fetch time.
  void ApplyStoredParts(EndpointChoice& choice,
                        const SendRequirements& requirements) const;
  double PlainCost(EndpointChoice& choice, common::TimePoint now);

  std::string zone;
  size_t hosts;
  common::Random random;
  std::optional<catalog::EngineProperties> properties;
  std::map<std::string, std::shared_ptr<EndpointRecord>> endpoints;
  std::map<std::string, std::shared_ptr<EndpointRecord>> remembered;
  FirstTokenModel model;
  double failure_share = 0;
  double mean_uncached = 0;
  // Moving average of the `max_output_tokens` of requests.
  double mean_output = 0;
  // Time per output token. For short runs it includes the pause after the first
  // token, which dominates it.
  double long_output_token_ms = 6;
  double short_output_token_ms = 20;
  // Load of runs that stream many events: slot time in seconds and prefilled
  // tokens, both per second.
  DecayingRate long_run_time;
  DecayingRate long_run_tokens;
  double long_run_share = 0;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_SERVICE_POOL_H_
