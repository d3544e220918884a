#include "core/handover/peer_choice.h"

#include <algorithm>
#include <utility>

namespace jujuberock::handover {

PeerChoice::PeerChoice(std::string zone, uint64_t seed)
    : zone(std::move(zone)), random(seed) {}

void PeerChoice::SetHosts(std::vector<PeerHost> hosts) {
  this->hosts = std::move(hosts);
  std::erase_if(this->paused_until, [this](const auto& pause) {
    return std::none_of(
        this->hosts.begin(), this->hosts.end(),
        [&](const PeerHost& host) { return host.name == pause.first.first; });
  });
}

bool PeerChoice::IsPaused(const PauseKey& key, common::TimePoint now) const {
  const auto pause = this->paused_until.find(key);
  return pause != this->paused_until.end() && now < pause->second;
}

std::optional<PeerHost> PeerChoice::Choose(
    const std::string& service,
    const std::set<std::string>& asked,
    const std::function<bool(const std::string& zone)>& allows,
    common::TimePoint now) {
  std::vector<const PeerHost*> near;
  std::vector<const PeerHost*> far;
  for (const PeerHost& host : this->hosts) {
    const bool is_paused = this->IsPaused({host.name, service}, now) ||
                           this->IsPaused({host.name, ""}, now);
    if (is_paused || asked.contains(host.name) || !allows(host.zone))
      continue;
    (host.zone == this->zone ? near : far).push_back(&host);
  }
  const auto& candidates = near.empty() ? far : near;
  if (candidates.empty())
    return std::nullopt;
  // The less loaded of two random hosts, as far as this host has caused it.
  const PeerHost* first = candidates[this->random.Next() % candidates.size()];
  const PeerHost* second = candidates[this->random.Next() % candidates.size()];
  return this->InFlightOf(*second) < this->InFlightOf(*first) ? *second
                                                              : *first;
}

int64_t PeerChoice::InFlightOf(const PeerHost& host) const {
  const auto found = this->in_flight.find(host.name);
  return found == this->in_flight.end() ? 0 : found->second;
}

void PeerChoice::OnEnded(const std::string& host) {
  const auto found = this->in_flight.find(host);
  if (found != this->in_flight.end() && --found->second <= 0)
    this->in_flight.erase(found);
}

void PeerChoice::OnRefused(const std::string& host,
                           const std::string& service,
                           common::TimePoint now) {
  this->paused_until[{host, service}] = now + kRefusedPause;
}

void PeerChoice::OnSilent(const std::string& host, common::TimePoint now) {
  this->paused_until[{host, ""}] = now + kSilentPause;
}

}  // namespace jujuberock::handover
