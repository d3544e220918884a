#include "core/relay/relay_choice.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/common/hash.h"

namespace jujuberock::relay {

RelayChoice::RelayChoice(RelayChoiceOptions options)
    : options(std::move(options)) {}

void RelayChoice::SetHosts(std::vector<RelayHost> hosts) {
  this->ranked = std::move(hosts);
  this->ranked.push_back({this->options.own_name, ""});
  const uint64_t seed = common::Hash64(this->options.zone);
  std::sort(this->ranked.begin(), this->ranked.end(),
            [&](const RelayHost& a, const RelayHost& b) {
              const uint64_t hash_a = common::Hash64(a.name, seed);
              const uint64_t hash_b = common::Hash64(b.name, seed);
              return std::tie(hash_a, a.name) < std::tie(hash_b, b.name);
            });
  std::erase_if(this->failures, [this](const auto& entry) {
    return std::none_of(
        this->ranked.begin(), this->ranked.end(),
        [&](const RelayHost& host) { return host.name == entry.first; });
  });
}

bool RelayChoice::AreRelaysUsed() const {
  return this->options.min_hosts > 0 &&
         this->ranked.size() >= std::max<size_t>(this->options.min_hosts, 2);
}

bool RelayChoice::IsSilent(const std::string& name,
                           common::TimePoint now) const {
  const auto found = this->failures.find(name);
  return found != this->failures.end() && now < found->second.silent_until;
}

bool RelayChoice::HasRefused(const std::string& name,
                             common::TimePoint now) const {
  const auto found = this->failures.find(name);
  return found != this->failures.end() && now < found->second.refused_until;
}

std::vector<size_t> RelayChoice::Relays(common::TimePoint now) const {
  std::vector<size_t> relays;
  for (size_t i = 0; i < this->ranked.size(); ++i) {
    if (relays.size() == kRelaysPerZone)
      break;
    if (!this->IsSilent(this->ranked[i].name, now))
      relays.push_back(i);
  }
  return relays;
}

bool RelayChoice::IsRelay(common::TimePoint now) const {
  if (!this->AreRelaysUsed())
    return false;
  if (this->serves_until && now < *this->serves_until)
    return true;
  const std::vector<size_t> relays = this->Relays(now);
  return std::any_of(relays.begin(), relays.end(), [this](size_t i) {
    return this->ranked[i].name == this->options.own_name;
  });
}

std::optional<RelayHost> RelayChoice::Choose(common::TimePoint now) const {
  if (!this->IsFollower(now))
    return std::nullopt;
  const std::vector<size_t> relays = this->Relays(now);
  const uint64_t first = common::Hash64(this->options.own_name);
  for (size_t i = 0; i < relays.size(); ++i) {
    const RelayHost& relay = this->ranked[relays[(first + i) % relays.size()]];
    if (!this->HasRefused(relay.name, now))
      return relay;
  }
  return std::nullopt;
}

void RelayChoice::OnAnswer(const std::string& name) {
  // Refusals concern one kind only, and stay in force.
  const auto found = this->failures.find(name);
  if (found != this->failures.end())
    found->second.silences = 0;
}

void RelayChoice::OnRefused(const std::string& name, common::TimePoint now) {
  Failures& failed = this->failures[name];
  failed.refused_until = now + kRefusedPause;
}

void RelayChoice::OnSilent(const std::string& name, common::TimePoint now) {
  // Calls that began before the first failure say nothing new.
  Failures& failed = this->failures[name];
  if (failed.silences > 0 && now < failed.silent_until)
    return;
  constexpr int kMaxDoublings = 4;
  const auto pause =
      kSilentPause * (1 << std::min(failed.silences, kMaxDoublings));
  failed.silent_until =
      now + std::min<common::Duration>(pause, kMaxSilentPause);
  ++failed.silences;
}

}  // namespace jujuberock::relay
