#include "core/load/deployment.h"

namespace jujuberock::load {

namespace {

using std::chrono::milliseconds;

// An 8-bit cache of 32 KB per token, and a link of 25 Gbit/s: a block takes 20
// ms on the link and 200 ms of prefill.
constexpr uint64_t kCacheBlockBytes = 64'000'000;
constexpr double kLinkBytesPerSecond = 3.2e9;
constexpr double kBudgetShare = 0.8;

// Gaps between turns are shorter than in the real deployments, and caches and
// the number of conversations are scaled down by the same factor, so that a run
// of some minutes shows the relevant effect: most callers return after their
// blocks have been evicted from the engines' caches.
EngineParameters CommonEngine() {
  EngineParameters engine;
  engine.slots = 16;
  engine.prefill_tokens_per_s = 10'000;
  engine.decode_ms = 20;
  engine.batch_slowdown = 0.03;
  engine.load_lag = milliseconds(200);
  engine.event_lag = milliseconds(400);
  engine.event_log = 256;
  return engine;
}

StoreParameters CommonStore() {
  StoreParameters store;
  store.block_bytes = kCacheBlockBytes;
  store.link_bytes_per_s = kLinkBytesPerSecond;
  store.budget_share = kBudgetShare;
  return store;
}

}  // namespace

Deployment Koperasi() {
  Deployment d;
  d.name = "koperasi";
  d.zones = {"kuantan", "klang", "kuala-terengganu"};
  d.host_zones = {0, 0, 1, 2};
  d.engine_count = 12;
  d.stores = {"ingatan-a", "ingatan-b"};
  d.engine = CommonEngine();
  d.engine.cache_blocks = 160;
  d.store = CommonStore();
  d.store.capacity_blocks = 12'000;
  d.patience = milliseconds(4000);
  WorkloadParameters& w = d.workload;
  w.teams = 10;
  w.team_skew = 0.8;
  w.shared_prefixes_per_team = 4;
  w.min_shared_blocks = 10;
  w.max_shared_blocks = 30;
  w.first_blocks = 2;
  w.blocks_per_turn = 0.5;
  w.mean_turns = 8;
  w.mean_gap_seconds = 120;
  w.min_gap_seconds = 10;
  w.mean_output_tokens = 150;
  w.turns_per_second = 5;
  w.rate_factors = {0.8, 1.0, 1.2, 1.0};
  return d;
}

Deployment Canelones() {
  Deployment d;
  d.name = "canelones";
  d.zones = {"santa-lucia", "sauce", "tala"};
  d.host_zones = {0, 0, 1, 2};
  d.engine_count = 18;
  d.stores = {"memoria-a", "memoria-b"};
  d.engine = CommonEngine();
  d.engine.cache_blocks = 60;
  d.store = CommonStore();
  d.store.capacity_blocks = 12'000;
  d.patience = milliseconds(1500);
  WorkloadParameters& w = d.workload;
  w.teams = 10;
  w.team_skew = 1.2;
  w.first_blocks = 1;
  w.blocks_per_turn = 0.6;
  w.mean_turns = 10;
  w.mean_gap_seconds = 120;
  w.min_gap_seconds = 10;
  w.mean_output_tokens = 120;
  w.turns_per_second = 10;
  w.rate_factors = {0.4, 1.0, 1.6, 0.6};
  return d;
}

}  // namespace jujuberock::load
