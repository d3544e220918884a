#ifndef CORE_DISPATCH_ENDPOINT_FILTER_H_
#define CORE_DISPATCH_ENDPOINT_FILTER_H_

#include <array>
#include <cstdint>

#include "core/common/name_table.h"
#include "core/common/time.h"
#include "core/dispatch/endpoint_record.h"
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
};

inline constexpr common::NameTable<Exclusion, 8> kExclusionNames(
    {"none", "leaving", "tried", "outdated", "reserved", "paused",
     "other_software", "uncertain"});

// Number of endpoints by exclusion; indexed by Exclusion.
using ExclusionCounts = std::array<uint64_t, 8>;

// Returns the first reason why the endpoint may not take the request.
Exclusion ExclusionOf(const EndpointRecord& record,
                      const SendRequirements& requirements,
                      common::TimePoint now);

// Whether an endpoint takes a request: not at all, only if no other one does,
// or as one of several.
enum class Eligibility { kNo, kLastResort, kYes };

// Judges by the exclusions and by the endpoint's recent outcomes.
Eligibility EligibilityOf(const EndpointRecord& record,
                          const SendRequirements& requirements,
                          common::TimePoint now);

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ENDPOINT_FILTER_H_
