#include "core/reuse/cache_store_index.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

#include "core/common/hash.h"
#include "core/reuse/salt.h"

namespace jujuberock::reuse {

namespace {

// A save that the store has not reported complete after this time is retried.
constexpr common::Duration kSaveTimeout = std::chrono::milliseconds(2500);
constexpr int kMaxSaveAttempts = 3;
// Nothing is saved to a store that is filled beyond this share of its capacity,
// because it would drop the saves.
constexpr double kMaxFillShare = 0.97;
// Share of the reads that are sent to a slow store anyway, to detect whether it
// has recovered.
constexpr double kProbeShare = 0.06;
// Fetches take precedence: nothing is saved if the link is busy for longer.
constexpr double kMaxSaveWaitMs = 150;
constexpr common::Duration kRestartMargin = std::chrono::milliseconds(400);
// Shorter parts take less time to prefill than to fetch.
constexpr int64_t kMinPartTokens = 64;
// Saves that are not reported complete are forgotten after this time, once
// there are many of them.
constexpr common::Duration kSaveMemory = std::chrono::seconds(30);
constexpr size_t kManySaves = 4096;

// Score of a store in weighted rendezvous hashing: parts are distributed in
// proportion to the link rates, because the links of the stores are busier than
// their memory is full.
double RendezvousScore(std::string_view part,
                       const catalog::CacheStoreProperties& store) {
  const uint64_t hash = common::Hash64(store.address, common::Hash64(part));
  const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
  return std::max(1.0, store.link_mbps) / -std::log(unit);
}

int64_t Milliseconds(common::TimePoint time) {
  return time.time_since_epoch().count() / 1000;
}

}  // namespace

std::string CacheStoreIndex::KeyOf(std::string_view salt,
                                   std::string_view part) {
  std::string key(salt);
  key += '/';
  key += part;
  return key;
}

void CacheStoreIndex::SetStores(
    const std::vector<catalog::CacheStoreProperties>& properties) {
  std::set<std::string> present;
  for (const catalog::CacheStoreProperties& store : properties) {
    present.insert(store.address);
    Store& known = this->stores[store.address];
    known.properties = store;
    known.link.SetNominalRate(store.link_mbps);
  }
  std::erase_if(this->pending_saves, [&](const auto& entry) {
    return !present.contains(entry.second.store->properties.address);
  });
  std::erase_if(this->stores, [&](const auto& entry) {
    return !present.contains(entry.first);
  });
}

void CacheStoreIndex::SetPollPeriod(common::Duration period) {
  this->max_answer_age = std::max(kMaxAnswerAge, period * 5 / 2);
}

common::Duration CacheStoreIndex::SaveDelayAfterRestart() const {
  return this->max_answer_age + kMaxReadTime + kRestartMargin;
}

uint64_t CacheStoreIndex::NextEvent(std::string_view address) const {
  const auto found = this->stores.find(address);
  return found == this->stores.end() ? 0 : found->second.next;
}

void CacheStoreIndex::OnEvents(std::string_view address,
                               const StoreEvents& events,
                               common::TimePoint polled_at,
                               common::TimePoint now) {
  const auto found = this->stores.find(address);
  if (found == this->stores.end())
    return;
  Store& store = found->second;
  if (events.clock_ms)
    this->clock_offset_ms = *events.clock_ms - Milliseconds(now);
  if (store.epoch != events.epoch) {
    store.parts.clear();
    std::erase_if(this->pending_saves, [&](const auto& entry) {
      return entry.second.store == &store;
    });
    store.used_tokens = 0;
    store.epoch_seen_at = now;
    store.epoch = events.epoch;
  }
  if (!this->IsReadable(store, polled_at))
    store.answering_since = now;
  store.is_answering = true;
  store.answered_at = polled_at;
  store.next = events.next;
  for (const StoreEvent& event : events.events) {
    const std::string key = KeyOf(event.salt, event.part);
    const auto known = store.parts.find(std::string_view(key));
    if (known != store.parts.end()) {
      store.used_tokens -= known->second;
      store.parts.erase(known);
    }
    if (!event.added || event.tokens <= 0)
      continue;
    store.parts.emplace(key, event.tokens);
    store.used_tokens += event.tokens;
    this->pending_saves.erase(key);
  }
}

void CacheStoreIndex::OnPollFailed(std::string_view address) {
  const auto found = this->stores.find(address);
  if (found != this->stores.end())
    found->second.is_answering = false;
}

bool CacheStoreIndex::IsReadable(const Store& store,
                                 common::TimePoint now) const {
  return store.is_answering && now - store.answered_at < this->max_answer_age &&
         this->clock_offset_ms.has_value();
}

bool CacheStoreIndex::AcceptsSaves(const Store& store,
                                   common::TimePoint now) const {
  return this->IsReadable(store, now) &&
         now - store.epoch_seen_at >= this->SaveDelayAfterRestart();
}

double CacheStoreIndex::LowestExcessMs() const {
  double lowest = std::numeric_limits<double>::max();
  for (const auto& [address, store] : this->stores) {
    if (store.link.has_samples())
      lowest = std::min(lowest, store.link.excess_ms());
  }
  return lowest;
}

dispatch::StoredPart CacheStoreIndex::StoredPartOf(
    Store& store,
    int64_t tokens,
    const FetchConditions& conditions,
    common::TimePoint now) const {
  const double mbit = static_cast<double>(tokens) *
                      static_cast<double>(conditions.token_bytes) * 8 / 1e6;
  const double store_mbps = store.link.rate_mbps();
  dispatch::StoredPart part;
  part.readable = this->IsReadable(store, now);
  part.zone = store.properties.zone;
  part.wait_ms = store.link.WaitMs(now);
  if (conditions.engine_link_mbps > 0)
    part.transfer_ms = 1000 * mbit / conditions.engine_link_mbps;
  if (store_mbps > 0)
    part.transfer_ms = std::max(part.transfer_ms, 1000 * mbit / store_mbps);
  return part;
}

void CacheStoreIndex::QueueTransfer(Store& store,
                                    int64_t tokens,
                                    const FetchConditions& conditions,
                                    common::TimePoint now,
                                    ReusePlan& plan) {
  double mbit = static_cast<double>(tokens) *
                static_cast<double>(conditions.token_bytes) * 8 / 1e6;
  if (store.properties.zone != conditions.engine_zone)
    mbit *= dispatch::kCrossZoneTransferFactor;
  store.link.Queue(mbit, now);
  plan.transfers.push_back({store.properties.address, mbit});
}

CacheStoreIndex::Store* CacheStoreIndex::FindByHash(uint64_t store_hash) {
  for (auto& [address, store] : this->stores) {
    if (common::Hash64(address) == store_hash)
      return &store;
  }
  return nullptr;
}

void CacheStoreIndex::OnPeerTransfer(uint64_t store_hash,
                                     double mbit,
                                     common::TimePoint now) {
  Store* store = this->FindByHash(store_hash);
  if (store)
    store->link.Queue(mbit, now);
}

void CacheStoreIndex::OnPeerFetched(uint64_t store_hash,
                                    common::Duration excess) {
  Store* store = this->FindByHash(store_hash);
  if (store)
    store->link.RecordExcess(excess, this->LowestExcessMs());
}

void CacheStoreIndex::OnFetched(std::string_view address,
                                common::Duration excess) {
  const auto found = this->stores.find(address);
  if (found != this->stores.end())
    found->second.link.RecordExcess(excess, this->LowestExcessMs());
}

CacheStoreIndex::HashedKey CacheStoreIndex::Hashed(std::string_view key) {
  return {key, KeyHash()(key)};
}

CacheStoreIndex::Copy CacheStoreIndex::FindCopy(
    const std::string& key,
    int64_t tokens,
    const FetchConditions& conditions,
    common::TimePoint now) {
  const HashedKey hashed = Hashed(key);
  Copy best;
  double lowest_ms = 0;
  for (auto& [address, store] : this->stores) {
    if (!conditions.homes.Allow(store.properties.zone) ||
        !this->IsReadable(store, now) || !store.parts.contains(hashed))
      continue;
    const dispatch::StoredPart part =
        this->StoredPartOf(store, tokens, conditions, now);
    const double ms =
        part.wait_ms + dispatch::TransferMs(part, conditions.engine_zone);
    if (best.store && ms >= lowest_ms)
      continue;
    best = {&store, part};
    lowest_ms = ms;
  }
  return best;
}

bool CacheStoreIndex::HasRoom(const Store& store, int64_t tokens) const {
  const double limit =
      kMaxFillShare * static_cast<double>(store.properties.capacity_tokens);
  return static_cast<double>(store.used_tokens + tokens) <= limit;
}

CacheStoreIndex::Store* CacheStoreIndex::ChooseTarget(
    const std::string& key,
    const dispatch::PromptPart& part,
    const FetchConditions& conditions,
    const Store* excluded,
    common::TimePoint now) {
  const HashedKey hashed = Hashed(key);
  Store* best = nullptr;
  std::pair<bool, double> best_rank;
  for (auto& [address, store] : this->stores) {
    if (&store == excluded || !conditions.homes.Allow(store.properties.zone) ||
        !this->AcceptsSaves(store, now) || !this->HasRoom(store, part.tokens) ||
        store.parts.contains(hashed) || store.link.WaitMs(now) > kMaxSaveWaitMs)
      continue;
    const std::pair<bool, double> rank(
        store.properties.zone == conditions.engine_zone,
        RendezvousScore(part.id, store.properties));
    if (best && rank <= best_rank)
      continue;
    best = &store;
    best_rank = rank;
  }
  return best;
}

void CacheStoreIndex::ForgetOldSaves(common::TimePoint now) {
  if (this->pending_saves.size() < kManySaves)
    return;
  std::erase_if(this->pending_saves, [&](const auto& entry) {
    return now - entry.second.started_at >= kSaveMemory;
  });
}

void CacheStoreIndex::PlanSave(const std::string& key,
                               const dispatch::PromptPart& part,
                               size_t index,
                               const FetchConditions& conditions,
                               common::TimePoint now,
                               ReusePlan& plan) {
  const auto known = this->pending_saves.find(key);
  const bool is_pending = known != this->pending_saves.end();
  if (is_pending && (now - known->second.started_at < kSaveTimeout ||
                     known->second.attempts >= kMaxSaveAttempts))
    return;
  const Store* failed = is_pending ? known->second.store : nullptr;
  Store* target = this->ChooseTarget(key, part, conditions, failed, now);
  if (!target && failed)
    target = this->ChooseTarget(key, part, conditions, nullptr, now);
  if (!target)
    return;
  this->ForgetOldSaves(now);
  PendingSave& save = this->pending_saves[key];
  save.started_at = now;
  save.store = target;
  ++save.attempts;
  QueueTransfer(*target, part.tokens, conditions, now, plan);
  plan.targets[index] = target->properties.address;
}

bool CacheStoreIndex::PlanFetch(const Copy& copy,
                                size_t index,
                                int64_t tokens,
                                bool is_cached,
                                const FetchConditions& conditions,
                                common::TimePoint now,
                                ReusePlan& plan) {
  // The engine does not fetch a part again that it has cached, so naming the
  // store as a source costs nothing.
  const bool is_worth_it =
      is_cached || conditions.chance < kProbeShare ||
      dispatch::IsWorthFetching(copy.part, tokens, conditions.engine_zone,
                                plan.fetch_ms, conditions.limits);
  if (!is_worth_it) {
    plan.skipped_tokens += tokens;
    return false;
  }
  plan.sources[index] = copy.store->properties.address;
  plan.source_tokens += tokens;
  if (is_cached)
    return true;
  QueueTransfer(*copy.store, tokens, conditions, now, plan);
  plan.fetch_ms =
      dispatch::FetchEndMs(copy.part, conditions.engine_zone, plan.fetch_ms);
  plan.fetched_tokens += tokens;
  return true;
}

ReusePlan CacheStoreIndex::Plan(std::string_view salt,
                                const dispatch::Prompt& prompt,
                                const FetchConditions& conditions,
                                common::TimePoint now) {
  ReusePlan plan;
  int64_t main_tokens = 0;
  int64_t end = 0;
  plan.sources.resize(prompt.parts.size());
  plan.targets.resize(prompt.parts.size());
  for (size_t i = 0; i < prompt.parts.size(); ++i) {
    const dispatch::PromptPart& part = prompt.parts[i];
    end += part.tokens;
    if (part.tokens < kMinPartTokens)
      continue;
    const bool is_cached = end <= conditions.cached_tokens;
    const std::string key = KeyOf(salt, part.id);
    const Copy copy = this->FindCopy(key, part.tokens, conditions, now);
    const bool is_fetched =
        copy.store &&
        this->PlanFetch(copy, i, part.tokens, is_cached, conditions, now, plan);
    if (is_fetched && !is_cached && part.tokens > main_tokens) {
      main_tokens = part.tokens;
      plan.main_source = copy.store->properties.address;
    }
    // The last part is used by this request only, so saving it is of no use.
    const bool is_last = i + 1 == prompt.parts.size();
    if (is_fetched || is_last)
      continue;
    if (!copy.store)
      plan.absent_tokens += part.tokens;
    // A part that only a slow store holds is read again now; a second copy
    // saves the next requests from it.
    if (!copy.store || copy.store->link.is_slow())
      this->PlanSave(key, part, i, conditions, now, plan);
  }
  plan.until_ms =
      this->ToEndpointClock(now + std::min(conditions.read_time, kMaxReadTime));
  return plan;
}

std::vector<dispatch::StoredPart> CacheStoreIndex::FindStoredParts(
    std::string_view salt,
    const dispatch::Prompt& prompt,
    const FetchConditions& conditions,
    common::TimePoint now) {
  std::vector<dispatch::StoredPart> stored_parts(prompt.parts.size());
  for (size_t i = 0; i < prompt.parts.size(); ++i) {
    const dispatch::PromptPart& part = prompt.parts[i];
    const Copy copy =
        this->FindCopy(KeyOf(salt, part.id), part.tokens, conditions, now);
    if (copy.store)
      stored_parts[i] = copy.part;
  }
  return stored_parts;
}

std::vector<std::string> CacheStoreIndex::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, store] : this->stores)
    addresses.push_back(address);
  return addresses;
}

