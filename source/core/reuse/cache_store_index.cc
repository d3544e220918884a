#include "core/reuse/cache_store_index.h"

#include <algorithm>
#include <cmath>
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
constexpr double kExcessSmoothing = 0.06;
// Number of samples that a store needs before other stores are compared with
// it.
constexpr int kMinSamples = 20;
constexpr double kMaxExcessMs = 1500;
// Share of the reads that are sent to a slow store anyway, to detect whether it
// has recovered.
constexpr double kProbeShare = 0.06;
// A store whose requests are delayed by more than this is assumed to deliver
// less than its nominal link rate.
constexpr double kSlowExcessMs = 150;
constexpr double kSlowFactor = 0.94;
constexpr double kRecoveryFactor = 1.03;
constexpr double kMinLinkShare = 0.05;
// Fetches take precedence: nothing is saved if the link is busy for longer.
constexpr double kMaxSaveWaitMs = 150;
constexpr common::Duration kRestartMargin = std::chrono::milliseconds(400);
// Shorter parts take less time to prefill than to fetch.
constexpr int64_t kMinPartTokens = 64;

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
    this->stores[store.address].properties = store;
  }
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
    store.pending_saves.clear();
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
    const auto known = store.parts.find(key);
    if (known != store.parts.end()) {
      store.used_tokens -= known->second;
      store.parts.erase(known);
    }
    if (!event.added || event.tokens <= 0)
      continue;
    store.parts.emplace(key, event.tokens);
    store.used_tokens += event.tokens;
    store.pending_saves.erase(key);
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

double CacheStoreIndex::RelativeExcessMs(const Store& store) const {
  double lowest = store.excess_ms;
  for (const auto& [address, other] : this->stores) {
    if (other.samples >= kMinSamples)
      lowest = std::min(lowest, other.excess_ms);
  }
  return store.excess_ms - lowest;
}

double CacheStoreIndex::LinkWaitMs(Store& store, common::TimePoint now) const {
  const double rate = store.properties.link_mbps * store.link_share;
  if (rate <= 0)
    return 0;
  const double passed = common::ToSeconds(now - store.queued_at);
  store.queued_mbit = std::max(0.0, store.queued_mbit - rate * passed);
  store.queued_at = now;
  return 1000 * store.queued_mbit / rate;
}

dispatch::StoredPart CacheStoreIndex::StoredPartOf(
    Store& store,
    int64_t tokens,
    const FetchConditions& conditions,
    common::TimePoint now) const {
  const double mbit = static_cast<double>(tokens) *
                      static_cast<double>(conditions.token_bytes) * 8 / 1e6;
  const double store_mbps = store.properties.link_mbps * store.link_share;
  dispatch::StoredPart part;
  part.readable = this->IsReadable(store, now);
  part.zone = store.properties.zone;
  part.wait_ms = this->LinkWaitMs(store, now);
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
                                    ReusePlan& plan) const {
  double mbit = static_cast<double>(tokens) *
                static_cast<double>(conditions.token_bytes) * 8 / 1e6;
  if (store.properties.zone != conditions.engine_zone)
    mbit *= dispatch::kCrossZoneTransferFactor;
  this->LinkWaitMs(store, now);
  store.queued_mbit += mbit;
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
  if (!store)
    return;
  this->LinkWaitMs(*store, now);
  store->queued_mbit += mbit;
}

void CacheStoreIndex::OnPeerFetched(uint64_t store_hash,
                                    common::Duration excess) {
  Store* store = this->FindByHash(store_hash);
  if (store)
    this->RecordExcess(*store, excess);
}

void CacheStoreIndex::OnFetched(std::string_view address,
                                common::Duration excess) {
  const auto found = this->stores.find(address);
  if (found != this->stores.end())
    this->RecordExcess(found->second, excess);
}

