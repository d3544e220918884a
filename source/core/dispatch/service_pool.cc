#include "core/dispatch/service_pool.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"
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
// A request that only endpoints of evacuated zones, or outside its homes, could
// take is refused for this time: no event tells when that changes.
constexpr common::Duration kForbiddenRetryAfter = std::chrono::seconds(1);

bool TakesRequestsAt(const EndpointRecord& record,
                     const std::string& software) {
  return !record.endpoint().leaving && !record.removed &&
         record.endpoint().software == software;
}

}  // namespace

void ServicePool::Update(const catalog::Service& service,
                         const std::vector<catalog::Endpoint>& registered) {
  this->properties = service.engine;
  this->filter.SetService(service);
  this->cost.SetProperties(service.engine);
  std::map<std::string, std::shared_ptr<EndpointRecord>> next;
  for (const catalog::Endpoint& endpoint : registered) {
    const auto known = this->endpoints.find(endpoint.id);
    if (known != this->endpoints.end() &&
        known->second->endpoint().started_at_ms == endpoint.started_at_ms &&
        known->second->endpoint().address == endpoint.address) {
      known->second->Update(endpoint);
      this->UpdateColdTime(*known->second, false);
      next.emplace(endpoint.id, known->second);
      continue;
    }
    if (auto record = this->TakeRemembered(endpoint)) {
      this->UpdateColdTime(*record, false);
      next.emplace(endpoint.id, std::move(record));
      continue;
    }
    const double capacity =
        this->properties
            ? kCacheShare *
                  static_cast<double>(this->properties->kv_capacity_tokens)
            : 0;
    auto record = std::make_shared<EndpointRecord>(
        endpoint, static_cast<int64_t>(capacity));
    this->UpdateColdTime(*record, true);
    next.emplace(endpoint.id, std::move(record));
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
  for (const auto& [id, record] : this->endpoints) {
    if (record->removed)
      this->reach.Forget(id);
  }
  this->endpoints = std::move(next);
}

void ServicePool::UpdateColdTime(EndpointRecord& record, bool is_new) const {
  const catalog::Endpoint& entry = record.endpoint();
  if (entry.cold_left)
    record.cold().OnEntry(entry.read_at + *entry.cold_left, entry.read_at);
  else if (is_new)
    // It may have just started.
    record.cold().AssumeUntil(entry.read_at + this->filter.cold_time());
}

void ServicePool::OnBrittle(EndpointRecord& endpoint,
                            std::optional<int64_t> limit,
                            common::TimePoint now) {
  endpoint.brittle().statement().Set(limit, now);
  if (limit)
    this->filter.brittle().Set(limit, now);
}

void ServicePool::OnZoneReturned(uint64_t zone_hash,
                                 common::TimePoint told_by) {
  for (const auto& [id, record] : this->endpoints) {
    if (common::Hash64(record->endpoint().zone) == zone_hash)
      record->cold().AssumeUntil(told_by);
  }
}

void ServicePool::Tick(common::TimePoint now) {
  this->reach.Tick(now);
  if (!this->has_cold_limit())
    return;
  for (const auto& [id, record] : this->endpoints) {
    if (this->filter.MayHaveRestarted(*record, now))
      record->cold().AssumeUntil(now);
  }
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
  std::optional<common::Duration> left_if_forbidden;
  for (const auto& [id, record] : this->endpoints) {
    const Exclusion exclusion =
        this->filter.ExclusionOf(*record, requirements, now);
    if (exclusion == Exclusion::kLeaving || exclusion == Exclusion::kTried ||
        exclusion == Exclusion::kOtherSoftware ||
        exclusion == Exclusion::kUncertain)
      continue;
    if (exclusion == Exclusion::kEvacuated ||
        exclusion == Exclusion::kOutsideHome) {
      left_if_forbidden = kForbiddenRetryAfter;
      continue;
    }
    const auto own = this->filter.PauseLeft(*record, requirements, now);
    if (!own)
      return std::nullopt;
    left = std::min(left.value_or(*own), *own);
  }
  return left ? left : left_if_forbidden;
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
    const Exclusion exclusion =
        this->filter.ExclusionOf(*record, requirements, now);
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
    const Eligibility eligibility =
        this->filter.EligibilityOf(*record, requirements, now);
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
  if (outcome == SendOutcome::kNoRoute)
    this->OnUnreached(endpoint, now);
  return endpoint.health().OnOutcome(outcome, this->cost.failure_share(), now);
}

void ServicePool::OnReached(const EndpointRecord& endpoint,
                            common::TimePoint now) {
  this->reach.OnReached(endpoint.endpoint().id, now);
}

void ServicePool::OnUnreached(const EndpointRecord& endpoint,
                              common::TimePoint now) {
  if (!endpoint.removed)
    this->reach.OnUnreached(endpoint.endpoint().id, now);
}

std::vector<std::shared_ptr<EndpointRecord>> ServicePool::ToProbe(
    size_t count,
    common::Duration quiet,
    common::TimePoint now,
    common::Random& random) const {
  std::vector<std::shared_ptr<EndpointRecord>> chosen;
  if (!this->reach.IsSuspect(this->endpoints.size()))
    return chosen;
  std::vector<std::shared_ptr<EndpointRecord>> unreached;
  std::vector<std::shared_ptr<EndpointRecord>> others;
  for (const auto& [id, record] : this->endpoints)
    (this->reach.IsUnreached(id) ? unreached : others).push_back(record);
  if (!others.empty() && now - this->reach.reached_at() >= quiet)
    chosen.push_back(others[random.NextBelow(others.size())]);
  if (!this->IsImpaired())
    return chosen;
  const size_t first =
      unreached.empty() ? 0 : random.NextBelow(unreached.size());
  for (size_t i = 0; i < std::min(count, unreached.size()); ++i)
    chosen.push_back(unreached[(first + i) % unreached.size()]);
  return chosen;
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
