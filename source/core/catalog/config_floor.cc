#include "core/catalog/config_floor.h"

#include <algorithm>

namespace jujuberock::catalog {

void ConfigFloor::OnEra(uint64_t era, common::TimePoint now) {
  this->is_first_era = !this->current_era;
  this->current_era = era;
  this->era_began = now;
  this->has_ignorant_peer = false;
  this->are_peers_read = false;
  this->stored_version.reset();
  this->first_revision.reset();
  this->era_knowledge = EraKnowledge::kNone;
  // The time at which the store went away is not known: a host that was cut off
  // from it alone before sees the same as one that lost it with all others.
  if (this->known_until && now - *this->known_until < this->options.max_gap)
    this->SetKnowledge(EraKnowledge::kOwnView);
}

void ConfigFloor::OnStored(uint64_t version, uint64_t revision) {
  this->stored_version = version;
  if (!this->first_revision)
    this->first_revision = revision;
  // The operator knows what it has written, and versions only rise.
  if (this->current_era && revision > *this->first_revision)
    this->SetKnowledge(EraKnowledge::kRewrite);
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

void ConfigFloor::OnPeer(const PeerConfig& peer) {
  if (peer.era == 0 || !this->current_era)
    return;
  this->floor = std::max(this->floor, peer.version);
  const bool is_present = peer.era >= *this->current_era;
  if (is_present && peer.is_known == true)
    this->SetKnowledge(EraKnowledge::kPeer);
  // A host that does not say whether it knows is no reason to wait: there may
  // have been no other era.
  this->has_ignorant_peer |= !is_present || peer.is_known == false;
}

void ConfigFloor::OnPeersRead() {
  this->are_peers_read = true;
  if (this->is_first_era && !this->has_ignorant_peer)
    this->SetKnowledge(EraKnowledge::kNoOtherHosts);
}

PeerConfig ConfigFloor::ForPeers() const {
  PeerConfig own{this->current_era.value_or(0), this->floor, std::nullopt};
  if (this->are_peers_read || this->era_knowledge != EraKnowledge::kNone)
    own.is_known = this->era_knowledge != EraKnowledge::kNone;
  return own;
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
