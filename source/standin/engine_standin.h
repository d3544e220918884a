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
#include "standin/batch_scheduler.h"
#include "standin/connection_stall.h"
#include "standin/fiber_signal.h"
#include "standin/http_json.h"
#include "standin/prefix_cache.h"
#include "standin/standin.h"

namespace jujuberock::standin {

struct EngineOptions {
  std::string model = "model-a";
  std::string version = "v1";
  BatchOptions batch;
  uint64_t capacity_blocks = 64;
  // Size of one exported KV block.
  uint64_t kv_bytes_per_block = 256 * 1024;
  uint64_t events_kept = 4096;
  // Delay before a cache event becomes visible to readers.
  common::Duration event_delay = std::chrono::milliseconds(200);
  // Interval at which the load report is refreshed.
  common::Duration load_lag = std::chrono::milliseconds(200);
  // How long a finished request can still be resumed.
  common::Duration finished_retention = std::chrono::seconds(30);
  common::Duration restore_timeout = std::chrono::seconds(5);
  // Maximum number of requests that wait for a batch slot or for blocks.
  // Further requests get a 503 response.
  uint64_t queue_limit = 256;
  // Whether orders with an outdated fencing token are refused.
  bool checks_fence = true;
  std::optional<runtime::Address> weight_store;
  // Addresses of cache stores by name. A store named "ip:port" needs no entry.
  std::map<std::string, runtime::Address> stores;
  // The process crashes on a prompt that contains this text. Empty to disable.
  std::string crash_marker;
};

// Simulates a model engine, section 5.2 of the design. POST /control/faults
// injects faults with any of `silent` (stalls all open connections), `release`
// (closes the stalled connections), `leaving`, `drop_events` and `crash`.
class EngineStandin : public Standin {
 public:
  EngineStandin(EngineOptions options, runtime::HttpClient& client);
  // Stops the background fibers and waits for them.
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

  // A request from its acceptance until `finished_retention` after its end.
  struct RequestState {
    std::string id;
    BlockTag tag;
    std::string seed;
    std::vector<Block> blocks;
    uint64_t prompt_tokens = 0;
    uint64_t cached_tokens = 0;
    uint64_t restored_tokens = 0;
    uint64_t generated_tokens = 0;
    std::string finish_reason;  // empty while the request runs
    common::TimePoint finished_at;
    FiberSignal progress_signal;
  };
  using RequestStatePtr = std::shared_ptr<RequestState>;
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
    // Restores that failed because of a transfer error or an invalid block.
    uint64_t bad_blocks = 0;
    // Cached blocks with a matching key but another team or version.
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
  void ReportLoad(const runtime::HttpRequest& request,
                  const Target& target,
                  runtime::ResponseWriter& writer);
  void ApplyOrder(const runtime::HttpRequest& request,
                  const Target& target,
                  runtime::ResponseWriter& writer);
  void ReportOrderState(const runtime::HttpRequest& request,
                        const Target& target,
                        runtime::ResponseWriter& writer);
  void ReportCounts(const runtime::HttpRequest& request,
                    const Target& target,
                    runtime::ResponseWriter& writer);
  void SetFaults(const runtime::HttpRequest& request,
                 const Target& target,
                 runtime::ResponseWriter& writer);

  RequestStatePtr Accept(const nlohmann::json& body);
  void ResolveBlocks(RequestState& state,
                     const std::string& prompt,
                     const StoreByKey& restores);
  bool UseCachedBlock(RequestState& state, Block& block);
  bool RestoreBlock(RequestState& state,
                    Block& block,
                    const std::string& store);
  void StreamEvents(const RequestStatePtr& state,
                    uint64_t offset,
                    runtime::ResponseWriter& writer);
  void Finish(RequestState& state, const std::string& reason);
  void ApplyProgress(const BatchProgress& progress);
  bool ExportBlock(const std::string& key,
                   const std::string& team,
                   const runtime::Address& store);
  std::string SerializeBlock(const std::string& key,
                             const std::string& digest) const;
  std::optional<runtime::Address> StoreAddress(const std::string& name) const;
  void LoadWeights(const std::string& version);
  nlohmann::json SampleLoad() const;
  void PurgeFinishedRequests();
  void SpawnBackground(std::function<void()> body);
  void RunBatchLoop();
  void RunLoadReporter();

  EngineOptions options;
  runtime::HttpClient& client;
  BatchScheduler scheduler;
  PrefixCache cache;
  ConnectionStall connection_stall;
  FiberSignal work_signal;
  Counts counts;
  std::map<std::string, RequestStatePtr> request_states;
  nlohmann::json load_report;
  std::string version;
  std::string loading_version;
  std::string role;
  uint64_t fence = 0;
  uint64_t resolving_requests = 0;
  bool leaving = false;
  std::atomic<bool> stopping{false};
  std::atomic<int> background_fibers{0};
};

}  // namespace jujuberock::standin

#endif  // STANDIN_ENGINE_STANDIN_H_
