#include "core/membership/coordinator.h"

#include <iterator>
#include <utility>

#include "core/common/error.h"

namespace jujuberock::membership {

using common::TimePoint;
using table::WatcherCall;

namespace {

template <typename T>
void AppendAll(std::vector<T>* to, std::vector<T>&& from) {
  std::move(from.begin(), from.end(), std::back_inserter(*to));
}

bool IsTableMessage(std::string_view message) {
  return message == table::kDigestMessage || message == table::kDeltaMessage;
}

}  // namespace

void Effects::Append(Effects&& other) {
  AppendAll(&this->calls, std::move(other.calls));
  AppendAll(&this->watcher_calls, std::move(other.watcher_calls));
  AppendAll(&this->host_changes, std::move(other.host_changes));
  AppendAll(&this->endpoint_changes, std::move(other.endpoint_changes));
}

Coordinator::Coordinator(table::SharedView& table,
                         HostInfo self,
                         CoordinatorOptions options,
                         uint64_t seed)
    : table(table),
      options(options),
      sync(table, options.sync, seed),
      view(std::move(self), options.membership, seed + 1),
      watcher(options.watcher) {}

void Coordinator::AddSeed(const HostInfo& seed) {
  const common::RankedLock lock(this->mutex);
  this->view.AddSeed(seed);
}

PeerCall Coordinator::MakeCall(OutgoingMessage outgoing) const {
  const bool indirect = outgoing.message.type == MessageType::kIndirectProbe ||
                        outgoing.message.type == MessageType::kIndirectAck;
  return {outgoing.to,
          std::string(indirect ? kIndirectProbeMessage : kProbeMessage),
          Encode(outgoing.message), std::nullopt, false};
}

PeerCall Coordinator::MakeCall(table::SyncRequest send, bool bootstrap) {
  PeerCall call{send.to, std::string(send.message), std::move(send.body),
                std::nullopt, bootstrap};
  call.sync = std::move(send);
  return call;
}

Effects Coordinator::RunOnView(const ViewOperation& operation) {
  Actions actions;
  {
    const common::RankedLock lock(this->mutex);
    actions = operation(&this->view);
  }
  Effects effects;
  for (OutgoingMessage& outgoing : actions.messages)
    effects.calls.push_back(this->MakeCall(std::move(outgoing)));
  effects.host_changes = std::move(actions.host_changes);
  effects.endpoint_changes = std::move(actions.endpoint_changes);
  return effects;
}

void Coordinator::ApplyTableChanges(TimePoint now, Effects* effects) {
  const table::SnapshotPtr current = this->table.Current();
  if (current == this->applied_snapshot)
    return;
  this->applied_snapshot = current;
  effects->Append(this->RunOnView(
      [&](View* view) { return view->OnPlatformList(*current, now); }));
  this->sync.RetainHosts(this->KnownHosts());
}

Effects Coordinator::OnTick(TimePoint now) {
  if (!this->started)
    this->started = now;
  Effects effects;
  this->ApplyTableChanges(now, &effects);
  effects.Append(
      this->RunOnView([&](View* view) { return view->OnTick(now); }));
  const table::PeerSet peers = this->Peers(now);
  for (table::SyncRequest& send : this->sync.OnTick(now, peers))
    effects.calls.push_back(MakeCall(std::move(send), false));
  if (!this->bootstrap_done)
    this->ContinueBootstrap(now, peers, &effects);
  const bool grace_over = now - *this->started >= this->options.bootstrap_grace;
  const bool watch = peers.is_delegate || (!this->sync.ready() && grace_over);
  const common::RankedLock lock(this->mutex);
  effects.watcher_calls = this->watcher.OnTick(now, watch);
  return effects;
}

// Compares tables with one peer after the other, so that only the first one
// sends its whole table.
void Coordinator::ContinueBootstrap(TimePoint now,
                                    const table::PeerSet& peers,
                                    Effects* effects) {
  const std::optional<std::string> peer = this->NextBootstrapPeer(now, peers);
  if (peer)
    effects->calls.push_back(
        MakeCall(this->sync.MakeDigestRequest(*peer), true));
}

std::optional<std::string> Coordinator::NextBootstrapPeer(
    TimePoint now,
    const table::PeerSet& peers) {
  const common::RankedLock lock(this->mutex);
  if (this->bootstrap_in_flight || now < this->next_bootstrap_at)
    return std::nullopt;
  if (!this->bootstrap_peers) {
    this->bootstrap_peers.emplace(peers.zone_peers.begin(),
                                  peers.zone_peers.end());
    if (this->bootstrap_peers->empty()) {
      for (const auto& [zone, hosts] : peers.other_zones)
        this->bootstrap_peers->insert(this->bootstrap_peers->end(),
                                      hosts.begin(), hosts.end());
    }
  }
  if (this->bootstrap_peers->empty()) {
    this->bootstrap_peers.reset();
    this->next_bootstrap_at = now + this->options.bootstrap_retry_period;
    return std::nullopt;
  }
  std::string peer = std::move(this->bootstrap_peers->front());
  this->bootstrap_peers->pop_front();
  this->bootstrap_in_flight = true;
  return peer;
}

std::string Coordinator::OnRequest(const std::string& from,
                                   std::string_view message,
                                   std::string_view body,
                                   TimePoint now,
                                   Effects* effects) {
  if (IsTableMessage(message))
    return this->sync.OnRequest(from, body, now);
  const Message request = DecodeMessage(body);
  *effects = this->RunOnView(
      [&](View* view) { return view->OnMessage(from, request, now); });
  // The ack is returned as the answer; other messages are sent as calls.
  const bool wants_ack = request.type == MessageType::kProbe ||
                         request.type == MessageType::kAnnounce;
  if (!wants_ack)
    return "";
  for (auto it = effects->calls.begin(); it != effects->calls.end(); ++it) {
    if (it->to != from)
      continue;
    std::string answer = std::move(it->body);
    effects->calls.erase(it);
    return answer;
  }
  return "";
}

Effects Coordinator::OnAnswer(const PeerCall& call,
                              std::string_view body,
                              TimePoint now) {
  if (!call.sync) {
    if (body.empty())
      return {};
    const Message message = DecodeMessage(body);
    return this->RunOnView(
        [&](View* view) { return view->OnMessage(call.to, message, now); });
  }
  Effects effects;
  for (table::SyncRequest& send : this->sync.OnAnswer(*call.sync, body, now))
    effects.calls.push_back(MakeCall(std::move(send), call.bootstrap));
  // No further messages: the comparison with this peer is complete.
  if (call.bootstrap && effects.calls.empty())
    this->OnCallFailed(call, now);
  return effects;
}

void Coordinator::OnCallFailed(const PeerCall& call, TimePoint) {
  if (!call.bootstrap)
    return;
  const bool has_table = this->sync.ready();
  const common::RankedLock lock(this->mutex);
  this->bootstrap_in_flight = false;
  const bool all_asked =
      this->bootstrap_peers && this->bootstrap_peers->empty();
  if (has_table && all_asked)
    this->bootstrap_done = true;
}

void Coordinator::OnList(const WatcherCall& watcher_call,
                         const std::optional<platform::ObjectList>& list,
                         TimePoint now) {
  if (list) {
    bool keep_former = false;
    {
      const common::RankedLock lock(this->mutex);
      keep_former = this->watcher.MayLackRows(list->version, now);
    }
    this->sync.OnChanged(
        this->table.ApplyList(watcher_call.kind, *list, keep_former), now);
  }
  bool complete = false;
  {
    const common::RankedLock lock(this->mutex);
    this->watcher.OnListEnd(
        watcher_call, list ? std::optional(list->version) : std::nullopt, now);
    complete = this->watcher.complete();
    if (complete)
      this->bootstrap_done = true;
  }
  if (complete)
    this->sync.OnPlatformListed();
}

bool Coordinator::OnWatchChange(const WatcherCall& watcher_call,
                                const platform::Object& object,
                                TimePoint now) {
  this->sync.OnChanged(this->table.Apply({object}), now);
  const common::RankedLock lock(this->mutex);
  this->watcher.OnChange(watcher_call, object.version);
  return this->watcher.IsCurrent(watcher_call);
}

void Coordinator::OnWatchEnd(const WatcherCall& watcher_call,
                             std::optional<platform::WatchEnd> end,
                             TimePoint now) {
  const common::RankedLock lock(this->mutex);
  this->watcher.OnWatchEnd(watcher_call, end, now);
}

bool Coordinator::IsCurrent(const WatcherCall& watcher_call) const {
  const common::RankedLock lock(this->mutex);
  return this->watcher.IsCurrent(watcher_call);
}

Effects Coordinator::OnEndpointReport(const std::string& endpoint,
                                      bool leaving,
                                      TimePoint now) {
  const table::SnapshotPtr current = this->table.Current();
  const table::Endpoint* row = current->FindEndpoint(endpoint);
  const table::Version version = row ? row->version : 0;
  return this->RunOnView([&](View* view) {
    return view->OnEndpointReport(endpoint, version, leaving, now);
  });
}

Effects Coordinator::OnStop(TimePoint now) {
  return this->RunOnView([&](View* view) { return view->OnStop(now); });
}

bool Coordinator::ready() const {
  const bool has_table = this->sync.ready();
  const common::RankedLock lock(this->mutex);
  return has_table && this->bootstrap_done;
}

bool Coordinator::IsLeaving(const std::string& endpoint) const {
  const table::SnapshotPtr current = this->table.Current();
  const table::Endpoint* row = current->FindEndpoint(endpoint);
  if (row && row->state == table::MemberState::kLeaving)
    return true;
  const common::RankedLock lock(this->mutex);
  return this->view.IsLeaving(endpoint);
}

table::PeerSet Coordinator::Peers(TimePoint now) const {
  const common::RankedLock lock(this->mutex);
  return this->view.Peers(now);
}

std::vector<std::string> Coordinator::Delegates() const {
  const common::RankedLock lock(this->mutex);
  return this->view.Delegates();
}

std::optional<std::string> Coordinator::AddressOf(
    const std::string& host) const {
  {
    const common::RankedLock lock(this->mutex);
    if (auto address = this->view.AddressOf(host))
      return address;
  }
  const table::SnapshotPtr current = this->table.Current();
  const table::HostEntry* row = current->FindHost(host);
  return row ? std::optional(row->address) : std::nullopt;
}

HostInfo Coordinator::self() const {
  const common::RankedLock lock(this->mutex);
  return this->view.self();
}

std::map<std::string, Member> Coordinator::Members() const {
  const common::RankedLock lock(this->mutex);
  return this->view.members();
}

std::map<std::string, ZoneState> Coordinator::Zones(TimePoint now) const {
  const common::RankedLock lock(this->mutex);
  return this->view.Zones(now);
}

std::vector<table::LaggingHost> Coordinator::LaggingHosts(TimePoint now) const {
  return this->sync.LaggingHosts(this->KnownHosts(), now);
}

std::set<std::string> Coordinator::KnownHosts() const {
  std::set<std::string> known;
  for (const auto& [name, row] : this->table.Current()->hosts())
    known.insert(name);
  const common::RankedLock lock(this->mutex);
  for (const auto& [name, member] : this->view.members())
    known.insert(name);
  known.erase(this->view.self().name);
  return known;
}

std::vector<PeerCall> Coordinator::RequestDigests() const {
  std::vector<PeerCall> calls;
  for (const std::string& host : this->KnownHosts())
    calls.push_back(MakeCall(this->sync.MakeDigestRequest(host), false));
  return calls;
}

std::optional<common::Duration> Coordinator::TimeSincePlatformContact(
    TimePoint now) const {
  const common::RankedLock lock(this->mutex);
  const auto contact = this->watcher.last_contact();
  if (!contact)
    return std::nullopt;
  return now - *contact;
}

}  // namespace jujuberock::membership
