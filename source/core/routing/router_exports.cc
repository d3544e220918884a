#include <algorithm>

#include "core/common/hash.h"
#include "core/routing/router.h"

namespace jujuberock::routing {

namespace {

// An export not confirmed within this time is overdue. Exports are confirmed by
// the store's events, which arrive with its reports, once or twice per second.
constexpr common::Duration kExportOverdue = std::chrono::seconds(2);

}  // namespace

std::vector<Export> Router::TakeExports(common::TimePoint now) {
  std::vector<Export> exports;
  this->ExpireExports(now);
  std::stable_partition(
      this->pending_exports.begin(), this->pending_exports.end(),
      [&](const PendingExport& p) { return this->NearEviction(p.endpoint); });
  while (!this->pending_exports.empty()) {
    if (!this->TakeExport(this->pending_exports.front(), exports, now))
      break;
    this->pending_exports.pop_front();
  }
  return exports;
}

// Returns false if some block has to wait because no store can accept it now.
bool Router::TakeExport(const PendingExport& pending,
                        std::vector<Export>& exports,
                        common::TimePoint now) {
  std::map<HolderId, Export> by_store;
  bool complete = true;
  for (const BlockKey& key : pending.keys) {
    if (this->index.HeldByStore(key) || this->sent_exports.contains(key))
      continue;
    Store* store = this->StoreForExport(key, now);
    if (!store) {
      complete = false;
      break;
    }
    const HolderId holder = this->holder_ids.find(store->name)->second;
    Export& target = by_store[holder];
    if (target.keys.empty()) {
      target.endpoint = this->holders[pending.endpoint].name;
      target.store = store->name;
      target.team = pending.team;
    }
    target.keys.push_back(key);
    store->write.Charge(this->settings.block_bytes, now);
    if (store->unconfirmed++ == 0)
      store->unconfirmed_since = now;
    this->sent_exports[key] = {holder, now};
    if (target.keys.size() >= this->settings.max_export_blocks) {
      exports.push_back(std::move(target));
      by_store.erase(holder);
    }
  }
  for (auto& [holder, target] : by_store)
    exports.push_back(std::move(target));
  return complete;
}

// All hosts select the same store for a block while both stores are available,
// so that shared blocks are rarely exported twice.
Router::Store* Router::StoreForExport(const BlockKey& key,
                                      common::TimePoint now) {
  Store* best = nullptr;
  uint64_t best_rank = 0;
  for (const auto& [name, store] : this->stores) {
    if (store->blocked_until > now || !store->write.CanStart(now))
      continue;
    const uint64_t rank = common::Hash64(name, key.high);
    if (!best || rank > best_rank) {
      best = store.get();
      best_rank = rank;
    }
  }
  return best;
}

bool Router::NearEviction(HolderId holder) const {
  const Endpoint* endpoint = this->holders[holder].endpoint;
  if (!endpoint || !endpoint->load.report())
    return false;
  const LoadReport& report = *endpoint->load.report();
  return static_cast<double>(report.kv_used_blocks) >=
         this->settings.near_eviction_share *
             static_cast<double>(report.kv_capacity_blocks);
}

bool Router::ExportsOverdue(const Store& store, common::TimePoint now) const {
  size_t overdue = 0;
  for (const auto& [key, sent] : this->sent_exports) {
    const bool same = this->holders[sent.store].store == &store;
    if (same && now - sent.at > kExportOverdue)
      ++overdue;
  }
  return 2 * overdue > store.unconfirmed;
}

void Router::ConfirmExport(const BlockKey& key, HolderId holder) {
  auto found = this->sent_exports.find(key);
  if (found == this->sent_exports.end() || found->second.store != holder)
    return;
  Store& store = *this->holders[holder].store;
  --store.unconfirmed;
  store.unconfirmed_since = found->second.at;
  this->sent_exports.erase(found);
}

void Router::ExpireExports(common::TimePoint now) {
  const common::Duration limit = this->settings.export_confirm_limit;
  std::erase_if(this->sent_exports, [&](const auto& item) {
    if (now - item.second.at <= limit)
      return false;
    Store& store = *this->holders[item.second.store].store;
    --store.unconfirmed;
    // If others were confirmed since this one was sent, only this export
    // failed.
    if (store.unconfirmed_since <= item.second.at)
      store.blocked_until = now + limit;
    return true;
  });
}

}  // namespace jujuberock::routing
