// The parameters of a send: what the chosen endpoint must meet and is told.
#include "core/gateway/request_task.h"

#include <algorithm>
#include <map>
#include <utility>

#include "core/common/scale.h"
#include "core/runtime/boot_clock.h"

namespace jujuberock::gateway {

using common::Duration;
using common::Scale;
using common::TimePoint;

namespace {

constexpr double kPlainMoveLatencyFactor = 5;
constexpr double kStreamMovePredictionFactor = 2.5;
constexpr Duration kStreamMoveExtra = std::chrono::milliseconds(150);
// Share of the target latency within which stored prompt parts must have been
// fetched. The rest is left to read them.
constexpr double kFetchTimeShare = 0.75;
// Share of the target latency that a fetch may wait for the store's link.
constexpr double kFetchWaitShare = 0.45;

}  // namespace

std::string RequestTask::SaltFor(uint64_t version) const {
  reuse::Salt versioned = this->salt;
  versioned.version = version;
  return reuse::RenderSalt(versioned);
}

catalog::Homes RequestTask::Homes() const {
  static const std::vector<std::string> kAny;
  return {this->deps.regions, this->route->homes,
          this->team ? this->team->homes : kAny};
}

dispatch::SendRequirements RequestTask::Requirements() const {
  dispatch::SendRequirements requirements;
  requirements.urgency = this->urgency;
  requirements.tried = &this->tried;
  requirements.isolate = this->isolate;
  requirements.avoid_probation = this->slow_connects + this->quick_failures > 0;
  requirements.homes = this->Homes();
  requirements.software = this->RequiredSoftware();
  requirements.certain_only = this->IsResumable();
  if (!this->request.prompt || !this->pool->is_engine())
    return requirements;
  requirements.prompt = &*this->request.prompt;
  requirements.salt = this->cache_key;
  const std::string& model = requirements.prompt->model;
  requirements.required_version =
      this->deps.view.RequiredVersion(model, runtime::BootNow());
  requirements.preferred_version = this->deps.view.NewestVersion(model);
  requirements.start_deadline = [this, &model](uint64_t version) {
    return this->deps.view.StartDeadline(model, version);
  };
  const reuse::FetchConditions conditions = this->FetchConditionsFor(nullptr);
  requirements.fetch_limits = conditions.limits;
  requirements.stored =
      [this, conditions,
       stored_parts_by_version =
           std::map<uint64_t, std::vector<dispatch::StoredPart>>()](
          uint64_t version) mutable
      -> const std::vector<dispatch::StoredPart>& {
    const auto [entry, is_new] = stored_parts_by_version.try_emplace(version);
    if (is_new)
      entry->second = this->deps.cache_store_index.FindStoredParts(
          this->SaltFor(version), *this->request.prompt, conditions,
          runtime::BootNow());
    return entry->second;
  };
  return requirements;
}

forward::SendParameters RequestTask::MakeSendParameters(
    const dispatch::EndpointChoice& choice) {
  const TimePoint now = runtime::BootNow();
  forward::SendParameters parameters;
  parameters.endpoint_id = choice.endpoint->endpoint().id;
  parameters.remaining = std::max(Duration(std::chrono::milliseconds(1)),
                                  this->Remaining(now) - kNetworkDelay);
  if (this->team)
    parameters.team = this->team->name;
  if (this->relay.last_event_id())
    parameters.last_event_id = this->relay.last_event_id();
  if (!this->request.prompt || !this->pool->is_engine())
    return parameters;
  parameters.urgency = this->urgency;
  const uint64_t version =
      choice.endpoint->VersionOf(this->request.prompt->model);
  parameters.cache_salt = this->SaltFor(version);
  // Cached parts are looked up by salt, so they must be computed with the
  // weight version that is part of the salt.
  parameters.expected_version = version;
  this->sent_version = version;
  this->AddReuse(choice, parameters);
  return parameters;
}

reuse::FetchConditions RequestTask::FetchConditionsFor(
    const dispatch::EndpointChoice* choice) const {
  reuse::FetchConditions conditions;
  conditions.homes = this->Homes();
  conditions.limits.prefill_token_ms = this->pool->first_token().token_ms();
  conditions.limits.max_wait_ms = common::ToMilliseconds(
      Scale(this->route->target_latency, kFetchWaitShare));
  conditions.limits.max_end_ms = common::ToMilliseconds(
      Scale(this->route->target_latency, kFetchTimeShare));
  const auto& properties = this->pool->engine_properties();
  if (properties) {
    conditions.token_bytes = properties->kv_token_bytes;
    conditions.engine_link_mbps = properties->link_mbps;
  }
  if (choice) {
    conditions.cached_tokens = choice->cached_tokens;
    conditions.engine_zone = choice->endpoint->endpoint().zone;
  }
  conditions.read_time = Scale(this->route->target_latency, kFetchTimeShare);
  conditions.chance = this->deps.dispatcher.random().NextDouble();
  return conditions;
}

void RequestTask::AddReuse(const dispatch::EndpointChoice& choice,
                           forward::SendParameters& parameters) {
  this->reuse = this->deps.cache_store_index.Plan(
      *parameters.cache_salt, *this->request.prompt,
      this->FetchConditionsFor(&choice), runtime::BootNow());
  parameters.cache_sources = this->reuse.sources;
  parameters.cache_targets = this->reuse.targets;
  if (this->deps.peer_loads) {
    for (const reuse::StoreTransfer& transfer : this->reuse.transfers)
      this->deps.peer_loads->OnTransfer(transfer);
  }
  if (this->reuse.source_tokens > 0)
    parameters.cache_until_ms = this->reuse.until_ms;
}

dispatch::StreamTargets RequestTask::Targets() const {
  return {this->route->target_latency, this->route->target_event_gap};
}

std::optional<Duration> RequestTask::MoveTimeout(
    const dispatch::EndpointChoice& choice) const {
  const bool is_last = this->runs + 1 >= this->MaxAttempts();
  if (!this->IsRepeatable() || is_last)
    return std::nullopt;
  if (!this->pool->is_engine()) {
    const double usual_ms =
        choice.endpoint->mean_latency_ms() * kPlainMoveLatencyFactor;
    return std::max(
        common::FromSeconds(usual_ms / 1000),
        Scale(this->route->target_latency, dispatch::kPlainMoveTargetShare));
  }
  return std::max(
      this->route->target_latency,
      Scale(choice.predicted, kStreamMovePredictionFactor) + kStreamMoveExtra);
}

}  // namespace jujuberock::gateway
