#include "core/reuse/store_book.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "core/common/hash.h"
#include "core/reuse/salt.h"

namespace jujuberock::reuse {

namespace {

// A save that was not reported complete by then is tried again.
constexpr common::Duration kSaveTime = std::chrono::milliseconds(2500);
constexpr int kMostSaveTries = 3;
// A store this full takes no more: saves would be lost.
constexpr double kFullShare = 0.97;
constexpr double kExcessWeight = 0.06;
// Requests that a store must have served to be compared with.
constexpr int kLeastSamples = 20;
constexpr double kMostExcessMs = 1500;
// Reads from a slow store that are tried, to see whether it has recovered.
constexpr double kTrialShare = 0.06;
// A store whose requests are later than this delivers less than its link.
constexpr double kSlowExcessMs = 150;
constexpr double kSlowStep = 0.94;
constexpr double kRecoverStep = 1.03;
constexpr double kLeastLinkShare = 0.05;
// Saves wait for fetches.
constexpr double kMostSaveWaitMs = 150;
constexpr common::Duration kQuietMargin = std::chrono::milliseconds(400);
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

void StoreBook::SetAskPeriod(common::Duration period) {
  this->answer_age = std::max(kAnswerAge, period * 5 / 2);
}

common::Duration StoreBook::QuietTime() const {
  return this->answer_age + kReadTime + kQuietMargin;
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
  if (!this->Readable(store, asked_at))
    store.answers_since = now;
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
  return store.answers && now - store.answered_at < this->answer_age &&
         this->clock_offset_ms.has_value();
}

bool StoreBook::Savable(const Store& store, common::TimePoint now) const {
  return this->Readable(store, now) &&
         now - store.epoch_seen_at >= this->QuietTime();
}

double StoreBook::RelativeExcessMs(const Store& store) const {
  double least = store.excess_ms;
  for (const auto& [address, other] : this->stores) {
    if (other.samples >= kLeastSamples)
      least = std::min(least, other.excess_ms);
  }
  return store.excess_ms - least;
}

double StoreBook::WaitMs(Store& store, common::TimePoint now) const {
  const double rate = store.traits.link_mbps * store.link_share;
  if (rate <= 0)
    return 0;
  const double passed = common::ToSeconds(now - store.queued_at);
  store.queued_mbit = std::max(0.0, store.queued_mbit - rate * passed);
  store.queued_at = now;
  return 1000 * store.queued_mbit / rate;
}

dispatch::StoredPart StoreBook::OfferOf(Store& store,
                                        int64_t tokens,
                                        const FetchTerms& terms,
                                        common::TimePoint now) const {
  const double mbit = static_cast<double>(tokens) *
                      static_cast<double>(terms.token_bytes) * 8 / 1e6;
  const double store_mbps = store.traits.link_mbps * store.link_share;
  dispatch::StoredPart part;
  part.readable = this->Readable(store, now);
  part.zone = store.traits.zone;
  part.wait_ms = this->WaitMs(store, now);
  if (terms.engine_link_mbps > 0)
    part.transfer_ms = 1000 * mbit / terms.engine_link_mbps;
  if (store_mbps > 0)
    part.transfer_ms = std::max(part.transfer_ms, 1000 * mbit / store_mbps);
  return part;
}

void StoreBook::BookTransfer(Store& store,
                             int64_t tokens,
                             const FetchTerms& terms,
                             common::TimePoint now,
                             ReusePlan& plan) const {
  double mbit = static_cast<double>(tokens) *
                static_cast<double>(terms.token_bytes) * 8 / 1e6;
  if (store.traits.zone != terms.engine_zone)
    mbit *= dispatch::kCrossZoneTransferFactor;
  this->WaitMs(store, now);
  store.queued_mbit += mbit;
  plan.transfers.push_back({store.traits.address, mbit});
}

StoreBook::Store* StoreBook::FindByHash(uint64_t store_hash) {
  for (auto& [address, store] : this->stores) {
    if (common::Hash64(address) == store_hash)
      return &store;
  }
  return nullptr;
}

void StoreBook::OnPeerTransfer(uint64_t store_hash,
                               double mbit,
                               common::TimePoint now) {
  Store* store = this->FindByHash(store_hash);
  if (!store)
    return;
  this->WaitMs(*store, now);
  store->queued_mbit += mbit;
}

void StoreBook::OnPeerFetched(uint64_t store_hash, common::Duration excess) {
  Store* store = this->FindByHash(store_hash);
  if (store)
    this->NoteExcess(*store, excess);
}

void StoreBook::OnFetched(std::string_view address, common::Duration excess) {
  const auto found = this->stores.find(address);
  if (found != this->stores.end())
    this->NoteExcess(found->second, excess);
}

void StoreBook::NoteExcess(Store& store, common::Duration excess) const {
  const double ms =
      std::clamp(common::ToMilliseconds(excess), 0.0, kMostExcessMs);
  ++store.samples;
  store.excess_ms += kExcessWeight * (ms - store.excess_ms);
  const bool is_slow =
      this->RelativeExcessMs(store) > kSlowExcessMs && ms > store.excess_ms / 2;
  store.link_share =
      std::clamp(store.link_share * (is_slow ? kSlowStep : kRecoverStep),
                 kLeastLinkShare, 1.0);
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
                         const FetchTerms& terms,
                         common::TimePoint now,
                         ReusePlan& plan) {
  if (!this->Savable(store, now) || this->WaitMs(store, now) > kMostSaveWaitMs)
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
  this->BookTransfer(store, tokens, terms, now, plan);
  return true;
}

ReusePlan StoreBook::Plan(std::string_view salt,
                          const dispatch::Prompt& prompt,
                          const FetchTerms& terms,
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
        part.tokens >= kLeastTokens ? this->HomeOf(part.id) : nullptr;
    if (!store)
      continue;
    const std::string key = KeyOf(salt, part.id);
    const auto known = store->parts.find(key);
    if (known != store->parts.end()) {
      // What the engine holds is not fetched again, so naming it costs nothing.
      const bool held = end <= terms.cached_tokens;
      const bool skipped = !this->Readable(*store, now) ||
                           (!held && terms.chance >= kTrialShare &&
                            !dispatch::IsWorthFetching(
                                this->OfferOf(*store, part.tokens, terms, now),
                                part.tokens, terms.engine_zone, terms.limits));
      if (skipped) {
        plan.skipped_tokens += part.tokens;
        continue;
      }
      if (!held) {
        this->BookTransfer(*store, part.tokens, terms, now, plan);
        plan.fetched_tokens += part.tokens;
      }
      plan.sources[i] = store->traits.address;
      plan.source_tokens += part.tokens;
      if (!held && part.tokens > main_tokens) {
        main_tokens = part.tokens;
        plan.main_source = store->traits.address;
      }
      continue;
    }
    // The last part belongs to this request alone.
    const bool is_last = i + 1 == prompt.parts.size();
    if (!is_last)
      plan.absent_tokens += part.tokens;
    if (!is_last && this->BookSave(*store, key, part.tokens, terms, now, plan))
      plan.targets[i] = store->traits.address;
  }
  plan.until_ms =
      this->EndpointClock(now + std::min(terms.read_time, kReadTime));
  return plan;
}

std::vector<dispatch::StoredPart> StoreBook::Offer(
    std::string_view salt,
    const dispatch::Prompt& prompt,
    const FetchTerms& terms,
    common::TimePoint now) {
  std::vector<dispatch::StoredPart> offers(prompt.parts.size());
  for (size_t i = 0; i < prompt.parts.size(); ++i) {
    const dispatch::PromptPart& part = prompt.parts[i];
    Store* store = this->HomeOf(part.id);
    if (store && store->parts.contains(KeyOf(salt, part.id)))
      offers[i] = this->OfferOf(*store, part.tokens, terms, now);
  }
  return offers;
}

std::vector<std::string> StoreBook::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, store] : this->stores)
    addresses.push_back(address);
  return addresses;
}

