#include <gflags/gflags.h>
#include <glog/logging.h>
#include <pthread.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>

#include "core/common/error.h"
#include "core/runtime/http_client.h"
#include "core/runtime/http_server.h"
#include "core/runtime/worker_pool.h"
#include "standin/cache_store_standin.h"
#include "standin/engine_standin.h"
#include "standin/plain_service_standin.h"
#include "standin/platform_standin.h"
#include "standin/weight_store_standin.h"

DEFINE_string(listen,
              "127.0.0.1:0",
              "listen address; port 0 picks a free port");
DEFINE_double(writes_per_s, 400, "platform: write limit, 0 means unlimited");
DEFINE_double(reads_per_s, 2000, "platform: read limit, 0 means unlimited");
DEFINE_int32(delay_ms, -1, "platform, plain-service: delay of each call");
DEFINE_string(objects, "", "platform: JSON file with the initial objects");
DEFINE_string(execution_log, "", "plain-service: log file of executions");
DEFINE_string(crash_marker,
              "",
              "engine, plain-service: text that triggers a crash");
DEFINE_bool(offers_status, true, "plain-service: serve status calls");
DEFINE_uint64(memory_bytes, 64 << 20, "cache-store: size of the memory tier");
DEFINE_uint64(disk_bytes, 256 << 20, "cache-store: size of the disk tier");
DEFINE_uint64(bytes_per_body_byte,
              1,
              "cache-store: simulated bytes per body byte");
DEFINE_double(link_bytes_per_s,
              100e6,
              "cache-store: bandwidth in each direction");
DEFINE_int32(disk_latency_ms, 5, "cache-store: latency of the disk tier");
DEFINE_int32(load_ms, 500, "weight-store: duration of one load");
DEFINE_uint64(loads_at_once, 3, "weight-store: loads at full speed");
DEFINE_string(model, "model-a", "engine: model name");
DEFINE_string(weights_version, "v1", "engine: initial weight version");
DEFINE_uint64(slots, 8, "engine: maximum requests in a batch");
DEFINE_double(prefill_tokens_per_s, 40000, "engine: prefill throughput");
DEFINE_uint64(prefill_chunk_tokens,
              2000,
              "engine: maximum prompt tokens in a step");
DEFINE_double(decode_ms, 5, "engine: duration of a decode step");
DEFINE_double(decode_ms_per_request,
              0.2,
              "engine: added per additional request");
DEFINE_uint64(capacity_blocks, 64, "engine: blocks in the prefix cache");
DEFINE_uint64(kv_bytes_per_block,
              256 << 10,
              "engine: size of an exported block");
DEFINE_uint64(events_kept, 4096, "engine: number of retained cache events");
DEFINE_int32(event_delay_ms,
             200,
             "engine: delay until cache events are visible");
DEFINE_int32(load_lag_ms, 200, "engine: refresh interval of load reports");
DEFINE_int32(keep_finished_ms,
             30000,
             "engine: time that finished requests can be resumed");
DEFINE_int32(restore_timeout_ms, 5000, "engine: read timeout of a restore");
DEFINE_uint64(queue_limit,
              256,
              "engine: waiting requests, above which 503 is sent");
DEFINE_bool(checks_fence,
            true,
            "engine: refuse orders with an old fencing token");
DEFINE_string(weight_store, "", "engine: address of the weight store");
DEFINE_string(stores, "", "engine: NAME=ADDRESS,... of cache stores");

