#include "core/orders/version_rollout.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/common/nesting.h"

namespace jujuberock::orders {

using common::TimePoint;
using platform::WriteState;

namespace {

// The low bits of a term count the claims of an era; the era is above them.
constexpr int kTermBits = 32;

struct OrderObject {
  uint64_t term = 0;
  std::string holder;
};

// Returns nullopt if the body is malformed.
std::optional<OrderObject> ParseOrderObject(const std::string& body) {
  if (common::ExceedsNesting(body))
    return std::nullopt;
  const auto value = nlohmann::json::parse(body, nullptr, false);
  if (!value.is_object() || !value.contains("term") ||
      !value["term"].is_number_unsigned() || !value.contains("holder") ||
      !value["holder"].is_string())
    return std::nullopt;
  return OrderObject{value["term"].get<uint64_t>(),
                     value["holder"].get<std::string>()};
}

std::string RenderOrderObject(const OrderObject& object) {
  return nlohmann::json{{"term", object.term}, {"holder", object.holder}}
      .dump();
}

}  // namespace

VersionRollout::VersionRollout(std::string service,
                               std::string host,
                               RolloutOptions options)
    : service(std::move(service)), host(std::move(host)), options(options) {}

void VersionRollout::SetDesired(DesiredVersion desired) {
  this->desired = std::move(desired);
}

void VersionRollout::SetPreferred(bool preferred) {
  this->preferred = preferred;
}

void VersionRollout::SetEndpoints(std::set<std::string> names) {
  std::erase_if(this->endpoints, [&names](const auto& item) {
    return !names.contains(item.first);
  });
  for (const std::string& name : names)
    this->endpoints.try_emplace(name);
}

bool VersionRollout::HasWork() const {
  if (!this->desired || this->desired->version.empty())
    return false;
  return this->CountUpToDate() < this->endpoints.size();
}

size_t VersionRollout::CountUpToDate() const {
  if (!this->desired)
    return 0;
  size_t count = 0;
  for (const auto& [name, endpoint] : this->endpoints) {
    if (endpoint.report && endpoint.report->version == this->desired->version)
      ++count;
  }
  return count;
}

Actions VersionRollout::OnTick(TimePoint now) {
  if (this->state == State::kHolding) {
    if (!this->preferred) {
      this->StepDown(now);
      return {};
    }
    return this->IssueOrders(now);
  }
  if (this->state != State::kIdle || now < this->next_claim_at)
    return {};
  if (!this->preferred || !this->HasWork())
    return {};
  return this->StartRead();
}

Actions VersionRollout::StartRead() {
  this->state = State::kReading;
  return {ReadOrderObject{}};
}

Actions VersionRollout::OnReadReply(
    bool failed,
    const std::optional<platform::Object>& object,
    TimePoint now) {
  if (this->state != State::kReading)
    return {};
  if (failed) {
    this->StepDown(now);
    return {};
  }
  std::optional<OrderObject> order = OrderObject();
  if (object && !object->deleted)
    order = ParseOrderObject(object->body);
  this->is_object_malformed = !order;
  if (!order) {
    // Not overwritten, since the next term must be above the one that it had.
    this->StepDown(now);
    return {};
  }
  this->object_version = object ? object->version : 0;
  this->object_term = order->term;
  return this->Claim();
}

Actions VersionRollout::Claim() {
  // Every claim raises the term, even if this host is the recorded holder:
  // after a restart it has the same name but does not know which orders are in
  // flight.
  this->state = State::kClaiming;
  const uint64_t era = platform::EraOf(this->object_version);
  this->claimed_term = std::max(this->object_term, era << kTermBits) + 1;
  WriteOrderObject write;
  write.expected = this->object_version;
  write.body = RenderOrderObject({this->claimed_term, this->host});
  write.token = this->host + "/" + std::to_string(this->object_version) + "/" +
                std::to_string(++this->claim_count);
  return {write};
}

Actions VersionRollout::OnWriteReply(const platform::WriteResult& result,
                                     TimePoint now) {
  if (this->state != State::kClaiming)
    return {};
  switch (result.state) {
    case WriteState::kWritten:
      this->object_version = result.version;
      this->object_term = this->claimed_term;
      // Written in a later era than the object had, whose terms may be lost.
      if (platform::EraOf(result.version) > this->object_term >> kTermBits)
        return this->Claim();
      this->BecomeHolder(now);
      return this->IssueOrders(now);
    case WriteState::kUnknown:
      // The claim may have taken effect. Claiming again raises the term once
      // more, which is as safe as resolving the write and needs no special
      // case.
      return this->StartRead();
    case WriteState::kConflict:
    case WriteState::kRejected:
      this->StepDown(now);
      return {};
  }
  return {};
}

void VersionRollout::BecomeHolder(TimePoint now) {
  this->state = State::kHolding;
  this->held_term = this->object_term;
  this->held_since = now;
  // Reports from before the claim may miss loads that an earlier holder
  // started.
  for (auto& [name, endpoint] : this->endpoints)
    endpoint = EndpointState();
}

void VersionRollout::StepDown(TimePoint now) {
  this->state = State::kIdle;
  this->next_claim_at = now + this->options.retry_delay;
}

void VersionRollout::OnReport(const EndpointReport& report, TimePoint now) {
  auto found = this->endpoints.find(report.endpoint);
  if (found == this->endpoints.end())
    return;
  EndpointState& endpoint = found->second;
  endpoint.report = report;
  endpoint.reported_at = now;
  if (this->state == State::kHolding && report.fence > this->held_term) {
    // Another host has taken over with a higher term.
    this->StepDown(now);
    return;
  }
  const bool load_ended =
      !report.loading && report.version == endpoint.ordered_version;
  const bool order_lost =
      !report.loading && endpoint.busy_since &&
      now > *endpoint.busy_since + this->options.order_lifetime;
  if (load_ended || order_lost)
    endpoint.busy_since.reset();
}

Actions VersionRollout::OnOrderReply(const std::string&,
                                     OrderResult result,
                                     TimePoint now) {
  if (this->state != State::kHolding)
    return {};
  if (result == OrderResult::kStaleFence) {
    this->StepDown(now);
    return {};
  }
  // A failed order may have reached the endpoint, so the endpoint stays busy
  // until a report shows otherwise.
  return {};
}

size_t VersionRollout::CountLoads(TimePoint now) {
  size_t loads = 0;
  for (auto& [name, endpoint] : this->endpoints) {
    if (!endpoint.report) {
      // No report since the claim: a load of an earlier holder may still run.
      if (now < this->held_since + this->options.load_timeout)
        ++loads;
      continue;
    }
    const bool silent = now > endpoint.reported_at + this->options.load_timeout;
    const bool loading = endpoint.report->loading && !silent;
    if (silent)
      endpoint.busy_since.reset();
    if (loading || endpoint.busy_since)
      ++loads;
  }
  return loads;
}

bool VersionRollout::CanOrder(const EndpointState& endpoint,
                              TimePoint now) const {
  if (!endpoint.report || endpoint.busy_since)
    return false;
  if (endpoint.report->loading ||
      endpoint.report->version == this->desired->version)
    return false;
  // Orders of an earlier holder may arrive until they have expired.
  return this->held_term == 1 ||
         now >= this->held_since + this->options.order_lifetime;
}

Actions VersionRollout::IssueOrders(TimePoint now) {
  Actions actions;
  if (!this->desired || this->desired->version.empty())
    return actions;
  size_t loads = this->CountLoads(now);
  for (auto& [name, endpoint] : this->endpoints) {
    if (loads >= this->desired->loads_at_once)
      break;
    if (!this->CanOrder(endpoint, now))
      continue;
    endpoint.busy_since = now;
    endpoint.ordered_version = this->desired->version;
    ++loads;
    actions.push_back(SendOrder{name, this->held_term, this->desired->model,
                                this->desired->version,
                                now + this->options.order_lifetime});
  }
  return actions;
}

}  // namespace jujuberock::orders