std::vector<StoredPartName> StoreBook::OutdatedParts(
    std::string_view address,
    std::string_view model,
    uint64_t oldest,
    size_t limit,
    common::Duration answered_for,
    common::TimePoint now) const {
  std::vector<StoredPartName> outdated;
  const auto found = this->stores.find(address);
  if (found == this->stores.end() || !this->Readable(found->second, now) ||
      now - found->second.answers_since < answered_for)
    return outdated;
  for (const auto& [key, tokens] : found->second.parts) {
    if (outdated.size() >= limit)
      break;
    // Ids of parts have no slash.
    const size_t slash = key.rfind('/');
    const std::string_view text = std::string_view(key).substr(0, slash);
    const auto salt = ParseSalt(text);
    if (salt && salt->model == model && salt->version < oldest)
      outdated.push_back({std::string(text), key.substr(slash + 1)});
  }
  return outdated;
}

void StoreBook::OnFreed(std::string_view address,
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

uint64_t StoreBook::EpochOf(std::string_view address) const {
  const auto found = this->stores.find(address);
  return found == this->stores.end() ? 0 : found->second.epoch;
}

std::optional<uint64_t> StoreBook::EndpointClock(common::TimePoint time) const {
  if (!this->clock_offset_ms)
    return std::nullopt;
  return static_cast<uint64_t>(Milliseconds(time) + *this->clock_offset_ms);
}

size_t StoreBook::known_parts() const {
  size_t count = 0;
  for (const auto& [address, store] : this->stores)
    count += store.parts.size();
  return count;
}

}  // namespace jujuberock::reuse
