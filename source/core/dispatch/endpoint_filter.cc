#include "core/dispatch/endpoint_filter.h"

namespace jujuberock::dispatch {

namespace {

using common::Duration;
using common::TimePoint;

// Appended to an endpoint's id in the key of the order for its refusals.
constexpr const char* kRefusalOrder = "/refusals";

Eligibility EligibilityByHealth(const EndpointRecord& record,
                                const SendRequirements& requirements,
                                TimePoint now) {
  switch (record.health().StateAt(now)) {
    case EndpointHealth::State::kHealthy:
      return Eligibility::kYes;
    case EndpointHealth::State::kProbation:
      return record.own_in_flight() == 0 && !requirements.avoid_probation
                 ? Eligibility::kYes
                 : Eligibility::kLastResort;
    case EndpointHealth::State::kEjected:
      return Eligibility::kLastResort;
  }
  return Eligibility::kNo;
}

}  // namespace

Exclusion EndpointFilter::ExclusionOf(const EndpointRecord& record,
                                      const SendRequirements& requirements,
                                      TimePoint now) const {
  if (record.endpoint().leaving || record.removed)
    return Exclusion::kLeaving;
  if (requirements.software &&
      record.endpoint().software != *requirements.software)
    return Exclusion::kOtherSoftware;
  if (this->inputs.evacuations &&
      this->inputs.evacuations->IsEvacuated(record.endpoint().zone))
    return Exclusion::kEvacuated;
  if (!requirements.homes.Allow(record.endpoint().zone))
    return Exclusion::kOutsideHome;
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
  if (this->TimeToColdShare(record, now) > Duration(0))
    return Exclusion::kCold;
  if (!this->AllowsBrittle(record, now))
    return Exclusion::kBrittle;
  return Exclusion::kNone;
}

Eligibility EndpointFilter::EligibilityOf(const EndpointRecord& record,
                                          const SendRequirements& requirements,
                                          TimePoint now) const {
  if (this->ExclusionOf(record, requirements, now) != Exclusion::kNone)
    return Eligibility::kNo;
  const Eligibility eligibility =
      EligibilityByHealth(record, requirements, now);
  if (!requirements.ready_only)
    return eligibility;
  const bool is_ready =
      eligibility == Eligibility::kYes && !record.HasJustRefused(now);
  return is_ready ? Eligibility::kYes : Eligibility::kNo;
}

std::optional<Duration> EndpointFilter::PauseLeft(
    const EndpointRecord& record,
    const SendRequirements& requirements,
    TimePoint now) const {
  const Exclusion exclusion = this->ExclusionOf(record, requirements, now);
  if (exclusion == Exclusion::kCold)
    return this->TimeToColdShare(record, now);
  if (now < record.backoff_until)
    return record.backoff_until - now;
  return std::nullopt;
}

bool EndpointFilter::MayHaveRestarted(const EndpointRecord& record,
                                      TimePoint now) const {
  if (!this->has_cold_limit() || record.process().IsCertain())
    return false;
  // The process that the open connection leads to has run since then.
  const auto connected_since = record.process().connected_since();
  return !connected_since || now < *connected_since + this->service_cold_time;
}

ColdLimit::Terms EndpointFilter::ColdTerms(const EndpointRecord& record,
                                           TimePoint now) const {
  ColdLimit::Terms terms;
  terms.rate = this->cold_rate;
  terms.is_uncertain = this->MayHaveRestarted(record, now);
  if (!this->inputs.hosts)
    return terms;
  terms.hosts = this->inputs.hosts->count();
  terms.rank = this->inputs.hosts->RankFor(record.endpoint().id);
  return terms;
}

Duration EndpointFilter::TimeToColdShare(const EndpointRecord& record,
                                         TimePoint now) const {
  if (this->ColdStateOf(record, now) == ColdState::kWarm)
    return Duration(0);
  return record.cold().TimeToShare(this->ColdTerms(record, now), now);
}

bool EndpointFilter::AllowsBrittle(const EndpointRecord& record,
                                   TimePoint now) const {
  const BrittleStatement& own = record.brittle().statement();
  const auto limit =
      own.IsKnown(now) ? own.LimitAt(now) : this->service_brittle.LimitAt(now);
  if (!limit || !this->inputs.hosts)
    return true;
  BrittleLimit::Terms terms;
  terms.limit = *limit;
  terms.slots = record.endpoint().slots;
  terms.hosts = this->inputs.hosts->count();
  terms.slot_rank = this->inputs.hosts->RankFor(record.endpoint().id);
  // Other hosts come first than for the slots.
  terms.refusal_rank =
      this->inputs.hosts->RankFor(record.endpoint().id + kRefusalOrder);
  terms.own_in_flight = record.own_in_flight();
  return record.brittle().Allows(terms, now);
}

ColdState EndpointFilter::ColdStateOf(const EndpointRecord& record,
                                      TimePoint now) const {
  if (!this->has_cold_limit())
    return ColdState::kWarm;
  return this->MayHaveRestarted(record, now) ? ColdState::kCold
                                             : record.cold().StateAt(now);
}

}  // namespace jujuberock::dispatch
