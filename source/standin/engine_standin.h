#ifndef STANDIN_ENGINE_STANDIN_H_
#define STANDIN_ENGINE_STANDIN_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/runtime/http_client.h"
#include "standin/batch_model.h"
#include "standin/fiber_signal.h"
#include "standin/http_json.h"
#include "standin/prefix_cache.h"
#include "standin/silence.h"
#include "standin/standin.h"

namespace jujuberock::standin {

struct EngineOptions {
  std::string model = "model-a";
  std::string version = "v1";
  BatchOptions batch;
  uint64_t capacity_blocks = 64;
  // Size of one block in a store.
  uint64_t kv_bytes_per_block = 256 * 1024;
  uint64_t events_kept = 4096;
  // Age of a cache event before it can be read.
  common::Duration event_delay = std::chrono::milliseconds(200);
  // Time between two samples of the load report.
  common::Duration load_lag = std::chrono::milliseconds(200);
  common::Duration keep_finished = std::chrono::seconds(30);
  common::Duration restore_timeout = std::chrono::seconds(5);
  // Requests waiting for a slot or for blocks above which 503 is answered.
  uint64_t queue_limit = 256;
  bool checks_fence = true;
  std::optional<runtime::Address> weight_store;
  // Addresses of stores by name. A store given as "ip:port" needs no entry.
  std::map<std::string, runtime::Address> stores;
  // A prompt that contains this text ends the process; empty for none.
  std::string crash_marker;
};

// A model engine, section 5.2 of the design. Faults by POST /control/faults
// with any of `silent` (open connections), `leaving`, `drop_events`, `crash`.
class EngineStandin : public Standin {
 public:
  EngineStandin(EngineOptions options, runtime::HttpClient& client);
  // Waits for the background fibers.
  ~EngineStandin() override;

  void Start() override;
  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer) override;

 private:
  struct Block {
    std::string key;
    std::string digest;
    bool recomputed = false;
  };

  // A request from its acceptance until it is forgotten.
  struct Generation {
    std::string id;
    BlockTag tag;
    std::string seed;
    std::vector<Block> blocks;
    uint64_t prompt_tokens = 0;
    uint64_t cached_tokens = 0;
    uint64_t restored_tokens = 0;
    uint64_t produced = 0;
    std::string end_reason;  // empty while it runs
    common::TimePoint ended_at;
    FiberSignal progressed;
  };
  using GenerationPtr = std::shared_ptr<Generation>;
  using StoreByKey = std::map<std::string, std::string>;

  struct Counts {
    uint64_t requests = 0;
    uint64_t refused = 0;
    uint64_t wrong_version = 0;
    uint64_t duplicate_ids = 0;
    uint64_t resumed = 0;
    uint64_t canceled = 0;
    uint64_t finished = 0;
    uint64_t tokens = 0;
    uint64_t prompt_tokens = 0;
    uint64_t cached_tokens = 0;
    uint64_t restored_tokens = 0;
    uint64_t restored_bytes = 0;
    // Restores that failed a check or the exchange.
    uint64_t bad_blocks = 0;
    // Cached blocks whose key matched but whose team or version did not.
    uint64_t foreign_blocks = 0;
    uint64_t exported_blocks = 0;
    uint64_t exported_bytes = 0;
    uint64_t orders = 0;
    uint64_t old_orders = 0;
    uint64_t loads = 0;
  };

  using Route = void (EngineStandin::*)(const runtime::HttpRequest&,
                                        const Target&,
                                        runtime::ResponseWriter&);
  struct RouteEntry {
    const char* method;
    std::vector<std::string> path;  // "*" matches any segment
    Route route;
  };
  static const std::vector<RouteEntry>& Routes();

  void Generate(const runtime::HttpRequest& request,
                const Target& target,
                runtime::ResponseWriter& writer);
  void Resume(const runtime::HttpRequest& request,
              const Target& target,
              runtime::ResponseWriter& writer);
  void Cancel(const runtime::HttpRequest& request,
              const Target& target,
              runtime::ResponseWriter& writer);
  void Export(const runtime::HttpRequest& request,
              const Target& target,
              runtime::ResponseWriter& writer);
  void Events(const runtime::HttpRequest& request,
              const Target& target,
              runtime::ResponseWriter& writer);
  void Load(const runtime::HttpRequest& request,
            const Target& target,
            runtime::ResponseWriter& writer);
  void TakeOrder(const runtime::HttpRequest& request,
                 const Target& target,
                 runtime::ResponseWriter& writer);
  void ShowOrder(const runtime::HttpRequest& request,
                 const Target& target,
                 runtime::ResponseWriter& writer);
  void ShowCounts(const runtime::HttpRequest& request,
                  const Target& target,
                  runtime::ResponseWriter& writer);
  void SetFaults(const runtime::HttpRequest& request,
                 const Target& target,
                 runtime::ResponseWriter& writer);

  GenerationPtr Accept(const nlohmann::json& body);
  void Prepare(Generation& generation,
               const std::string& prompt,
               const StoreByKey& restores);
  bool TakeCached(Generation& generation, Block& block);
  bool Restore(Generation& generation, Block& block, const std::string& store);
  void StreamFrom(const GenerationPtr& generation,
                  uint64_t offset,
                  runtime::ResponseWriter& writer);
  void End(Generation& generation, const std::string& reason);
  void Advance(const BatchProgress& progress);
  bool ExportBlock(const std::string& key,
                   const std::string& team,
                   const runtime::Address& store);
  std::string RenderBlock(const std::string& key,
                          const std::string& digest) const;
  std::optional<runtime::Address> StoreAddress(const std::string& name) const;
  void LoadWeights(const std::string& version);
  nlohmann::json SampleLoad() const;
  void ForgetFinished();
  void SpawnBackground(std::function<void()> body);
  void RunBatch();
  void RunReports();

  EngineOptions options;
  runtime::HttpClient& client;
  BatchModel model;
  PrefixCache cache;
  Silence silence;
  FiberSignal work;
  Counts counts;
  std::map<std::string, GenerationPtr> generations;
  nlohmann::json load_report;
  std::string version;
  std::string loading;
  std::string role;
  uint64_t fence = 0;
  uint64_t preparing = 0;
  bool leaving = false;
  std::atomic<bool> stopping{false};
  std::atomic<int> background{0};
};

}  // namespace jujuberock::standin

#endif  // STANDIN_ENGINE_STANDIN_H_
