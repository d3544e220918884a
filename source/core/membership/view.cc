#include "core/membership/view.h"

#include <algorithm>
#include <iterator>

#include "core/table/rendezvous.h"

namespace jujuberock::membership {

using common::TimePoint;

namespace {

void KeepNewer(ZoneState* held, const ZoneNews& news, TimePoint now) {
  if (news.sequence < held->news.sequence)
    return;
  held->news = news;
  held->heard = now;
}

bool SameContent(const ZoneNews& left, const ZoneNews& right) {
  return left.live_hosts == right.live_hosts && left.contacts == right.contacts;
}

}  // namespace

View::View(HostNews self, Options options, uint64_t seed)
    : own(std::move(self)), options(options), random(seed) {
  this->summary.zone = this->own.zone;
  this->summary.author = this->own.name;
  this->summary.sequence = this->own.incarnation;
  this->queue.Add(this->own);
}

bool View::IsAlive(const Member& member) const {
  return member.news.state == HostState::kAlive;
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
    for (const Contact& contact : state.news.contacts)
      peers.other_zones[zone].push_back(contact.name);
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
    if (now - state.heard > this->options.zone_lifetime)
      continue;
    const auto [held, added] = newest.try_emplace(key.first, state);
    if (!added && held->second.heard < state.heard)
      held->second = state;
  }
  return newest;
}

std::optional<std::string> View::AddressOf(const std::string& host) const {
  const auto member = this->hosts.find(host);
  if (member != this->hosts.end())
    return member->second.news.address;
  for (const auto& [zone, listed] : this->other_hosts) {
    const auto found = listed.find(host);
    if (found != listed.end())
      return found->second;
  }
  for (const auto& [key, state] : this->zones) {
    for (const Contact& contact : state.news.contacts) {
      if (contact.name == host)
        return contact.address;
    }
  }
  return std::nullopt;
}

void View::AddSeed(const HostNews& seed) {
  if (seed.name == this->own.name)
    return;
  if (this->hosts.contains(seed.name))
    return;
  if (seed.zone == this->own.zone)
    this->hosts[seed.name].news = seed;
  else
    this->other_hosts[seed.zone].try_emplace(seed.name, seed.address);
}

Actions View::OnTick(TimePoint now) {
  Actions actions;
  if (this->last_tick && now - *this->last_tick > this->options.pause_limit)
    this->OnPause(now - *this->last_tick);
  this->last_tick = now;
  this->CheckProbes(now, &actions);
  this->CheckSuspects(now, &actions);
  this->CheckLeaving(now, &actions);
  this->CheckAnnouncements(now, &actions);
  if (now >= this->next_probe) {
    this->next_probe = now + this->options.probe_period;
    this->ProbeNext(now, &actions);
  }
  this->SpeakToZones(now, &actions);
  return actions;
}

void View::OnPause(common::Duration gap) {
  this->probes.clear();
  for (auto& [name, member] : this->hosts)
    member.dead_at += gap;
  for (auto& [endpoint, left] : this->leaving) {
    left.expires += gap;
    left.renew_at += gap;
  }
}

Message View::MakeMessage(MessageType type, uint64_t sequence, bool same_zone) {
  Message message;
  message.type = type;
  message.sequence = sequence;
  message.sender = this->own;
  if (same_zone) {
    message.news =
        this->queue.Take(this->options.news_bytes, this->hosts.size() + 1);
  } else if (this->summary.live_hosts > 0) {
    message.news.emplace_back(this->summary);
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
  // The target learns of a suspicion against it first-hand and can refute.
  const auto member = this->hosts.find(to);
  if (member != this->hosts.end() &&
      member->second.news.state >= HostState::kSuspect)
    message.news.emplace_back(member->second.news);
  actions->sends.push_back({to, std::move(message)});
  return sequence;
}

void View::ProbeNext(TimePoint now, Actions* actions) {
  ++this->probe_count;
  std::optional<std::string> target;
  if (this->probe_count % this->options.dead_probe_every == 0)
    target = this->NextDead();
  if (!target)
    target = this->NextTarget();
  if (target)
    this->SendProbe(*target, actions, now);
}

std::optional<std::string> View::NextDead() {
  std::vector<std::string> dead;
  for (const auto& [name, member] : this->hosts) {
    if (member.news.state == HostState::kDead)
      dead.push_back(name);
  }
  if (dead.empty())
    return std::nullopt;
  return dead[this->random.Below(dead.size())];
}

// Every host is probed once in each round, in an order that changes.
std::optional<std::string> View::NextTarget() {
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!this->round.empty()) {
      std::string name = std::move(this->round.back());
      this->round.pop_back();
      const auto member = this->hosts.find(name);
      if (member != this->hosts.end() &&
          member->second.news.state != HostState::kDead)
        return name;
    }
    for (const auto& [name, member] : this->hosts)
      this->round.push_back(name);
    for (size_t i = this->round.size(); i > 1; --i)
      std::swap(this->round[i - 1], this->round[this->random.Below(i)]);
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
      const bool own_probe = probe.relay_for.empty();
      it = this->probes.erase(it);
      if (own_probe)
        this->Suspect(target, now, actions);
      continue;
    }
    const bool relay = waited >= this->options.ack_timeout && !probe.relayed &&
                       probe.relay_for.empty();
    if (relay) {
      probe.relayed = true;
      this->SendRelays(sequence, probe, actions);
    }
    ++it;
  }
}