namespace jujuberock::standin {
namespace {

using common::Error;
using common::ResultCode;
using runtime::Address;
using std::chrono::milliseconds;

constexpr size_t kMaxBodyBytes = 64 * 1024 * 1024;

Address ParseAddress(const std::string& text) {
  const std::optional<Address> address = Address::Parse(text);
  if (!address)
    throw Error(ResultCode::kUsage, "invalid address: " + text);
  return *address;
}

std::map<std::string, Address> ParseStores(const std::string& text) {
  std::map<std::string, Address> stores;
  std::istringstream items(text);
  std::string item;
  while (std::getline(items, item, ',')) {
    const size_t equals = item.find('=');
    if (equals == std::string::npos)
      throw Error(ResultCode::kUsage, "expected NAME=ADDRESS: " + item);
    stores[item.substr(0, equals)] = ParseAddress(item.substr(equals + 1));
  }
  return stores;
}

std::unique_ptr<Standin> MakePlatform(runtime::HttpClient&) {
  PlatformOptions options;
  options.writes_per_s = FLAGS_writes_per_s;
  options.reads_per_s = FLAGS_reads_per_s;
  if (FLAGS_delay_ms >= 0)
    options.delay = milliseconds(FLAGS_delay_ms);
  options.objects_file = FLAGS_objects;
  return std::make_unique<PlatformStandin>(options);
}

std::unique_ptr<Standin> MakeEngine(runtime::HttpClient& client) {
  EngineOptions options;
  options.model = FLAGS_model;
  options.version = FLAGS_weights_version;
  options.batch = {FLAGS_slots, FLAGS_prefill_tokens_per_s,
                   FLAGS_prefill_chunk_tokens, FLAGS_decode_ms,
                   FLAGS_decode_ms_per_request};
  options.capacity_blocks = FLAGS_capacity_blocks;
  options.kv_bytes_per_block = FLAGS_kv_bytes_per_block;
  options.events_kept = FLAGS_events_kept;
  options.event_delay = milliseconds(FLAGS_event_delay_ms);
  options.load_lag = milliseconds(FLAGS_load_lag_ms);
  options.finished_retention = milliseconds(FLAGS_keep_finished_ms);
  options.restore_timeout = milliseconds(FLAGS_restore_timeout_ms);
  options.queue_limit = FLAGS_queue_limit;
  options.checks_fence = FLAGS_checks_fence;
  if (!FLAGS_weight_store.empty())
    options.weight_store = ParseAddress(FLAGS_weight_store);
  options.stores = ParseStores(FLAGS_stores);
  options.crash_marker = FLAGS_crash_marker;
  return std::make_unique<EngineStandin>(std::move(options), client);
}

std::unique_ptr<Standin> MakePlainService(runtime::HttpClient&) {
  PlainServiceOptions options;
  if (FLAGS_delay_ms >= 0)
    options.delay = milliseconds(FLAGS_delay_ms);
  options.execution_log = FLAGS_execution_log;
  options.crash_marker = FLAGS_crash_marker;
  options.offers_status = FLAGS_offers_status;
  return std::make_unique<PlainServiceStandin>(std::move(options));
}

std::unique_ptr<Standin> MakeCacheStore(runtime::HttpClient&) {
  CacheStoreOptions options;
  options.tiers = {FLAGS_memory_bytes, FLAGS_disk_bytes,
                   FLAGS_bytes_per_body_byte};
  options.link_bytes_per_s = FLAGS_link_bytes_per_s;
  options.disk_latency = milliseconds(FLAGS_disk_latency_ms);
  return std::make_unique<CacheStoreStandin>(options);
}

std::unique_ptr<Standin> MakeWeightStore(runtime::HttpClient&) {
  return std::make_unique<WeightStoreStandin>(
      WeightStoreOptions{milliseconds(FLAGS_load_ms), FLAGS_loads_at_once});
}

using StandinFactory = std::unique_ptr<Standin> (*)(runtime::HttpClient&);

const std::map<std::string, StandinFactory>& Factories() {
  static const std::map<std::string, StandinFactory> kFactories = {
      {"platform", MakePlatform},          {"engine", MakeEngine},
      {"plain-service", MakePlainService}, {"cache-store", MakeCacheStore},
      {"weight-store", MakeWeightStore},
  };
  return kFactories;
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

// Serves until SIGINT or SIGTERM.
void Serve(StandinFactory factory) {
  // Blocked before the worker threads start, so that they inherit the mask and
  // only sigwait() receives the signals.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  runtime::WorkerPool pool(1);
  runtime::HttpClient client(pool, {});
  const std::unique_ptr<Standin> standin = factory(client);
  pool.Run([&] { standin->Start(); });
  runtime::HttpServerOptions options;
  options.body_limit_bytes = kMaxBodyBytes;
  runtime::HttpServer server(
      pool, ParseAddress(FLAGS_listen), options,
      [&](const runtime::HttpRequest& request,
          runtime::ResponseWriter& writer) {
        standin->Handle(request, writer);
      },
      runtime::RenderPlainError);
  std::cout << "listening " << server.address().ToString() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  // Exits without a graceful shutdown: requests in progress are aborted, as in
  // a crash.
  std::_Exit(0);
}

int Main(int argc, char** argv) {
  const auto entry = argc == 2 ? Factories().find(argv[1]) : Factories().end();
  if (entry == Factories().end()) {
    std::cerr << "usage: jujuberock_standin "
                 "platform|engine|plain-service|cache-store|weight-store\n";
    return 2;
  }
  try {
    Serve(entry->second);
  } catch (const std::exception& error) {
    std::cerr << "jujuberock_standin: " << error.what() << "\n";
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace jujuberock::standin

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujuberock::standin::Main(argc, argv);
}
