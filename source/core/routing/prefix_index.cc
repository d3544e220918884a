#include "core/routing/prefix_index.h"

#include <algorithm>

namespace jujuberock::routing {

PrefixIndex::PrefixIndex(size_t max_blocks)
    : max_blocks(std::max<size_t>(1, max_blocks)) {}

void PrefixIndex::RegisterHolder(HolderId holder, bool is_store) {
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
  entry.referenced = true;
  const uint16_t epoch = this->holders[holder].epoch;
  for (Slot& slot : entry.slots) {
    if (slot.holder == holder) {
      slot.epoch = epoch;
      return;
    }
  }
  this->DropInvalidSlots(entry);
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
    return this->holders[slot.holder].is_store && !this->IsInvalid(slot);
  });
}

void PrefixIndex::MarkStale(HolderId holder) {
  HolderState& state = this->holders[holder];
  ++state.epoch;
  // Advance the oldest valid epoch before its distance to the current one wraps
  // around.
  if (state.epoch == state.min_valid_epoch)
    ++state.min_valid_epoch;
}

void PrefixIndex::Invalidate(HolderId holder) {
  HolderState& state = this->holders[holder];
  ++state.epoch;
  state.min_valid_epoch = state.epoch;
}

void PrefixIndex::Find(std::span<const BlockKey> keys, Match& match) {
  match.prefixes.clear();
  match.stored.clear();
  this->matched_holders.clear();
  for (uint32_t position = 0; position < keys.size(); ++position) {
    auto found = this->entries.find(keys[position]);
    if (found == this->entries.end())
      continue;
    found->second.referenced = true;
    for (const Slot& slot : found->second.slots) {
      if (this->IsInvalid(slot))
        continue;
      HolderState& holder = this->holders[slot.holder];
      if (holder.is_store) {
        match.stored.push_back({slot.holder, position, this->IsStale(slot)});
        continue;
      }
      if (holder.prefix_blocks != position)
        continue;
      if (position == 0) {
        this->matched_holders.push_back(slot.holder);
        holder.prefix_stale = false;
      }
      holder.prefix_blocks = position + 1;
      holder.prefix_stale |= this->IsStale(slot);
    }
  }
  for (HolderId holder : this->matched_holders) {
    HolderState& state = this->holders[holder];
    match.prefixes.push_back({holder, state.prefix_blocks, state.prefix_stale});
    state.prefix_blocks = 0;
  }
}

size_t PrefixIndex::bytes() const {
  // A node holds the key, the entry and a next pointer; the hash is not cached
  // because it is cheap to compute. 16 bytes are the allocator's overhead.
  constexpr size_t kNode =
      sizeof(std::pair<const BlockKey, Entry>) + sizeof(void*) + 16;
  return this->entries.size() * kNode +
         this->entries.bucket_count() * sizeof(void*) +
         this->holders.capacity() * sizeof(HolderState);
}

bool PrefixIndex::IsInvalid(const Slot& slot) const {
  const HolderState& state = this->holders[slot.holder];
  const auto age = static_cast<uint16_t>(state.epoch - slot.epoch);
  return age > static_cast<uint16_t>(state.epoch - state.min_valid_epoch);
}

bool PrefixIndex::IsStale(const Slot& slot) const {
  return this->holders[slot.holder].epoch != slot.epoch;
}

void PrefixIndex::DropInvalidSlots(Entry& entry) {
  entry.slots.erase(
      std::remove_if(entry.slots.begin(), entry.slots.end(),
                     [&](const Slot& slot) { return this->IsInvalid(slot); }),
      entry.slots.end());
}

void PrefixIndex::EvictOne() {
  while (true) {
    this->clock_bucket =
        (this->clock_bucket + 1) % this->entries.bucket_count();
    for (auto it = this->entries.begin(this->clock_bucket);
         it != this->entries.end(this->clock_bucket); ++it) {
      this->DropInvalidSlots(it->second);
      if (it->second.referenced && !it->second.slots.empty()) {
        it->second.referenced = false;
        continue;
      }
      const BlockKey key = it->first;
      this->entries.erase(key);
      return;
    }
  }
}

}  // namespace jujuberock::routing
