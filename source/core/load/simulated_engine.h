#ifndef CORE_LOAD_SIMULATED_ENGINE_H_
#define CORE_LOAD_SIMULATED_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/load/block_cache.h"
#include "core/load/event_queue.h"
#include "core/load/simulated_store.h"

namespace jujuberock::load {

struct EngineParameters {
  uint32_t slots = 0;
  double prefill_tokens_per_s = 0;
  // Milliseconds per token at batch size 1; a batch of n takes decode_ms * (1 +
  // batch_slowdown * (n - 1)).
  double decode_ms = 0;
  double batch_slowdown = 0;
  size_t cache_blocks = 0;
  // Age of the newest load report and of the newest cache event that a poll can
  // see.
  common::Duration load_lag{0};
  common::Duration event_lag{0};
  // Number of cache events kept for pollers.
  size_t event_log = 0;
};

// Counts prefilled blocks over all engines of a run.
struct PrefillCounts {
  // Every block that was ever prefilled, to tell recomputation from first
  // computation.
  std::unordered_set<routing::BlockKey, routing::BlockKeyHash> prefilled;
  // Incremented only while `enabled`.
  bool enabled = false;
  uint64_t returning_blocks = 0;
  uint64_t recomputed_blocks = 0;
  uint64_t restored_blocks = 0;
};

struct EngineRequest {
  std::vector<routing::BlockKey> keys;
  uint64_t prompt_tokens = 0;
  uint64_t output_tokens = 0;
  std::vector<routing::Restore> restores;
  std::function<void(uint64_t cached_tokens, uint64_t restored_tokens)>
      on_first_token;
  // Called with false if the engine crashed.
  std::function<void(bool)> on_done;
};

// A simulated engine: a batch with a fixed number of slots, one prefill at a
// time in order of readiness, and a bounded prefix cache. Restores begin when
// the request arrives.
class SimulatedEngine {
 public:
  // `stores` are the stores by name; they outlive the engine.
  SimulatedEngine(std::string name,
                  EngineParameters parameters,
                  common::Duration clock_offset,
                  std::map<std::string, SimulatedStore*> stores,
                  PrefillCounts& counts,
                  EventQueue& queue);

  void Submit(EngineRequest request);
  // Copies the blocks that the engine still holds to a store.
  void ExportBlocks(const std::vector<routing::BlockKey>& keys,
                    SimulatedStore& store);
  // Fails all requests; the engine is down until Restart().
  void Crash();
  void Restart() { this->is_down = false; }
  bool down() const { return this->is_down; }
  void SetLeaving(bool leaving) { this->leaving = leaving; }

  // The newest report that a poll can see.
  const routing::LoadReport& report() const { return this->visible_report; }
  BlockCache::EventRange EventsSince(uint64_t since) const;
  const std::string& name() const { return this->engine_name; }

  BlockCache cache;

 private:
  struct Job {
    EngineRequest request;
    uint64_t estimated_tokens = 0;
    size_t pending_restores = 0;
    std::unordered_set<routing::BlockKey, routing::BlockKeyHash> restored;
    bool has_slot = false;
    bool first_token = false;
    bool ended = false;
  };
  using JobPointer = std::shared_ptr<Job>;

  void AssignSlots();
  void ReadyForPrefill(const JobPointer& job);
  void StartPrefill();
  void FinishPrefill(const JobPointer& job, uint64_t cached, uint64_t restored);
  void Finish(const JobPointer& job);
  void CountPrefill(const Job& job, uint32_t cached, uint32_t restored);
  void UpdateReport();

  std::string engine_name;
  EngineParameters parameters;
  common::Duration clock_offset;
  std::map<std::string, SimulatedStore*> stores;
  PrefillCounts& counts;
  EventQueue& queue;

  bool is_down = false;
  bool leaving = false;
  uint32_t running = 0;
  std::vector<JobPointer> jobs;
  std::deque<JobPointer> waiting;
  std::deque<JobPointer> ready;
  JobPointer prefilling;
  common::TimePoint prefill_end;
  routing::LoadReport visible_report;
};

}  // namespace jujuberock::load

#endif  // CORE_LOAD_SIMULATED_ENGINE_H_
