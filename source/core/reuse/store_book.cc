#include "core/reuse/store_book.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "core/common/hash.h"

namespace jujuberock::reuse {

namespace {

// A save that was not reported complete by then is tried again.
constexpr common::Duration kSaveTime = std::chrono::milliseconds(2500);
constexpr int kMostSaveTries = 3;
// A store this full takes no more: saves would be lost.
constexpr double kFullShare = 0.97;
// Shorter parts are read faster than they are fetched.
constexpr int64_t kLeastTokens = 64;

int64_t Milliseconds(common::TimePoint time) {
  return time.time_since_epoch().count() / 1000;
}

}  // namespace

std::string StoreBook::KeyOf(std::string_view salt, std::string_view part) {
  std::string key(salt);
  key += '/';
  key += part;
  return key;
}

void StoreBook::SetStores(
    const std::vector<catalog::CacheStoreTraits>& traits) {
  std::set<std::string> present;
  for (const catalog::CacheStoreTraits& store : traits) {
    present.insert(store.address);
    this->stores[store.address].traits = store;
  }
  std::erase_if(this->stores, [&](const auto& entry) {
    return !present.contains(entry.first);
  });
}

uint64_t StoreBook::NextEvent(std::string_view address) const {
  const auto found = this->stores.find(address);
  return found == this->stores.end() ? 0 : found->second.next;
}

void StoreBook::OnEvents(std::string_view address,
                         const StoreEvents& events,
                         common::TimePoint asked_at,
                         common::TimePoint now) {
  const auto found = this->stores.find(address);
  if (found == this->stores.end())
    return;
  Store& store = found->second;
  if (events.clock_ms)
    this->clock_offset_ms = *events.clock_ms - Milliseconds(now);
  if (store.epoch != events.epoch) {
    store.parts.clear();
    store.saving.clear();
    store.used_tokens = 0;
    store.epoch_seen_at = now;
    store.epoch = events.epoch;
  }
  store.answers = true;
  store.answered_at = asked_at;
  store.next = events.next;
  for (const StoreEvent& event : events.events) {
    const std::string key = KeyOf(event.salt, event.part);
    const auto known = store.parts.find(key);
    if (known != store.parts.end()) {
      store.used_tokens -= known->second;
      store.parts.erase(known);
    }
    if (!event.added || event.tokens <= 0)
      continue;
    store.parts.emplace(key, event.tokens);
    store.used_tokens += event.tokens;
    store.saving.erase(key);
  }
}

void StoreBook::OnNoAnswer(std::string_view address) {
  const auto found = this->stores.find(address);
  if (found != this->stores.end())
    found->second.answers = false;
}

bool StoreBook::Readable(const Store& store, common::TimePoint now) const {
  return store.answers && now - store.answered_at < kAnswerAge &&
         this->clock_offset_ms.has_value();
}

bool StoreBook::Savable(const Store& store, common::TimePoint now) const {
  return this->Readable(store, now) && now - store.epoch_seen_at >= kQuietTime;
}

const StoreBook::Store* StoreBook::HomeOf(std::string_view part) const {
  const Store* best = nullptr;
  double best_score = 0;
  for (const auto& [address, store] : this->stores) {
    // Weighted rendezvous hashing: a store gets parts by its capacity.
    const uint64_t hash = common::Hash64(address, common::Hash64(part));
    const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
    const double weight =
        static_cast<double>(std::max<int64_t>(1, store.traits.capacity_tokens));
    const double score = weight / -std::log(unit);
    if (best && score <= best_score)
      continue;
    best = &store;
    best_score = score;
  }
  return best;
}

StoreBook::Store* StoreBook::HomeOf(std::string_view part) {
  return const_cast<Store*>(std::as_const(*this).HomeOf(part));
}

bool StoreBook::BookSave(Store& store,
                         const std::string& key,
                         int64_t tokens,
                         common::TimePoint now) {
  if (!this->Savable(store, now))
    return false;
  const double limit =
      kFullShare * static_cast<double>(store.traits.capacity_tokens);
  if (static_cast<double>(store.used_tokens + tokens) > limit)
    return false;
  Saving& saving = store.saving[key];
  const bool pending = saving.tries > 0 && now - saving.since < kSaveTime;
  if (pending || saving.tries >= kMostSaveTries)
    return false;
  saving.since = now;
  ++saving.tries;
  return true;
}

ReusePlan StoreBook::Plan(std::string_view salt,
                          const dispatch::Prompt& prompt,
                          common::TimePoint now) {
  ReusePlan plan;
  plan.sources.resize(prompt.parts.size());
  plan.targets.resize(prompt.parts.size());
  for (size_t i = 0; i < prompt.parts.size(); ++i) {
    const dispatch::PromptPart& part = prompt.parts[i];
    Store* store = part.tokens >= kLeastTokens ? this->HomeOf(part.id) : nullptr;
    if (!store)
      continue;
    const std::string key = KeyOf(salt, part.id);
    const auto known = store->parts.find(key);
    if (known != store->parts.end()) {
      if (this->Readable(*store, now)) {
        plan.sources[i] = store->traits.address;
        plan.source_tokens += part.tokens;
      }
      continue;
    }
    // The last part belongs to this request alone.
    const bool is_last = i + 1 == prompt.parts.size();
    if (!is_last && this->BookSave(*store, key, part.tokens, now))
      plan.targets[i] = store->traits.address;
  }
  if (this->clock_offset_ms)
    plan.until_ms = static_cast<uint64_t>(
        Milliseconds(now + kReadTime) + *this->clock_offset_ms);
  return plan;
}

int64_t StoreBook::ReadableTokens(std::string_view salt,
                                  const dispatch::Prompt& prompt,
                                  common::TimePoint now) const {
  int64_t tokens = 0;
  for (const dispatch::PromptPart& part : prompt.parts) {
    const Store* store = this->HomeOf(part.id);
    if (!store || !this->Readable(*store, now) ||
        !store->parts.contains(KeyOf(salt, part.id)))
      return tokens;
    tokens += part.tokens;
  }
  return tokens;
}

size_t StoreBook::known_parts() const {
  size_t count = 0;
  for (const auto& [address, store] : this->stores)
    count += store.parts.size();
  return count;
}

}  // namespace jujuberock::reuse
