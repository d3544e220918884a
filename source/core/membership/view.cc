#include "core/membership/view.h"

#include <algorithm>
#include <iterator>

#include "core/table/rendezvous.h"

namespace jujuberock::membership {

using common::TimePoint;

namespace {

void UpdateUnlessOlder(ZoneState* known,
                       const ZoneSummary& summary,
                       TimePoint now) {
  if (summary.sequence < known->summary.sequence)
    return;
  known->summary = summary;
  known->received_at = now;
}

bool SameContent(const ZoneSummary& left, const ZoneSummary& right) {
  return left.live_hosts == right.live_hosts &&
         left.delegates == right.delegates;
}

}  // namespace

View::View(HostInfo self, Options options, uint64_t seed)
    : own(std::move(self)), options(options), random(seed) {
  this->summary.zone = this->own.zone;
  this->summary.author = this->own.name;
  this->summary.sequence = this->own.incarnation;
  this->queue.Add(this->own);
}

bool View::IsAlive(const Member& member) const {
  return member.info.state == HostState::kAlive;
}

std::vector<std::string> View::AliveHosts() const {
  std::vector<std::string> names;
  for (const auto& [name, member] : this->hosts) {
    if (this->IsAlive(member))
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> View::Delegates() const {
  std::vector<std::string> names = this->AliveHosts();
  if (this->own.state == HostState::kAlive)
    names.push_back(this->own.name);
  return table::TopByRendezvous(this->own.zone, names,
                                table::kDelegatesPerZone);
}

table::PeerSet View::Peers(TimePoint now) const {
  table::PeerSet peers;
  peers.zone_peers = this->AliveHosts();
  const auto delegates = this->Delegates();
  peers.is_delegate = std::find(delegates.begin(), delegates.end(),
                                this->own.name) != delegates.end();
  for (const auto& [zone, state] : this->Zones(now)) {
    for (const Delegate& delegate : state.summary.delegates)
      peers.other_zones[zone].push_back(delegate.name);
  }
  for (const auto& [zone, listed] : this->other_hosts) {
    if (peers.other_zones.contains(zone))
      continue;
    for (const auto& [name, address] : listed)
      peers.other_zones[zone].push_back(name);
  }
  return peers;
}

std::map<std::string, ZoneState> View::Zones(TimePoint now) const {
  std::map<std::string, ZoneState> newest;
  for (const auto& [key, state] : this->zones) {
    if (now - state.received_at > this->options.summary_lifetime)
      continue;
    const auto [known, added] = newest.try_emplace(key.first, state);
    if (!added && known->second.received_at < state.received_at)
      known->second = state;
  }
  return newest;
}

std::optional<std::string> View::AddressOf(const std::string& host) const {
  const auto member = this->hosts.find(host);
  if (member != this->hosts.end())
    return member->second.info.address;
  for (const auto& [zone, listed] : this->other_hosts) {
    const auto found = listed.find(host);
    if (found != listed.end())
      return found->second;
  }
  for (const auto& [key, state] : this->zones) {
    for (const Delegate& delegate : state.summary.delegates) {
      if (delegate.name == host)
        return delegate.address;
    }
  }
  return std::nullopt;
}

void View::AddSeed(const HostInfo& seed) {
  if (seed.name == this->own.name)
    return;
  if (this->hosts.contains(seed.name))
    return;
  if (seed.zone == this->own.zone)
    this->hosts[seed.name].info = seed;
  else
    this->other_hosts[seed.zone].try_emplace(seed.name, seed.address);
}

Actions View::OnTick(TimePoint now) {
  Actions actions;
  if (this->last_tick && now - *this->last_tick > this->options.max_tick_gap)
    this->OnPause(now - *this->last_tick);
  this->last_tick = now;
  this->CheckProbes(now, &actions);
  this->CheckSuspects(now, &actions);
  this->CheckLeaving(now, &actions);
  this->CheckAnnouncements(now, &actions);
  if (now >= this->next_probe_at) {
    this->next_probe_at = now + this->options.probe_period;
    this->ProbeNext(now, &actions);
  }
  this->ProbeNextZone(now, &actions);
  return actions;
}

void View::OnPause(common::Duration gap) {
  this->probes.clear();
  for (auto& [name, member] : this->hosts)
    member.dead_at += gap;
  for (auto& [endpoint, state] : this->leaving) {
    state.expires_at += gap;
    state.renew_at += gap;
  }
}

Message View::MakeMessage(MessageType type, uint64_t sequence, bool same_zone) {
  Message message;
  message.type = type;
  message.sequence = sequence;
  message.sender = this->own;
  if (same_zone) {
    message.gossip =
        this->queue.Take(this->options.gossip_bytes, this->hosts.size() + 1);
  } else if (this->summary.live_hosts > 0) {
    message.gossip.emplace_back(this->summary);
  }
  return message;
}

uint64_t View::SendProbe(const std::string& to,
                         Actions* actions,
                         TimePoint now) {
  const uint64_t sequence = this->next_sequence++;
  Probe& probe = this->probes[sequence];
  probe.target = to;
  probe.sent = now;
  const bool same_zone = this->hosts.contains(to);
  Message message = this->MakeMessage(MessageType::kProbe, sequence, same_zone);
  // Tells the target directly that it is suspected, so that it can refute.
  const auto member = this->hosts.find(to);
  if (member != this->hosts.end() &&
      member->second.info.state >= HostState::kSuspect)
    message.gossip.emplace_back(member->second.info);
  actions->messages.push_back({to, std::move(message)});
  return sequence;
}

void View::ProbeNext(TimePoint now, Actions* actions) {
  ++this->probe_count;
  std::optional<std::string> target;
  if (this->probe_count % this->options.dead_probe_every == 0)
    target = this->PickDeadHost();
  if (!target)
    target = this->NextProbeTarget();
  if (target)
    this->SendProbe(*target, actions, now);
}

std::optional<std::string> View::PickDeadHost() {
  std::vector<std::string> dead;
  for (const auto& [name, member] : this->hosts) {
    if (member.info.state == HostState::kDead)
      dead.push_back(name);
  }
  if (dead.empty())
    return std::nullopt;
  return dead[this->random.NextBelow(dead.size())];
}

// Every host is probed once per round, in an order that is shuffled each time.
std::optional<std::string> View::NextProbeTarget() {
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!this->probe_order.empty()) {
      std::string name = std::move(this->probe_order.back());
      this->probe_order.pop_back();
      const auto member = this->hosts.find(name);
      if (member != this->hosts.end() &&
          member->second.info.state != HostState::kDead)
        return name;
    }
    for (const auto& [name, member] : this->hosts)
      this->probe_order.push_back(name);
    for (size_t i = this->probe_order.size(); i > 1; --i)
      std::swap(this->probe_order[i - 1],
                this->probe_order[this->random.NextBelow(i)]);
  }
  return std::nullopt;
}

void View::CheckProbes(TimePoint now, Actions* actions) {
  for (auto it = this->probes.begin(); it != this->probes.end();) {
    const uint64_t sequence = it->first;
    Probe& probe = it->second;
    const auto waited = now - probe.sent;
    if (waited >= this->options.probe_period) {
      const std::string target = probe.target;
      const bool own_probe = probe.requester.empty();
      it = this->probes.erase(it);
      if (own_probe)
        this->Suspect(target, now, actions);
      continue;
    }
    const bool indirect = waited >= this->options.ack_timeout &&
                          !probe.indirect_sent && probe.requester.empty();
    if (indirect) {
      probe.indirect_sent = true;
      this->SendIndirectProbes(sequence, probe, actions);
    }
    ++it;
  }
}

void View::SendIndirectProbes(uint64_t sequence,
                              const Probe& probe,
                              Actions* actions) {
  if (!this->hosts.contains(probe.target))
    return;
  std::vector<std::string> others = this->AliveHosts();
  std::erase(others, probe.target);
  for (size_t i = 0; i < this->options.indirect_probes && !others.empty();
       ++i) {
    const size_t pick = this->random.NextBelow(others.size());
    Message message =
        this->MakeMessage(MessageType::kIndirectProbe, sequence, true);
    message.subject = probe.target;
    actions->messages.push_back({others[pick], std::move(message)});
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void View::SetState(Member* member,
                    HostState state,
                    TimePoint now,
                    Actions* actions) {
  member->info.state = state;
  member->reprobe_at.reset();
  if (state == HostState::kSuspect) {
    const auto window =
        static_cast<uint64_t>(this->options.suspicion_timeout.count() / 2);
    const auto wait = static_cast<int64_t>(this->random.NextBelow(window + 1));
    member->dead_at = now + this->options.suspicion_timeout;
    member->reprobe_at = now + common::Duration(wait);
  }
  this->queue.Add(member->info);
  actions->host_changes.push_back({member->info.name, state});
}

void View::Suspect(const std::string& host, TimePoint now, Actions* actions) {
  const auto member = this->hosts.find(host);
  if (member == this->hosts.end())
    return;
  if (member->second.info.state < HostState::kSuspect)
    this->SetState(&member->second, HostState::kSuspect, now, actions);
  // This host's own probe timed out, perhaps not for the first time: probe
  // again at once.
  if (member->second.info.state == HostState::kSuspect)
    member->second.reprobe_at = now;
}

void View::CheckSuspects(TimePoint now, Actions* actions) {
  for (auto& [name, member] : this->hosts) {
    if (member.info.state != HostState::kSuspect)
      continue;
    if (now >= member.dead_at) {
      this->SetState(&member, HostState::kDead, now, actions);
    } else if (member.reprobe_at && now >= *member.reprobe_at) {
      member.reprobe_at.reset();
      this->SendProbe(name, actions, now);
    }
  }
}

Actions View::OnMessage(const std::string& from,
                        const Message& message,
                        TimePoint now) {
  Actions actions;
  const auto known = this->hosts.find(from);
  // The sender may not know yet that it was suspected or declared dead; the ack
  // tells it.
  std::optional<HostInfo> known_state;
  if (known != this->hosts.end() &&
      known->second.info.state >= HostState::kSuspect)
    known_state = known->second.info;
  if (message.sender.name == from)
    this->MergeHost(message.sender, now, &actions);
  for (const GossipItem& item : message.gossip) {
    if (const auto* host = std::get_if<HostInfo>(&item))
      this->MergeHost(*host, now, &actions);
    if (const auto* leaving = std::get_if<LeavingEndpoint>(&item))
      this->ReceiveLeaving(*leaving, now, &actions);
    if (const auto* summary = std::get_if<ZoneSummary>(&item))
      this->MergeZone(*summary, now);
  }
  const bool same_zone = message.sender.zone == this->own.zone;
  switch (message.type) {
    case MessageType::kProbe: {
      Message ack =
          this->MakeMessage(MessageType::kAck, message.sequence, same_zone);
      if (known_state && known_state->incarnation >= message.sender.incarnation)
        ack.gossip.emplace_back(*known_state);
      actions.messages.push_back({from, std::move(ack)});
      break;
    }
    case MessageType::kAnnounce: {
      Message ack;
      ack.type = MessageType::kAck;
      ack.sequence = message.sequence;
      ack.sender = this->own;
      actions.messages.push_back({from, std::move(ack)});
      break;
    }
    case MessageType::kAck:
    case MessageType::kIndirectAck:
      this->OnAck(from, message.sequence, &actions);
      break;
    case MessageType::kIndirectProbe: {
      if (!this->hosts.contains(message.subject))
        break;
      const uint64_t sequence = this->SendProbe(message.subject, &actions, now);
      this->probes[sequence].requester = from;
      this->probes[sequence].requester_sequence = message.sequence;
      break;
    }
  }
  return actions;
}

void View::OnAck(const std::string& from, uint64_t sequence, Actions* actions) {
  for (auto& [key, announcement] : this->announcements) {
    if (sequence >= announcement.first_sequence)
      announcement.unacknowledged.erase(from);
  }
  const auto found = this->probes.find(sequence);
  if (found == this->probes.end())
    return;
  const Probe probe = found->second;
  this->probes.erase(found);
  if (probe.requester.empty())
    return;
  Message answer = this->MakeMessage(MessageType::kIndirectAck,
                                     probe.requester_sequence, true);
  answer.subject = probe.target;
  actions->messages.push_back({probe.requester, std::move(answer)});
}

void View::Refute(const HostInfo& info, TimePoint now) {
  const bool differs =
      info.state != this->own.state || info.address != this->own.address;
  const bool from_earlier_process = info.incarnation > this->own.incarnation;
  if (info.incarnation < this->own.incarnation ||
      (!differs && !from_earlier_process))
    return;
  this->own.incarnation = info.incarnation + 1;
  // Gossip alone may reach the last host only after its suspicion timeout.
  if (info.state >= HostState::kSuspect)
    this->Announce(this->own, now);
  else
    this->queue.Add(this->own);
}

void View::MergeHost(const HostInfo& info, TimePoint now, Actions* actions) {
  if (info.name == this->own.name) {
    this->Refute(info, now);
    return;
  }
  if (info.zone != this->own.zone) {
    this->other_hosts[info.zone].try_emplace(info.name, info.address);
    return;
  }
  const auto known = this->hosts.find(info.name);
  if (known == this->hosts.end()) {
    // Adding an unknown host that is reported dead would undo its removal.
    if (info.state == HostState::kDead)
      return;
    Member& added = this->hosts[info.name];
    added.info = info;
    added.unlisted_since = now;
    this->SetState(&added, info.state, now, actions);
    return;
  }
  Member& member = known->second;
  const bool newer = info.incarnation > member.info.incarnation ||
                     (info.incarnation == member.info.incarnation &&
                      info.state > member.info.state);
  if (!newer)
    return;
  const HostState previous = member.info.state;
  member.info = info;
  this->SetState(&member, info.state, now, actions);
  if (previous == info.state)
    actions->host_changes.pop_back();
}

bool View::MergeLeaving(const LeavingEndpoint& leaving,
                        TimePoint now,
                        Actions* actions) {
  const auto current = this->endpoint_versions.find(leaving.endpoint);
  if (current != this->endpoint_versions.end() &&
      current->second > leaving.version)
    return false;
  const auto known = this->leaving.find(leaving.endpoint);
  if (known != this->leaving.end()) {
    const LeavingEndpoint& previous = known->second.latest;
    // Another host has announced it already, so this host need not.
    if (leaving == previous)
      this->announce_due.erase(leaving.endpoint);
    const bool newer =
        leaving.version > previous.version ||
        (leaving.version == previous.version && leaving.round > previous.round);
    if (!newer)
      return false;
  } else {
    actions->endpoint_changes.push_back({leaving.endpoint, true});
  }
  this->leaving[leaving.endpoint] = {
      leaving, now + this->options.leaving_lifetime,
      now + this->options.leaving_renewal_period};
  return true;
}

void View::ReceiveLeaving(const LeavingEndpoint& leaving,
                          TimePoint now,
                          Actions* actions) {
  if (this->MergeLeaving(leaving, now, actions))
    this->queue.Add(leaving);
}

void View::MergeZone(const ZoneSummary& summary, TimePoint now) {
  if (summary.zone == this->own.zone)
    return;
  ZoneState& known = this->zones[{summary.zone, summary.author}];
  const bool newer = summary.sequence > known.summary.sequence;
  UpdateUnlessOlder(&known, summary, now);
  if (newer)
    this->queue.Add(summary);
}

Actions View::OnEndpointReport(const std::string& endpoint,
                               table::Version version,
                               bool is_leaving,
                               TimePoint now) {
  Actions actions;
  const auto known = this->leaving.find(endpoint);
  if (!is_leaving)
    return actions;
  LeavingEndpoint observed{endpoint, version, 1};
  if (known != this->leaving.end() && known->second.latest.version >= version) {
    if (now < known->second.renew_at)
      return actions;
    observed.version = known->second.latest.version;
    observed.round = known->second.latest.round + 1;
  }
  // Not queued for gossip yet: if gossip arrived before the announcement, two
  // hosts could each mistake the other's item for an announcement, and neither
  // would announce.
  if (!this->MergeLeaving(observed, now, &actions))
    return actions;
  const auto jitter = this->options.announce_jitter.count();
  const auto wait = static_cast<int64_t>(this->random.NextBelow(jitter + 1));
  this->announce_due[endpoint] = now + common::Duration(wait);
  return actions;
}

void View::CheckLeaving(TimePoint now, Actions* actions) {
  std::erase_if(this->leaving, [&](const auto& item) {
    const bool expired = now >= item.second.expires_at;
    if (expired)
      actions->endpoint_changes.push_back({item.first, false});
    return expired;
  });
  for (auto it = this->announce_due.begin(); it != this->announce_due.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    const auto known = this->leaving.find(it->first);
    if (known != this->leaving.end())
      this->Announce(known->second.latest, now);
    it = this->announce_due.erase(it);
  }
}

void View::Announce(const GossipItem& item, TimePoint now) {
  this->queue.Add(item);
  std::string key = this->own.name;
  if (const auto* leaving = std::get_if<LeavingEndpoint>(&item))
    key = leaving->endpoint;
  Announcement announcement;
  announcement.item = item;
  for (const auto& [name, member] : this->hosts) {
    if (member.info.state != HostState::kDead)
      announcement.unacknowledged.insert(name);
  }
  announcement.first_sequence = this->next_sequence;
  announcement.next_attempt = now;
  announcement.attempts_left = this->options.announce_attempts;
  this->announcements[key] = std::move(announcement);
}

void View::CheckAnnouncements(TimePoint now, Actions* actions) {
  for (auto it = this->announcements.begin();
       it != this->announcements.end();) {
    Announcement& announcement = it->second;
    if (announcement.unacknowledged.empty() ||
        announcement.attempts_left == 0) {
      it = this->announcements.erase(it);
      continue;
    }
    if (now >= announcement.next_attempt) {
      --announcement.attempts_left;
      announcement.next_attempt = now + this->options.announce_retry_period;
      for (const std::string& host : announcement.unacknowledged) {
        // Not recorded as a probe: only regular probes decide whether the
        // target is alive.
        Message message;
        message.type = MessageType::kAnnounce;
        message.sequence = this->next_sequence++;
        message.sender = this->own;
        message.gossip.push_back(announcement.item);
        actions->messages.push_back({host, std::move(message)});
      }
    }
    ++it;
  }
}

Actions View::OnStop(TimePoint now) {
  this->own.state = HostState::kLeaving;
  ++this->own.incarnation;
  this->Announce(this->own, now);
  Actions actions;
  this->CheckAnnouncements(now, &actions);
  return actions;
}

Actions View::OnPlatformList(const table::Snapshot& rows, TimePoint now) {
  Actions actions;
  for (auto& [name, member] : this->hosts)
    member.listed = false;
  this->other_hosts.clear();
  for (const auto& [name, row] : rows.hosts()) {
    if (row->zone != this->own.zone) {
      if (row->state == table::MemberState::kLive)
        this->other_hosts[row->zone][name] = row->address;
      continue;
    }
    if (name == this->own.name)
      continue;
    const auto [known, added] = this->hosts.try_emplace(name);
    Member& member = known->second;
    member.listed = true;
    member.unlisted_since.reset();
    if (added) {
      const auto state = row->state == table::MemberState::kLive
                             ? HostState::kAlive
                             : HostState::kLeaving;
      member.info = {name, row->zone, row->address, 0, state};
      actions.host_changes.push_back({name, state});
    } else if (member.info.incarnation == 0) {
      member.info.address = row->address;
    }
  }
  for (auto& [name, member] : this->hosts) {
    if (!member.listed && !member.unlisted_since)
      member.unlisted_since = now;
  }
  std::erase_if(this->hosts, [&](const auto& item) {
    const Member& member = item.second;
    if (member.listed)
      return false;
    const bool forget =
        member.info.state == HostState::kDead ||
        now - *member.unlisted_since > this->options.unlisted_grace;
    if (forget && member.info.state != HostState::kDead)
      actions.host_changes.push_back({item.first, HostState::kDead});
    return forget;
  });
  this->endpoint_versions.clear();
  for (const auto& [name, row] : rows.endpoints())
    this->endpoint_versions[name] = row->version;
  std::erase_if(this->leaving, [&](const auto& item) {
    const auto current = this->endpoint_versions.find(item.first);
    const bool superseded = current != this->endpoint_versions.end() &&
                            current->second > item.second.latest.version;
    if (superseded)
      actions.endpoint_changes.push_back({item.first, false});
    return superseded;
  });
  return actions;
}

void View::RefreshSummary(TimePoint now) {
  ZoneSummary next = this->summary;
  next.live_hosts = this->AliveHosts().size() +
                    (this->own.state == HostState::kAlive ? 1 : 0);
  next.delegates.clear();
  for (const std::string& name : this->Delegates()) {
    const std::string address = name == this->own.name
                                    ? this->own.address
                                    : this->hosts.at(name).info.address;
    next.delegates.push_back({name, address});
  }
  if (SameContent(next, this->summary) && now < this->next_summary_renewal)
    return;
  ++next.sequence;
  this->summary = next;
  this->next_summary_renewal = now + this->options.summary_renewal_period;
}

void View::ProbeNextZone(TimePoint now, Actions* actions) {
  if (now < this->next_zone_probe_at)
    return;
  this->next_zone_probe_at = now + this->options.probe_period;
  std::erase_if(this->zones, [&](const auto& item) {
    return now - item.second.received_at > this->options.summary_lifetime;
  });
  const table::PeerSet peers = this->Peers(now);
  if (!peers.is_delegate || peers.other_zones.empty())
    return;
  this->RefreshSummary(now);
  const size_t zones_known = peers.other_zones.size();
  this->next_zone_probe_at =
      now + this->options.zone_probe_cycle / static_cast<int64_t>(zones_known);
  const auto zone =
      std::next(peers.other_zones.begin(),
                static_cast<std::ptrdiff_t>(this->zone_cursor++ % zones_known));
  const auto& names = zone->second;
  if (names.empty())
    return;
  const std::string& to = names[this->random.NextBelow(names.size())];
  Message message =
      this->MakeMessage(MessageType::kProbe, this->next_sequence++, false);
  actions->messages.push_back({to, std::move(message)});
}

}  // namespace jujuberock::membership
