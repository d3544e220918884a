#include "core/membership/coordinator.h"

#include <iterator>
#include <utility>

#include "core/common/error.h"

namespace jujuberock::membership {

using common::TimePoint;
using table::FollowAction;

namespace {

template <typename T>
void MoveTo(std::vector<T>* to, std::vector<T>&& from) {
  std::move(from.begin(), from.end(), std::back_inserter(*to));
}

bool IsTableMessage(std::string_view message) {
  return message == table::kDigestMessage || message == table::kDeltaMessage;
}

}  // namespace

void Step::Append(Step&& other) {
  MoveTo(&this->calls, std::move(other.calls));
  MoveTo(&this->platform, std::move(other.platform));
  MoveTo(&this->host_changes, std::move(other.host_changes));
  MoveTo(&this->endpoint_changes, std::move(other.endpoint_changes));
}

Coordinator::Coordinator(table::SharedView& table,
                         HostNews self,
                         CoordinatorOptions options,
                         uint64_t seed)
    : table(table),
      options(options),
      sync(table, options.sync, seed),
      view(std::move(self), options.membership, seed + 1),
      follower(options.follower) {}

void Coordinator::AddSeed(const HostNews& seed) {
  const common::RankedLock lock(this->mutex);
  this->view.AddSeed(seed);
}

PeerCall Coordinator::CallOf(Send send) const {
  const bool relay = send.message.type == MessageType::kRelayProbe ||
                     send.message.type == MessageType::kRelayAnswer;
  return {send.to, std::string(relay ? kIndirectProbeMessage : kProbeMessage),
          Encode(send.message), std::nullopt, false};
}

PeerCall Coordinator::CallOf(table::SyncSend send, bool start) {
  PeerCall call{send.to, std::string(send.message), std::move(send.body),
                std::nullopt, start};
  call.sync = std::move(send);
  return call;
}

Step Coordinator::Membership(const Change& change) {
  Actions actions;
  {
    const common::RankedLock lock(this->mutex);
    actions = change(&this->view);
  }
  Step step;
  for (Send& send : actions.sends)
    step.calls.push_back(this->CallOf(std::move(send)));
  step.host_changes = std::move(actions.host_changes);
  step.endpoint_changes = std::move(actions.endpoint_changes);
  return step;
}

void Coordinator::RefreshRows(TimePoint now, Step* step) {
  const table::SnapshotPtr current = this->table.Current();
  if (current == this->rows)
    return;
  this->rows = current;
  step->Append(this->Membership(
      [&](View* view) { return view->OnPlatformList(*current, now); }));
  this->sync.Retain(this->KnownHosts());
}

Step Coordinator::OnTick(TimePoint now) {
  if (!this->started)
    this->started = now;
  Step step;
  this->RefreshRows(now, &step);
  step.Append(this->Membership([&](View* view) { return view->OnTick(now); }));
  const table::PeerSet peers = this->Peers(now);
  for (table::SyncSend& send : this->sync.OnTick(now, peers))
    step.calls.push_back(CallOf(std::move(send), false));
  if (!this->start_done)
    this->ContinueStart(now, peers, &step);
  const bool waited = now - *this->started >= this->options.start_grace;
  const bool follow = peers.is_delegate || (!this->sync.ready() && waited);
  const common::RankedLock lock(this->mutex);
  step.platform = this->follower.OnTick(now, follow);
  return step;
}

// Peers are merged one after the other, so that only the first one sends the
// whole table.
void Coordinator::ContinueStart(TimePoint now,
                                const table::PeerSet& peers,
                                Step* step) {
  const std::optional<std::string> peer = this->NextStartPeer(now, peers);
  if (peer)
    step->calls.push_back(CallOf(this->sync.Compare(*peer), true));
}

std::optional<std::string> Coordinator::NextStartPeer(
    TimePoint now,
    const table::PeerSet& peers) {
  const common::RankedLock lock(this->mutex);
  if (this->start_in_flight || now < this->start_next)
    return std::nullopt;
  if (!this->start_queue) {
    this->start_queue.emplace(peers.zone_peers.begin(), peers.zone_peers.end());
    if (this->start_queue->empty()) {
      for (const auto& [zone, hosts] : peers.other_zones)
        this->start_queue->insert(this->start_queue->end(), hosts.begin(),
                                  hosts.end());
    }
  }
  if (this->start_queue->empty()) {
    this->start_queue.reset();
    this->start_next = now + this->options.start_retry;
    return std::nullopt;
  }
  std::string peer = std::move(this->start_queue->front());
  this->start_queue->pop_front();
  this->start_in_flight = true;
  return peer;
}

std::string Coordinator::OnRequest(const std::string& from,
                                   std::string_view message,
                                   std::string_view body,
                                   TimePoint now,
                                   Step* step) {
  if (IsTableMessage(message))
    return this->sync.OnRequest(from, body, now);
  const Message probe = DecodeMessage(body);
  *step = this->Membership(
      [&](View* view) { return view->OnMessage(from, probe, now); });
  // The acknowledgement is the answer; anything else is sent by itself.
  const bool wants_ack =
      probe.type == MessageType::kProbe || probe.type == MessageType::kAnnounce;
  if (!wants_ack)
    return "";
  for (auto it = step->calls.begin(); it != step->calls.end(); ++it) {
    if (it->to != from)
      continue;
    std::string answer = std::move(it->body);
    step->calls.erase(it);
    return answer;
  }
  return "";
}

Step Coordinator::OnAnswer(const PeerCall& call,
                           std::string_view body,
                           TimePoint now) {
  if (!call.sync) {
    if (body.empty())
      return {};
    const Message message = DecodeMessage(body);
    return this->Membership(
        [&](View* view) { return view->OnMessage(call.to, message, now); });
  }
  Step step;
  for (table::SyncSend& send : this->sync.OnAnswer(*call.sync, body, now))
    step.calls.push_back(CallOf(std::move(send), call.start));
  if (call.start && step.calls.empty())
    this->OnCallFailed(call, now);
  return step;
}

void Coordinator::OnCallFailed(const PeerCall& call, TimePoint) {
  if (!call.start)
    return;
  const bool has_table = this->sync.ready();
  const common::RankedLock lock(this->mutex);
  this->start_in_flight = false;
  const bool all_asked = this->start_queue && this->start_queue->empty();
  if (has_table && all_asked)
    this->start_done = true;
}

void Coordinator::OnList(const FollowAction& action,
                         const std::optional<platform::ObjectList>& list,
                         TimePoint now) {
  if (list)
    this->sync.OnChanged(this->table.ApplyList(action.kind, *list), now);
  bool complete = false;
  {
    const common::RankedLock lock(this->mutex);
    this->follower.OnListEnd(
        action, list ? std::optional(list->version) : std::nullopt, now);
    complete = this->follower.complete();
    if (complete)
      this->start_done = true;
  }
  if (complete)
    this->sync.OnPlatformComplete();
}

bool Coordinator::OnWatchChange(const FollowAction& action,
                                const platform::Object& object,
                                TimePoint now) {
  this->sync.OnChanged(this->table.Apply({object}), now);
  const common::RankedLock lock(this->mutex);
  this->follower.OnChange(action, object.version);
  return this->follower.IsCurrent(action);
}

void Coordinator::OnWatchEnd(const FollowAction& action,
                             std::optional<platform::WatchEnd> end,
                             TimePoint now) {
  const common::RankedLock lock(this->mutex);
  this->follower.OnWatchEnd(action, end, now);
}

bool Coordinator::IsCurrent(const FollowAction& action) const {
  const common::RankedLock lock(this->mutex);
  return this->follower.IsCurrent(action);
}

Step Coordinator::OnEndpointReport(const std::string& endpoint,
                                   bool leaving,
                                   TimePoint now) {
  const table::SnapshotPtr current = this->table.Current();
  const table::Endpoint* row = current->FindEndpoint(endpoint);
  const table::Version version = row ? row->version : 0;
  return this->Membership([&](View* view) {
    return view->OnEndpointReport(endpoint, version, leaving, now);
  });
}

Step Coordinator::OnStop(TimePoint now) {
  return this->Membership([&](View* view) { return view->OnStop(now); });
}

bool Coordinator::ready() const {
  const bool has_table = this->sync.ready();
  const common::RankedLock lock(this->mutex);
  return has_table && this->start_done;
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

HostNews Coordinator::self() const {
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

std::vector<table::HostLag> Coordinator::Lags(TimePoint now) const {
  return this->sync.Lags(this->KnownHosts(), now);
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

std::vector<PeerCall> Coordinator::AskDigests() const {
  std::vector<PeerCall> calls;
  for (const std::string& host : this->KnownHosts())
    calls.push_back(CallOf(this->sync.Compare(host), false));
  return calls;
}

std::optional<common::Duration> Coordinator::PlatformSilence(
    TimePoint now) const {
  const common::RankedLock lock(this->mutex);
  const auto contact = this->follower.last_contact();
  if (!contact)
    return std::nullopt;
  return now - *contact;
}

}  // namespace jujuberock::membership