void CacheStoreIndex::RecordExcess(Store& store,
                                   common::Duration excess) const {
  const double ms =
      std::clamp(common::ToMilliseconds(excess), 0.0, kMaxExcessMs);
  ++store.samples;
  store.excess_ms += kExcessSmoothing * (ms - store.excess_ms);
  const bool is_slow =
      this->RelativeExcessMs(store) > kSlowExcessMs && ms > store.excess_ms / 2;
  store.link_share =
      std::clamp(store.link_share * (is_slow ? kSlowFactor : kRecoveryFactor),
                 kMinLinkShare, 1.0);
}

const CacheStoreIndex::Store* CacheStoreIndex::HomeOf(
    std::string_view part) const {
  const Store* best = nullptr;
  double best_score = 0;
  for (const auto& [address, store] : this->stores) {
    // Weighted rendezvous hashing: parts are distributed in proportion to the
    // capacity of the stores.
    const uint64_t hash = common::Hash64(address, common::Hash64(part));
    const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
    const double weight = static_cast<double>(
        std::max<int64_t>(1, store.properties.capacity_tokens));
    const double score = weight / -std::log(unit);
    if (best && score <= best_score)
      continue;
    best = &store;
    best_score = score;
  }
  return best;
}

CacheStoreIndex::Store* CacheStoreIndex::HomeOf(std::string_view part) {
  return const_cast<Store*>(std::as_const(*this).HomeOf(part));
}

bool CacheStoreIndex::TryQueueSave(Store& store,
                                   const std::string& key,
                                   int64_t tokens,
                                   const FetchConditions& conditions,
                                   common::TimePoint now,
                                   ReusePlan& plan) {
  if (!this->AcceptsSaves(store, now) ||
      this->LinkWaitMs(store, now) > kMaxSaveWaitMs)
    return false;
  const double limit =
      kMaxFillShare * static_cast<double>(store.properties.capacity_tokens);
  if (static_cast<double>(store.used_tokens + tokens) > limit)
    return false;
  PendingSave& save = store.pending_saves[key];
  const bool in_progress =
      save.attempts > 0 && now - save.started_at < kSaveTimeout;
  if (in_progress || save.attempts >= kMaxSaveAttempts)
    return false;
  save.started_at = now;
  ++save.attempts;
  this->QueueTransfer(store, tokens, conditions, now, plan);
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
    Store* store =
        part.tokens >= kMinPartTokens ? this->HomeOf(part.id) : nullptr;
    if (!store)
      continue;
    const std::string key = KeyOf(salt, part.id);
    const auto known = store->parts.find(key);
    if (known != store->parts.end()) {
      // The engine does not fetch a part again that it has cached, so naming
      // the store as a source costs nothing.
      const bool is_cached = end <= conditions.cached_tokens;
      const bool is_skipped =
          !this->IsReadable(*store, now) ||
          (!is_cached && conditions.chance >= kProbeShare &&
           !dispatch::IsWorthFetching(
               this->StoredPartOf(*store, part.tokens, conditions, now),
               part.tokens, conditions.engine_zone, conditions.limits));
      if (is_skipped) {
        plan.skipped_tokens += part.tokens;
        continue;
      }
      if (!is_cached) {
        this->QueueTransfer(*store, part.tokens, conditions, now, plan);
        plan.fetched_tokens += part.tokens;
      }
      plan.sources[i] = store->properties.address;
      plan.source_tokens += part.tokens;
      if (!is_cached && part.tokens > main_tokens) {
        main_tokens = part.tokens;
        plan.main_source = store->properties.address;
      }
      continue;
    }
    // The last part is used by this request only, so saving it is of no use.
    const bool is_last = i + 1 == prompt.parts.size();
    if (!is_last)
      plan.absent_tokens += part.tokens;
    if (!is_last &&
        this->TryQueueSave(*store, key, part.tokens, conditions, now, plan))
      plan.targets[i] = store->properties.address;
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
    Store* store = this->HomeOf(part.id);
    if (store && store->parts.contains(KeyOf(salt, part.id)))
      stored_parts[i] =
          this->StoredPartOf(*store, part.tokens, conditions, now);
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
    const auto known = store.parts.find(KeyOf(name.salt, name.part));
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
