#include "core/routing/prefix_index.h"

#include <algorithm>

namespace jujuberock::routing {

PrefixIndex::PrefixIndex(size_t max_blocks)
    : max_blocks(std::max<size_t>(1, max_blocks)) {}

void PrefixIndex::DeclareHolder(HolderId holder, bool is_store) {
  if (this->holders.size() <= holder)
    this->holders.resize(holder + size_t{1});
  this->holders[holder].is_store = is_store;
}

void PrefixIndex::Add(const BlockKey& key, HolderId holder) {
  auto found = this->entries.find(key);
  if (found == this->entries.end()) {
    while (this->entries.size() >= this->max_blocks)
      this->EvictOne();
    Entry& added = this->entries[key];
    added.slots.push_back({holder, this->holders[holder].epoch});
    return;
  }
  Entry& entry = found->second;
  entry.used = true;
  const uint16_t epoch = this->holders[holder].epoch;
  for (Slot& slot : entry.slots) {
    if (slot.holder == holder) {
      slot.epoch = epoch;
      return;
    }
  }
  this->DropVoidSlots(entry);
  entry.slots.push_back({holder, epoch});
}

void PrefixIndex::Remove(const BlockKey& key, HolderId holder) {
  auto found = this->entries.find(key);
  if (found == this->entries.end())
    return;
  auto& slots = found->second.slots;
  slots.erase(
      std::remove_if(slots.begin(), slots.end(),
                     [&](const Slot& slot) { return slot.holder == holder; }),
      slots.end());
  if (slots.empty())
    this->entries.erase(found);
}

bool PrefixIndex::HeldByStore(const BlockKey& key) const {
  auto found = this->entries.find(key);
  if (found == this->entries.end())
    return false;
  const auto& slots = found->second.slots;
  return std::any_of(slots.begin(), slots.end(), [&](const Slot& slot) {
    return this->holders[slot.holder].is_store && !this->Void(slot);
  });
}

void PrefixIndex::Doubt(HolderId holder) {
  HolderState& state = this->holders[holder];
  ++state.epoch;
  // The floor follows before its distance wraps around.
  if (state.epoch == state.floor)
    ++state.floor;
}

void PrefixIndex::Forget(HolderId holder) {
  HolderState& state = this->holders[holder];
  ++state.epoch;
  state.floor = state.epoch;
}

void PrefixIndex::Find(std::span<const BlockKey> keys, Match& match) {
  match.leading.clear();
  match.stored.clear();
  this->walked.clear();
  for (uint32_t position = 0; position < keys.size(); ++position) {
    auto found = this->entries.find(keys[position]);
    if (found == this->entries.end())
      continue;
    found->second.used = true;
    for (const Slot& slot : found->second.slots) {
      if (this->Void(slot))
        continue;
      HolderState& holder = this->holders[slot.holder];
      if (holder.is_store) {
        match.stored.push_back({slot.holder, position, this->Doubtful(slot)});
        continue;
      }
      if (holder.run != position)
        continue;
      if (position == 0) {
        this->walked.push_back(slot.holder);
        holder.run_doubtful = false;
      }
      holder.run = position + 1;
      holder.run_doubtful |= this->Doubtful(slot);
    }
  }
  for (HolderId holder : this->walked) {
    HolderState& state = this->holders[holder];
    match.leading.push_back({holder, state.run, state.run_doubtful});
    state.run = 0;
  }
}

size_t PrefixIndex::bytes() const {
  // A node holds the key, the entry and a link; the hash is not stored because
  // it is cheap. 16 bytes are what the allocator adds.
  constexpr size_t kNode =
      sizeof(std::pair<const BlockKey, Entry>) + sizeof(void*) + 16;
  return this->entries.size() * kNode +
         this->entries.bucket_count() * sizeof(void*) +
         this->holders.capacity() * sizeof(HolderState);
}

bool PrefixIndex::Void(const Slot& slot) const {
  const HolderState& state = this->holders[slot.holder];
  const auto age = static_cast<uint16_t>(state.epoch - slot.epoch);
  return age > static_cast<uint16_t>(state.epoch - state.floor);
}

bool PrefixIndex::Doubtful(const Slot& slot) const {
  return this->holders[slot.holder].epoch != slot.epoch;
}

void PrefixIndex::DropVoidSlots(Entry& entry) {
  entry.slots.erase(
      std::remove_if(entry.slots.begin(), entry.slots.end(),
                     [&](const Slot& slot) { return this->Void(slot); }),
      entry.slots.end());
}

void PrefixIndex::EvictOne() {
  while (true) {
    this->clock_bucket =
        (this->clock_bucket + 1) % this->entries.bucket_count();
    for (auto it = this->entries.begin(this->clock_bucket);
         it != this->entries.end(this->clock_bucket); ++it) {
      this->DropVoidSlots(it->second);
      if (it->second.used && !it->second.slots.empty()) {
        it->second.used = false;
        continue;
      }
      const BlockKey key = it->first;
      this->entries.erase(key);
      return;
    }
  }
}

}  // namespace jujuberock::routing
