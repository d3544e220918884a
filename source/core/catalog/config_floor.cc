#include "core/catalog/config_floor.h"

#include <algorithm>

namespace jujuberock::catalog {

void ConfigFloor::OnEra(uint64_t era, common::TimePoint now) {
  this->is_first_era = !this->current_era;
  this->current_era = era;
  this->era_began = now;
  this->has_former_peer = false;
  this->stored_version.reset();
  this->era_knowledge = EraKnowledge::kNone;
  // The time at which the store went away is not known: a host that was cut off
  // from it alone before sees the same as one that lost it with all others.
  if (this->known_until && now - *this->known_until < this->options.max_gap)
    this->SetKnowledge(EraKnowledge::kOwnView);
}

void ConfigFloor::OnAnswer(common::TimePoint answered_at,
                           common::TimePoint now) {
  this->OnTick(now);
  if (this->era_knowledge == EraKnowledge::kNone)
    return;
  this->known_until =
      std::max(answered_at, this->known_until.value_or(answered_at));
}

void ConfigFloor::OnInForce(uint64_t version) {
  this->floor = std::max(this->floor, version);
}

void ConfigFloor::OnPeer(uint64_t era, uint64_t version) {
  if (era == 0 || !this->current_era)
    return;
  this->floor = std::max(this->floor, version);
  if (era < *this->current_era)
    this->has_former_peer = true;
  else
    this->SetKnowledge(EraKnowledge::kPeer);
}

void ConfigFloor::OnPeersRead() {
  if (this->is_first_era && !this->has_former_peer)
    this->SetKnowledge(EraKnowledge::kNoOtherHosts);
}

void ConfigFloor::OnTick(common::TimePoint now) {
  if (this->current_era && now - this->era_began >= this->options.peer_wait)
    this->SetKnowledge(EraKnowledge::kTimeout);
}

void ConfigFloor::SetKnowledge(EraKnowledge knowledge) {
  if (this->era_knowledge != EraKnowledge::kNone)
    return;
  this->era_knowledge = knowledge;
  this->has_known = true;
}

}  // namespace jujuberock::catalog
