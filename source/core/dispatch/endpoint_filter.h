#ifndef CORE_DISPATCH_ENDPOINT_FILTER_H_
#define CORE_DISPATCH_ENDPOINT_FILTER_H_

#include <array>
#include <cstdint>
#include <optional>

#include "core/catalog/evacuations.h"
#include "core/catalog/types.h"
#include "core/common/name_table.h"
#include "core/common/time.h"
#include "core/dispatch/endpoint_record.h"
#include "core/dispatch/host_ranking.h"
#include "core/dispatch/send_requirements.h"

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
  kEvacuated,      // the operator has evacuated its zone
  kOutsideHome,    // its region must not see the request
  kCold,           // it is cold, and this host has used up its share of it
  kBrittle,        // it may refuse, which may crash it, and this host has used
                   // up its share of the refusals
};

inline constexpr size_t kExclusionCount = 12;

inline constexpr common::NameTable<Exclusion, kExclusionCount> kExclusionNames(
    {"none", "leaving", "tried", "outdated", "reserved", "paused",
     "other_software", "uncertain", "evacuated", "outside_home", "cold",
     "brittle"});

// Number of endpoints by exclusion; indexed by Exclusion.
using ExclusionCounts = std::array<uint64_t, kExclusionCount>;

// What this host knows beside the endpoints themselves that decides which of
// them may take a request. Null means that nothing of the kind limits them.
struct FilterInputs {
  const HostRanking* hosts = nullptr;
  const catalog::Evacuations* evacuations = nullptr;
};

// Whether an endpoint takes a request: not at all, only if no other one does,
// or as one of several.
enum class Eligibility { kNo, kLastResort, kYes };

// Decides which endpoints of one service may take a request. Not thread-safe.
class EndpointFilter {
 public:
  explicit EndpointFilter(const FilterInputs& inputs) : inputs(inputs) {}

  void SetService(const catalog::Service& service) {
    this->cold_rate = service.cold_rate;
    this->service_cold_time = service.cold_time;
  }

  // Returns the first reason why the endpoint may not take the request.
  Exclusion ExclusionOf(const EndpointRecord& record,
                        const SendRequirements& requirements,
                        common::TimePoint now) const;
  // Judges by the exclusions and by the endpoint's recent outcomes.
  Eligibility EligibilityOf(const EndpointRecord& record,
                            const SendRequirements& requirements,
                            common::TimePoint now) const;

  // Time until an endpoint that is full, or cold, takes a request of this host
  // again; nothing if it is excluded for another reason, or not at all.
  std::optional<common::Duration> PauseLeft(
      const EndpointRecord& record,
      const SendRequirements& requirements,
      common::TimePoint now) const;

  // What any endpoint of the service has last said of its kind.
  BrittleStatement& brittle() { return this->service_brittle; }
  const BrittleStatement& brittle() const { return this->service_brittle; }

  bool has_cold_limit() const { return this->cold_rate > 0; }
  common::Duration cold_time() const { return this->service_cold_time; }
  ColdState ColdStateOf(const EndpointRecord& record,
                        common::TimePoint now) const;
  // Whether the endpoint may have restarted without notice, so recently that it
  // could still be cold.
  bool MayHaveRestarted(const EndpointRecord& record,
                        common::TimePoint now) const;

 private:
  ColdLimit::Terms ColdTerms(const EndpointRecord& record,
                             common::TimePoint now) const;
  // Time until this host may send to the endpoint, as far as that is cold.
  common::Duration TimeToColdShare(const EndpointRecord& record,
                                   common::TimePoint now) const;

  // Whether this host may send to the endpoint, as far as that is brittle.
  bool AllowsBrittle(const EndpointRecord& record, common::TimePoint now) const;

  FilterInputs inputs;
  BrittleStatement service_brittle;
  double cold_rate = 0;
  common::Duration service_cold_time{0};
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ENDPOINT_FILTER_H_
