#include "core/orders/rollout_service.h"

#include <glog/logging.h>

#include <deque>
#include <set>
#include <utility>

#include "core/common/error.h"

namespace jujuberock::orders {

using common::Error;
using common::ResultCode;
using common::TimePoint;

namespace {

constexpr common::Duration kRoundPeriod = std::chrono::seconds(1);
// Polling period once all engines run the version in force, to detect one that
// restarted with another version. Polling 100 engines in each round would take
// 39 KB/s.
constexpr common::Duration kSettledPollPeriod = std::chrono::seconds(15);
constexpr std::string_view kOrderKind = "order";

}  // namespace

RolloutService::RolloutService(platform::Client& platform,
                               endpoint::EngineClient& engines,
                               table::SharedView& table,
                               IsPreferred is_preferred,
                               common::TimerService& timers,
                               common::MetricRegistry& counters,
                               std::string host,
                               RolloutOptions options)
    : platform(platform),
      engines(engines),
      table(table),
      is_preferred(std::move(is_preferred)),
      timers(timers),
      orders_sent(counters.GetCounter("orders_sent_total")),
      orders_failed(counters.GetCounter("orders_failed_total")),
      order_claims(counters.GetCounter("order_claims_total")),
      host(std::move(host)),
      options(options) {}

void RolloutService::Start() {
  this->round_timer = this->timers.Every(
      kRoundPeriod, [this](TimePoint) { this->RunOnce(this->timers.Now()); });
}

void RolloutService::Stop() {
  this->round_timer.Cancel();
}

void RolloutService::RunOnce(TimePoint now) {
  std::unique_lock lock(this->round_mutex, std::try_to_lock);
  // A round can take longer than the period if an engine does not answer; ticks
  // that fall into it are skipped.
  if (!lock.owns_lock())
    return;
  this->RefreshEntries();
  for (auto& [service, entry] : this->entries)
    this->RunService(service, entry, now);
}

void RolloutService::RefreshEntries() {
  const table::SnapshotPtr snapshot = this->table.Current();
  std::erase_if(this->entries, [&snapshot](const auto& item) {
    return !snapshot->FindService(item.first);
  });
  for (const auto& [name, service] : snapshot->services()) {
    if (service->kind != table::ServiceKind::kEngine ||
        service->weight_version.empty())
      continue;
    Entry& entry = this->entries[name];
    if (!entry.rollout)
      entry.rollout =
          std::make_unique<VersionRollout>(name, this->host, this->options);
    this->Configure(entry, *service, *snapshot);
  }
}

void RolloutService::Configure(Entry& entry,
                               const table::Service& service,
                               const table::Snapshot& snapshot) {
  entry.addresses.clear();
  std::set<std::string> names;
  for (const auto& endpoint : snapshot.EndpointsOf(service.name)) {
    const auto address = runtime::Address::Parse(endpoint->address);
    if (endpoint->state != table::MemberState::kLive || !address)
      continue;
    entry.addresses[endpoint->name] = *address;
    names.insert(endpoint->name);
  }
  const std::string model =
      service.models.empty() ? std::string() : service.models.front();
  entry.rollout->SetDesired({model, service.weight_version,
                             static_cast<size_t>(service.loads_at_once)});
  entry.rollout->SetEndpoints(std::move(names));
  entry.rollout->SetPreferred(this->is_preferred(service.name));
}

void RolloutService::RunService(const std::string& service,
                                Entry& entry,
                                TimePoint now) {
  const bool held = entry.rollout->holds_orders();
  const bool was_malformed = entry.rollout->object_malformed();
  if (this->is_preferred(service) && IsPollDue(entry, now)) {
    entry.polled_at = now;
    this->PollEndpoints(entry);
  }
  this->Perform(service, entry, entry.rollout->OnTick(now));
  if (held != entry.rollout->holds_orders())
    LOG(INFO) << "service " << service
              << (held ? ": no longer issuing orders"
                       : ": issuing orders, term ")
              << (held ? "" : std::to_string(entry.rollout->term()));
  if (!was_malformed && entry.rollout->object_malformed())
    LOG(ERROR) << "service " << service
               << ": no orders, since the order object is malformed";
}

bool RolloutService::IsPollDue(const Entry& entry, TimePoint now) {
  const bool settled = entry.rollout->CountUpToDate() == entry.addresses.size();
  return !settled || !entry.polled_at ||
         now >= *entry.polled_at + kSettledPollPeriod;
}

void RolloutService::PollEndpoints(Entry& entry) {
  for (const auto& [name, address] : entry.addresses) {
    try {
      const endpoint::OrderState state = this->engines.ReadOrder(address);
      // Orders are issued in OnTick, after all engines were polled.
      entry.rollout->OnReport({name, state.fence, state.version, state.loading},
                              this->timers.Now());
    } catch (const Error&) {
      // There is no report of an engine that does not answer. Until its load
      // timeout the rollout counts it as possibly loading.
    }
  }
}

void RolloutService::Perform(const std::string& service,
                             Entry& entry,
                             Actions actions) {
  std::deque<Action> pending(actions.begin(), actions.end());
  while (!pending.empty()) {
    const Action action = std::move(pending.front());
    pending.pop_front();
    for (Action& next : this->PerformOne(service, entry, action))
      pending.push_back(std::move(next));
  }
}

Actions RolloutService::PerformOne(const std::string& service,
                                   Entry& entry,
                                   const Action& action) {
  if (const auto* write = std::get_if<WriteOrderObject>(&action))
    return this->Write(service, entry, *write);
  if (const auto* order = std::get_if<SendOrder>(&action))
    return this->Send(entry, *order);
  return this->Read(service, entry);
}

Actions RolloutService::Read(const std::string& service, Entry& entry) {
  std::optional<platform::Object> object;
  bool failed = false;
  try {
    object = this->platform.Read(kOrderKind, service);
  } catch (const Error&) {
    failed = true;
  }
  return entry.rollout->OnReadReply(failed, object, this->timers.Now());
}

Actions RolloutService::Write(const std::string& service,
                              Entry& entry,
                              const WriteOrderObject& write) {
  this->order_claims.Add();
  const platform::WriteResult result = this->platform.Write(
      kOrderKind, service, write.expected, write.body, write.token);
  return entry.rollout->OnWriteReply(result, this->timers.Now());
}

Actions RolloutService::Send(Entry& entry, const SendOrder& order) {
  const TimePoint now = this->timers.Now();
  const auto address = entry.addresses.find(order.endpoint);
  if (now > order.expires_at || address == entry.addresses.end())
    return {};
  const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(
      order.expires_at - now);
  OrderResult result = OrderResult::kAccepted;
  this->orders_sent.Add();
  try {
    this->engines.Order(address->second, {order.fence, "load", order.model,
                                          order.version, lifetime.count()});
  } catch (const Error& error) {
    this->orders_failed.Add();
    const bool stale = error.code() == ResultCode::kStaleFence;
    result = stale ? OrderResult::kStaleFence : OrderResult::kFailed;
  }
  return entry.rollout->OnOrderReply(order.endpoint, result, now);
}

}  // namespace jujuberock::orders
