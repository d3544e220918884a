#include "core/dispatch/service_pool.h"

#include <algorithm>
#include <utility>

#include "core/common/scale.h"

namespace jujuberock::dispatch {

namespace {

// Share of an engine's KV capacity that is assumed to hold cached parts;
// running requests take the rest.
constexpr double kCacheShare = 0.6;
// Bytes that this host received from an endpoint within this time outweigh
// reports of other hosts that the endpoint is unreachable.
constexpr common::Duration kLocalEvidenceLifetime =
    std::chrono::milliseconds(500);
// Margin for errors of the predicted first token where a late one is not
// acceptable.
constexpr double kStartPredictionFactor = 2;

bool TakesRequestsAt(const EndpointRecord& record,
                     const std::string& software) {
  return !record.endpoint().leaving && !record.removed &&
         record.endpoint().software == software;
}

}  // namespace

void ServicePool::Update(const catalog::Service& service,
                         const std::vector<catalog::Endpoint>& registered) {
  this->properties = service.engine;
  this->cost.SetProperties(service.engine);
  std::map<std::string, std::shared_ptr<EndpointRecord>> next;
  for (const catalog::Endpoint& endpoint : registered) {
    const auto known = this->endpoints.find(endpoint.id);
    if (known != this->endpoints.end() &&
        known->second->endpoint().started_at_ms == endpoint.started_at_ms &&
        known->second->endpoint().address == endpoint.address) {
      known->second->Update(endpoint);
      next.emplace(endpoint.id, known->second);
      continue;
    }
    if (auto record = this->TakeRemembered(endpoint)) {
      next.emplace(endpoint.id, std::move(record));
      continue;
    }
    const double capacity =
        this->properties
            ? kCacheShare *
                  static_cast<double>(this->properties->kv_capacity_tokens)
            : 0;
    next.emplace(endpoint.id, std::make_shared<EndpointRecord>(
                                  endpoint, static_cast<int64_t>(capacity)));
  }
  for (const auto& [id, record] : this->endpoints) {
    const auto kept = next.find(id);
    if (kept != next.end() && kept->second == record)
      continue;
    record->removed = true;
    if (record->backoff_until != common::TimePoint() &&
        this->remembered.size() < kMaxRemembered)
      this->remembered.insert_or_assign(id, record);
  }
  this->endpoints = std::move(next);
}

std::shared_ptr<EndpointRecord> ServicePool::TakeRemembered(
    const catalog::Endpoint& endpoint) {
  const auto found = this->remembered.find(endpoint.id);
  if (found == this->remembered.end())
    return nullptr;
  const std::shared_ptr<EndpointRecord> record = found->second;
  this->remembered.erase(found);
  if (record->endpoint().started_at_ms != endpoint.started_at_ms ||
      record->endpoint().address != endpoint.address)
    return nullptr;
  record->Update(endpoint);
  record->removed = false;
  return record;
}

std::shared_ptr<EndpointRecord> ServicePool::Find(std::string_view id) const {
  const auto found = this->endpoints.find(std::string(id));
  return found == this->endpoints.end() ? nullptr : found->second;
}

std::optional<common::Duration> ServicePool::PauseLeft(
    const SendRequirements& requirements,
    common::TimePoint now) const {
  std::optional<common::Duration> left;
  for (const auto& [id, record] : this->endpoints) {
    const Exclusion exclusion = ExclusionOf(*record, requirements, now);
    if (exclusion == Exclusion::kLeaving || exclusion == Exclusion::kTried ||
        exclusion == Exclusion::kOtherSoftware ||
        exclusion == Exclusion::kUncertain)
      continue;
    if (now >= record->backoff_until)
      return std::nullopt;
    const common::Duration own = record->backoff_until - now;
    left = std::min(left.value_or(own), own);
  }
  return left;
}

bool ServicePool::HasSoftware(const std::string& software) const {
  return std::any_of(this->endpoints.begin(), this->endpoints.end(),
                     [&](const auto& entry) {
                       return TakesRequestsAt(*entry.second, software);
                     });
}

bool ServicePool::HasCertainSoftware(
    const std::string& software,
    const std::set<std::string>& except) const {
  return std::any_of(
      this->endpoints.begin(), this->endpoints.end(), [&](const auto& entry) {
        const EndpointRecord& record = *entry.second;
        return TakesRequestsAt(record, software) &&
               record.process().IsCertain() && !except.contains(entry.first);
      });
}

ExclusionCounts ServicePool::CountExclusions(
    const SendRequirements& requirements,
    common::TimePoint now) const {
  ExclusionCounts counts{};
  for (const auto& [id, record] : this->endpoints) {
    const Exclusion exclusion = ExclusionOf(*record, requirements, now);
    ++counts[static_cast<size_t>(exclusion)];
  }
  return counts;
}

std::optional<EndpointChoice> ServicePool::Choose(
    const SendRequirements& requirements,
    common::TimePoint now) {
  std::optional<EndpointChoice> best;
  double lowest_cost = 0;
  Eligibility best_eligibility = Eligibility::kNo;
  const PlacementCost::Preparation preparation =
      this->cost.Prepare(requirements, this->endpoints, now);
  for (const auto& [id, record] : this->endpoints) {
    const Eligibility eligibility = EligibilityOf(*record, requirements, now);
    if (eligibility == Eligibility::kNo || eligibility < best_eligibility)
      continue;
    EndpointChoice choice{record};
    choice.is_long = preparation.is_long;
    const double cost =
        this->cost.Estimate(choice, requirements, preparation, now);
    if (!BeginsInTime(choice, requirements, now))
      continue;
    if (best && eligibility == best_eligibility && cost >= lowest_cost)
      continue;
    best = choice;
    lowest_cost = cost;
    best_eligibility = eligibility;
  }
  return best;
}

bool ServicePool::BeginsInTime(const EndpointChoice& choice,
                               const SendRequirements& requirements,
                               common::TimePoint now) {
  if (!requirements.prompt || !requirements.start_deadline)
    return true;
  const auto deadline = requirements.start_deadline(
      choice.endpoint->VersionOf(requirements.prompt->model));
  return !deadline ||
         now + common::Scale(choice.predicted, kStartPredictionFactor) <
             *deadline;
}

bool ServicePool::OnOutcome(EndpointRecord& endpoint,
                            SendOutcome outcome,
                            common::TimePoint now) {
  this->cost.OnOutcome(outcome == SendOutcome::kGood);
  return endpoint.health().OnOutcome(outcome, this->cost.failure_share(), now);
}

bool ServicePool::OnPeerUnreachable(EndpointRecord& endpoint,
                                    common::TimePoint now) {
  const bool healthy =
      endpoint.health().StateAt(now) == EndpointHealth::State::kHealthy;
  if (!healthy || now - endpoint.last_byte_time() < kLocalEvidenceLifetime)
    return false;
  endpoint.health().Eject(now);
  return true;
}

}  // namespace jujuberock::dispatch
