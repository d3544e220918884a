#include "core/catalog/config_floor.h"

#include <algorithm>

namespace jujuberock::catalog {

void ConfigFloor::OnEra(uint64_t era, common::TimePoint now) {
  this->is_first_era = !this->current_era;
  this->current_era = era;
  this->era_began = now;
  this->has_former_peer = false;
  this->has_present_peer = false;
  this->stored_version.reset();
}

void ConfigFloor::OnInForce(uint64_t version) {
  this->floor = std::max(this->floor, version);
}

void ConfigFloor::OnPeer(uint64_t era, uint64_t version) {
  if (era == 0 || !this->current_era)
    return;
  if (era < *this->current_era)
    this->has_former_peer = true;
  else
    this->has_present_peer = true;
  this->floor = std::max(this->floor, version);
}

}  // namespace jujuberock::catalog
