#include "core/dispatch/endpoint_filter.h"

namespace jujuberock::dispatch {

namespace {

Eligibility EligibilityByHealth(const EndpointRecord& record,
                                common::TimePoint now) {
  switch (record.health().StateAt(now)) {
    case EndpointHealth::State::kHealthy:
      return Eligibility::kYes;
    case EndpointHealth::State::kProbation:
      return record.own_in_flight() == 0 ? Eligibility::kYes
                                         : Eligibility::kLastResort;
    case EndpointHealth::State::kEjected:
      return Eligibility::kLastResort;
  }
  return Eligibility::kNo;
}

}  // namespace

Exclusion ExclusionOf(const EndpointRecord& record,
                      const SendRequirements& requirements,
                      common::TimePoint now) {
  if (record.endpoint().leaving || record.removed)
    return Exclusion::kLeaving;
  if (requirements.software &&
      record.endpoint().software != *requirements.software)
    return Exclusion::kOtherSoftware;
  if (requirements.certain_only && !record.process().IsCertain())
    return Exclusion::kUncertain;
  if (requirements.tried && requirements.tried->contains(record.endpoint().id))
    return Exclusion::kTried;
  if (requirements.prompt && requirements.required_version != 0 &&
      record.VersionOf(requirements.prompt->model) <
          requirements.required_version)
    return Exclusion::kOutdated;
  if (record.IsReserved(now))
    return Exclusion::kReserved;
  if (now < record.paused_until || now < record.backoff_until)
    return Exclusion::kPaused;
  return Exclusion::kNone;
}

Eligibility EligibilityOf(const EndpointRecord& record,
                          const SendRequirements& requirements,
                          common::TimePoint now) {
  if (ExclusionOf(record, requirements, now) != Exclusion::kNone)
    return Eligibility::kNo;
  const Eligibility eligibility = EligibilityByHealth(record, now);
  if (!requirements.ready_only)
    return eligibility;
  const bool is_ready =
      eligibility == Eligibility::kYes && !record.HasJustRefused(now);
  return is_ready ? Eligibility::kYes : Eligibility::kNo;
}

}  // namespace jujuberock::dispatch
