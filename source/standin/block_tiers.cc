#include "standin/block_tiers.h"

#include <utility>

namespace jujuberock::standin {

namespace {

constexpr size_t kEventsKept = 1000;

}  // namespace

uint64_t BlockTiers::Limit(bool on_disk) const {
  const uint64_t size =
      on_disk ? this->options.disk_bytes : this->options.memory_bytes;
  return size > this->occupied ? size - this->occupied : 0;
}

bool BlockTiers::Seal(const std::string& key, SealedBlock block) {
  if (this->SizeOf(block) > this->Limit(false))
    return false;
  this->Evict(key);
  block.generation = ++this->last_generation;
  this->used[0] += this->SizeOf(block);
  Entry& entry = this->entries[key];
  entry.block = std::make_shared<const SealedBlock>(std::move(block));
  entry.last_use = ++this->uses;
  this->AddEvent(true, key);
  this->Balance();
  return true;
}

BlockTiers::Found BlockTiers::Read(const std::string& key) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end())
    return {};
  Entry& entry = found->second;
  const Found result{entry.block, entry.on_disk};
  entry.last_use = ++this->uses;
  if (entry.on_disk) {
    entry.on_disk = false;
    this->used[1] -= this->SizeOf(*entry.block);
    this->used[0] += this->SizeOf(*entry.block);
    this->Balance();
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

void BlockTiers::Occupy(uint64_t bytes) {
  this->occupied = bytes;
  this->Balance();
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

BlockTiers::Entries::iterator BlockTiers::LeastRecent(bool on_disk) {
  auto least = this->entries.end();
  for (auto it = this->entries.begin(); it != this->entries.end(); ++it) {
    if (it->second.on_disk != on_disk)
      continue;
    if (least == this->entries.end() ||
        it->second.last_use < least->second.last_use)
      least = it;
  }
  return least;
}

void BlockTiers::Balance() {
  while (this->used[0] > this->Limit(false)) {
    const auto entry = this->LeastRecent(false);
    const uint64_t size = this->SizeOf(*entry->second.block);
    entry->second.on_disk = true;
    this->used[0] -= size;
    this->used[1] += size;
  }
  while (this->used[1] > this->Limit(true))
    this->Erase(this->LeastRecent(true));
}

void BlockTiers::AddEvent(bool added, const std::string& key) {
  this->recent.push_back({this->next_sequence++, added, key});
  if (this->recent.size() > kEventsKept)
    this->recent.pop_front();
}

}  // namespace jujuberock::standin