void View::SendRelays(uint64_t sequence, const Probe& probe, Actions* actions) {
  if (!this->hosts.contains(probe.target))
    return;
  std::vector<std::string> others = this->AliveHosts();
  std::erase(others, probe.target);
  for (size_t i = 0; i < this->options.relays && !others.empty(); ++i) {
    const size_t pick = this->random.Below(others.size());
    Message message =
        this->MakeMessage(MessageType::kRelayProbe, sequence, true);
    message.subject = probe.target;
    actions->sends.push_back({others[pick], std::move(message)});
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void View::SetState(Member* member,
                    HostState state,
                    TimePoint now,
                    Actions* actions) {
  member->news.state = state;
  member->check_at.reset();
  if (state == HostState::kSuspect) {
    const auto window =
        static_cast<uint64_t>(this->options.suspicion.count() / 2);
    const auto wait = static_cast<int64_t>(this->random.Below(window + 1));
    member->dead_at = now + this->options.suspicion;
    member->check_at = now + common::Duration(wait);
  }
  this->queue.Add(member->news);
  actions->host_changes.push_back({member->news.name, state});
}

void View::Suspect(const std::string& host, TimePoint now, Actions* actions) {
  const auto member = this->hosts.find(host);
  if (member == this->hosts.end())
    return;
  if (member->second.news.state < HostState::kSuspect)
    this->SetState(&member->second, HostState::kSuspect, now, actions);
  // An own probe without an answer, also a repeated one: ask again at once.
  if (member->second.news.state == HostState::kSuspect)
    member->second.check_at = now;
}

void View::CheckSuspects(TimePoint now, Actions* actions) {
  for (auto& [name, member] : this->hosts) {
    if (member.news.state != HostState::kSuspect)
      continue;
    if (now >= member.dead_at) {
      this->SetState(&member, HostState::kDead, now, actions);
    } else if (member.check_at && now >= *member.check_at) {
      member.check_at.reset();
      this->SendProbe(name, actions, now);
    }
  }
}

Actions View::OnMessage(const std::string& from,
                        const Message& message,
                        TimePoint now) {
  Actions actions;
  const auto held = this->hosts.find(from);
  // The sender may not know yet that it was suspected or declared dead.
  std::optional<HostNews> belief;
  if (held != this->hosts.end() &&
      held->second.news.state >= HostState::kSuspect)
    belief = held->second.news;
  if (message.sender.name == from)
    this->MergeHost(message.sender, now, &actions);
  for (const News& news : message.news) {
    if (const auto* host = std::get_if<HostNews>(&news))
      this->MergeHost(*host, now, &actions);
    if (const auto* left = std::get_if<LeavingNews>(&news))
      this->LearnLeaving(*left, now, &actions);
    if (const auto* zone = std::get_if<ZoneNews>(&news))
      this->MergeZone(*zone, now);
  }
  const bool same_zone = message.sender.zone == this->own.zone;
  switch (message.type) {
    case MessageType::kProbe: {
      Message ack =
          this->MakeMessage(MessageType::kAck, message.sequence, same_zone);
      if (belief && belief->incarnation >= message.sender.incarnation)
        ack.news.emplace_back(*belief);
      actions.sends.push_back({from, std::move(ack)});
      break;
    }
    case MessageType::kAnnounce: {
      Message ack;
      ack.type = MessageType::kAck;
      ack.sequence = message.sequence;
      ack.sender = this->own;
      actions.sends.push_back({from, std::move(ack)});
      break;
    }
    case MessageType::kAck:
    case MessageType::kRelayAnswer:
      this->OnAck(from, message.sequence, &actions);
      break;
    case MessageType::kRelayProbe: {
      if (!this->hosts.contains(message.subject))
        break;
      const uint64_t sequence = this->SendProbe(message.subject, &actions, now);
      this->probes[sequence].relay_for = from;
      this->probes[sequence].relay_sequence = message.sequence;
      break;
    }
  }
  return actions;
}

void View::OnAck(const std::string& from, uint64_t sequence, Actions* actions) {
  for (auto& [key, announcement] : this->announcements) {
    if (sequence >= announcement.first_sequence)
      announcement.waiting.erase(from);
  }
  const auto found = this->probes.find(sequence);
  if (found == this->probes.end())
    return;
  const Probe probe = found->second;
  this->probes.erase(found);
  if (probe.relay_for.empty())
    return;
  Message answer =
      this->MakeMessage(MessageType::kRelayAnswer, probe.relay_sequence, true);
  answer.subject = probe.target;
  actions->sends.push_back({probe.relay_for, std::move(answer)});
}

void View::Refute(const HostNews& news, TimePoint now) {
  const bool wrong =
      news.state != this->own.state || news.address != this->own.address;
  const bool older_process = news.incarnation > this->own.incarnation;
  if (news.incarnation < this->own.incarnation || (!wrong && !older_process))
    return;
  this->own.incarnation = news.incarnation + 1;
  // Gossip alone may reach the last host after its suspicion has run out.
  if (news.state >= HostState::kSuspect)
    this->Announce(this->own, now);
  else
    this->queue.Add(this->own);
}

void View::MergeHost(const HostNews& news, TimePoint now, Actions* actions) {
  if (news.name == this->own.name) {
    this->Refute(news, now);
    return;
  }
  if (news.zone != this->own.zone) {
    this->other_hosts[news.zone].try_emplace(news.name, news.address);
    return;
  }
  const auto held = this->hosts.find(news.name);
  if (held == this->hosts.end()) {
    // News of the death of an unknown host would only bring it back.
    if (news.state == HostState::kDead)
      return;
    Member& added = this->hosts[news.name];
    added.news = news;
    added.unlisted_since = now;
    this->SetState(&added, news.state, now, actions);
    return;
  }
  Member& member = held->second;
  const bool newer = news.incarnation > member.news.incarnation ||
                     (news.incarnation == member.news.incarnation &&
                      news.state > member.news.state);
  if (!newer)
    return;
  const HostState before = member.news.state;
  member.news = news;
  this->SetState(&member, news.state, now, actions);
  if (before == news.state)
    actions->host_changes.pop_back();
}

bool View::MergeLeaving(const LeavingNews& news,
                        TimePoint now,
                        Actions* actions) {
  const auto current = this->endpoint_versions.find(news.endpoint);
  if (current != this->endpoint_versions.end() &&
      current->second > news.version)
    return false;
  const auto held = this->leaving.find(news.endpoint);
  if (held != this->leaving.end()) {
    const LeavingNews& old = held->second.news;
    // Another host's announcement makes an own one unnecessary.
    if (news == old)
      this->announce_at.erase(news.endpoint);
    const bool newer = news.version > old.version ||
                       (news.version == old.version && news.round > old.round);
    if (!newer)
      return false;
  } else {
    actions->endpoint_changes.push_back({news.endpoint, true});
  }
  this->leaving[news.endpoint] = {news, now + this->options.leaving_lifetime,
                                  now + this->options.leaving_renewal};
  return true;
}

void View::LearnLeaving(const LeavingNews& news,
                        TimePoint now,
                        Actions* actions) {
  if (this->MergeLeaving(news, now, actions))
    this->queue.Add(news);
}

void View::MergeZone(const ZoneNews& news, TimePoint now) {
  if (news.zone == this->own.zone)
    return;
  ZoneState& held = this->zones[{news.zone, news.author}];
  const bool newer = news.sequence > held.news.sequence;
  KeepNewer(&held, news, now);
  if (newer)
    this->queue.Add(news);
}

Actions View::OnEndpointReport(const std::string& endpoint,
                               table::Version version,
                               bool is_leaving,
                               TimePoint now) {
  Actions actions;
  const auto held = this->leaving.find(endpoint);
  if (!is_leaving)
    return actions;
  LeavingNews news{endpoint, version, 1};
  if (held != this->leaving.end() && held->second.news.version >= version) {
    if (now < held->second.renew_at)
      return actions;
    news.version = held->second.news.version;
    news.round = held->second.news.round + 1;
  }
  // Not put on the queue yet: if it travelled before the announcement, two
  // hosts could each take the other's news for one and neither would announce.
  if (!this->MergeLeaving(news, now, &actions))
    return actions;
  const auto jitter = this->options.announce_jitter.count();
  const auto wait = static_cast<int64_t>(this->random.Below(jitter + 1));
  this->announce_at[endpoint] = now + common::Duration(wait);
  return actions;
}

void View::CheckLeaving(TimePoint now, Actions* actions) {
  std::erase_if(this->leaving, [&](const auto& item) {
    const bool expired = now >= item.second.expires;
    if (expired)
      actions->endpoint_changes.push_back({item.first, false});
    return expired;
  });
  for (auto it = this->announce_at.begin(); it != this->announce_at.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    const auto held = this->leaving.find(it->first);
    if (held != this->leaving.end())
      this->Announce(held->second.news, now);
    it = this->announce_at.erase(it);
  }
}

void View::Announce(const News& news, TimePoint now) {
  this->queue.Add(news);
  std::string key = this->own.name;
  if (const auto* left = std::get_if<LeavingNews>(&news))
    key = left->endpoint;
  Announcement announcement;
  announcement.news = news;
  for (const auto& [name, member] : this->hosts) {
    if (member.news.state != HostState::kDead)
      announcement.waiting.insert(name);
  }
  announcement.first_sequence = this->next_sequence;
  announcement.next_try = now;
  announcement.tries_left = this->options.announce_tries;
  this->announcements[key] = std::move(announcement);
}

void View::CheckAnnouncements(TimePoint now, Actions* actions) {
  for (auto it = this->announcements.begin();
       it != this->announcements.end();) {
    Announcement& announcement = it->second;
    if (announcement.waiting.empty() || announcement.tries_left == 0) {
      it = this->announcements.erase(it);
      continue;
    }
    if (now >= announcement.next_try) {
      --announcement.tries_left;
      announcement.next_try = now + this->options.announce_retry;
      for (const std::string& host : announcement.waiting) {
        // Not recorded as a probe: the target's silence is judged by the
        // regular ones.
        Message message;
        message.type = MessageType::kAnnounce;
        message.sequence = this->next_sequence++;
        message.sender = this->own;
        message.news.push_back(announcement.news);
        actions->sends.push_back({host, std::move(message)});
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
    const auto [held, added] = this->hosts.try_emplace(name);
    Member& member = held->second;
    member.listed = true;
    member.unlisted_since.reset();
    if (added) {
      const auto state = row->state == table::MemberState::kLive
                             ? HostState::kAlive
                             : HostState::kLeaving;
      member.news = {name, row->zone, row->address, 0, state};
      actions.host_changes.push_back({name, state});
    } else if (member.news.incarnation == 0) {
      member.news.address = row->address;
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
    const bool gone =
        member.news.state == HostState::kDead ||
        now - *member.unlisted_since > this->options.unlisted_grace;
    if (gone && member.news.state != HostState::kDead)
      actions.host_changes.push_back({item.first, HostState::kDead});
    return gone;
  });
  this->endpoint_versions.clear();
  for (const auto& [name, row] : rows.endpoints())
    this->endpoint_versions[name] = row->version;
  std::erase_if(this->leaving, [&](const auto& item) {
    const auto current = this->endpoint_versions.find(item.first);
    const bool superseded = current != this->endpoint_versions.end() &&
                            current->second > item.second.news.version;
    if (superseded)
      actions.endpoint_changes.push_back({item.first, false});
    return superseded;
  });
  return actions;
}

void View::RenewSummary(TimePoint now) {
  ZoneNews next = this->summary;
  next.live_hosts = this->AliveHosts().size() +
                    (this->own.state == HostState::kAlive ? 1 : 0);
  next.contacts.clear();
  for (const std::string& name : this->Delegates()) {
    const std::string address = name == this->own.name
                                    ? this->own.address
                                    : this->hosts.at(name).news.address;
    next.contacts.push_back({name, address});
  }
  if (SameContent(next, this->summary) && now < this->summary_renewal)
    return;
  ++next.sequence;
  this->summary = next;
  this->summary_renewal = now + this->options.zone_renewal;
}

void View::SpeakToZones(TimePoint now, Actions* actions) {
  if (now < this->next_zone_at)
    return;
  this->next_zone_at = now + this->options.probe_period;
  std::erase_if(this->zones, [&](const auto& item) {
    return now - item.second.heard > this->options.zone_lifetime;
  });
  const table::PeerSet peers = this->Peers(now);
  if (!peers.is_delegate || peers.other_zones.empty())
    return;
  this->RenewSummary(now);
  const size_t zones_known = peers.other_zones.size();
  this->next_zone_at =
      now + this->options.zone_period / static_cast<int64_t>(zones_known);
  const auto zone =
      std::next(peers.other_zones.begin(),
                static_cast<std::ptrdiff_t>(this->next_zone++ % zones_known));
  const auto& names = zone->second;
  if (names.empty())
    return;
  const std::string& to = names[this->random.Below(names.size())];
  Message message =
      this->MakeMessage(MessageType::kProbe, this->next_sequence++, false);
  actions->sends.push_back({to, std::move(message)});
}

}  // namespace jujuberock::membership