std::vector<StoredPartName> CacheStoreIndex::OutdatedParts(
    std::string_view address,
    std::string_view model,
    uint64_t oldest,
    size_t limit,
    common::Duration answered_for,
    common::TimePoint now) const {
  std::vector<StoredPartName> outdated;
  const auto found = this->stores.find(address);
  if (found == this->stores.end() || !this->IsReadable(found->second, now) ||
      now - found->second.answering_since < answered_for)
    return outdated;
  for (const auto& [key, tokens] : found->second.parts) {
    if (outdated.size() >= limit)
      break;
    // Part ids contain no slash.
    const size_t slash = key.rfind('/');
    const std::string_view text = std::string_view(key).substr(0, slash);
    const auto salt = ParseSalt(text);
    if (salt && salt->model == model && salt->version < oldest)
      outdated.push_back({std::string(text), key.substr(slash + 1)});
  }
  return outdated;
}

void CacheStoreIndex::OnFreed(std::string_view address,
                              const std::vector<StoredPartName>& freed) {
  const auto found = this->stores.find(address);
  if (found == this->stores.end())
    return;
  Store& store = found->second;
  for (const StoredPartName& name : freed) {
    const std::string key = KeyOf(name.salt, name.part);
    const auto known = store.parts.find(std::string_view(key));
    if (known == store.parts.end())
      continue;
    store.used_tokens -= known->second;
    store.parts.erase(known);
  }
}

uint64_t CacheStoreIndex::EpochOf(std::string_view address) const {
  const auto found = this->stores.find(address);
  return found == this->stores.end() ? 0 : found->second.epoch;
}

std::optional<uint64_t> CacheStoreIndex::ToEndpointClock(
    common::TimePoint time) const {
  if (!this->clock_offset_ms)
    return std::nullopt;
  return static_cast<uint64_t>(Milliseconds(time) + *this->clock_offset_ms);
}

size_t CacheStoreIndex::known_parts() const {
  size_t count = 0;
  for (const auto& [address, store] : this->stores)
    count += store.parts.size();
  return count;
}

}  // namespace jujuberock::reuse
