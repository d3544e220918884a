#include "standin/block_tiers.h"

#include <utility>

namespace jujuberock::standin {

namespace {

constexpr size_t kEventsKept = 1000;

}  // namespace

uint64_t BlockTiers::TierCapacity(bool on_disk) const {
  const uint64_t size =
      on_disk ? this->options.disk_bytes : this->options.memory_bytes;
  return size > this->occupied_bytes ? size - this->occupied_bytes : 0;
}

bool BlockTiers::Seal(const std::string& key, SealedBlock block) {
  if (this->SizeOf(block) > this->TierCapacity(false))
    return false;
  this->Evict(key);
  block.generation = ++this->last_generation;
  this->used[0] += this->SizeOf(block);
  Entry& entry = this->entries[key];
  entry.block = std::make_shared<const SealedBlock>(std::move(block));
  entry.last_access = ++this->access_count;
  this->AddEvent(true, key);
  this->EnforceCapacity();
  return true;
}

BlockTiers::ReadResult BlockTiers::Read(const std::string& key) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end())
    return {};
  Entry& entry = found->second;
  const ReadResult result{entry.block, entry.on_disk};
  entry.last_access = ++this->access_count;
  if (entry.on_disk) {
    entry.on_disk = false;
    this->used[1] -= this->SizeOf(*entry.block);
    this->used[0] += this->SizeOf(*entry.block);
    this->EnforceCapacity();
  }
  return result;
}

uint64_t BlockTiers::GenerationOf(const std::string& key) const {
  const auto found = this->entries.find(key);
  return found == this->entries.end() ? 0 : found->second.block->generation;
}

bool BlockTiers::Evict(const std::string& key) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end())
    return false;
  this->Erase(found);
  return true;
}

void BlockTiers::Erase(Entries::iterator entry) {
  this->used[entry->second.on_disk ? 1 : 0] -=
      this->SizeOf(*entry->second.block);
  this->AddEvent(false, entry->first);
  this->entries.erase(entry);
}

bool BlockTiers::Corrupt(const std::string& key) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end() || found->second.block->body.empty())
    return false;
  SealedBlock copy = *found->second.block;
  copy.body[copy.body.size() / 2] ^= 1;
  found->second.block = std::make_shared<const SealedBlock>(std::move(copy));
  return true;
}

void BlockTiers::SetOccupiedBytes(uint64_t bytes) {
  this->occupied_bytes = bytes;
  this->EnforceCapacity();
}

uint64_t BlockTiers::used_bytes() const {
  return this->used[0] + this->used[1];
}

std::vector<std::string> BlockTiers::Keys() const {
  std::vector<std::string> keys;
  for (const auto& [key, entry] : this->entries)
    keys.push_back(key);
  return keys;
}

BlockTiers::Entries::iterator BlockTiers::LeastRecentlyUsed(bool on_disk) {
  auto least_recent = this->entries.end();
  for (auto it = this->entries.begin(); it != this->entries.end(); ++it) {
    if (it->second.on_disk != on_disk)
      continue;
    if (least_recent == this->entries.end() ||
        it->second.last_access < least_recent->second.last_access)
      least_recent = it;
  }
  return least_recent;
}

void BlockTiers::EnforceCapacity() {
  while (this->used[0] > this->TierCapacity(false)) {
    const auto entry = this->LeastRecentlyUsed(false);
    const uint64_t size = this->SizeOf(*entry->second.block);
    entry->second.on_disk = true;
    this->used[0] -= size;
    this->used[1] += size;
  }
  while (this->used[1] > this->TierCapacity(true))
    this->Erase(this->LeastRecentlyUsed(true));
}

void BlockTiers::AddEvent(bool added, const std::string& key) {
  this->event_log.push_back({this->next_sequence++, added, key});
  if (this->event_log.size() > kEventsKept)
    this->event_log.pop_front();
}

}  // namespace jujuberock::standin
