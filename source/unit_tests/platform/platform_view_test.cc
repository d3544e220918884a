#include "core/gateway/platform_view.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/events/event_log.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/http_client.h"
#include "core/runtime/http_server.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"
#include "platform/decoder.h"
#include "platform/store_client.h"
#include "unit_tests/core/runtime/connection_silence.h"

namespace jujuberock::platform_adapter {
namespace {

constexpr uint64_t kRevisionBefore = 5;
constexpr uint64_t kRevisionAfter = 6;

class NullSink : public events::Sink {
 public:
  size_t Write(std::string_view bytes) override { return bytes.size(); }
};

// A store that names one weight version. Its open connections can fall silent.
class VersionStore {
 public:
  explicit VersionStore(runtime::WorkerPool& pool)
      : server(
            pool,
            {"127.0.0.1", 0},
            {},
            [this](const auto& request, auto& writer) {
              this->Handle(request, writer);
            },
            runtime::RenderPlainError) {}

  runtime::Address address() const { return this->server.address(); }
  void SilenceOpenConnections() { this->silence.SilenceOpenConnections(); }
  void NameVersion() { this->is_named = true; }
  // Answers all watches at once, so that their fibers can end.
  void EndWatches() {
    this->is_ending = true;
    this->silence.Release();
  }

 private:
  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer) {
    this->silence.OnRequest();
    runtime::HttpResponse response;
    if (request.target.find("watch=") == std::string::npos) {
      // Long enough that simultaneous lists need a connection each.
      runtime::SleepFor(std::chrono::milliseconds(20));
      response.body = R"({"items":[],"more":false,"storeRevision":)" +
                      std::to_string(kRevisionBefore) + "}";
    } else {
      response.body = this->Watch(request.target);
    }
    this->silence.WaitWhileSilent();
    writer.Send(std::move(response));
  }

  std::string Watch(const std::string& target) {
    const size_t wait_at = target.find("waitMs=") + 7;
    const auto end =
        runtime::BootNow() +
        std::chrono::milliseconds(std::stoi(target.substr(wait_at)));
    const bool is_versions = target.find("/versions?") != std::string::npos;
    const bool knows_all =
        target.find("watch=" + std::to_string(kRevisionAfter)) !=
        std::string::npos;
    while (runtime::BootNow() < end && !this->is_ending) {
      if (is_versions && this->is_named && !knows_all)
        return R"({"events":[{"deleted":false,"object":{"metadata":)"
               R"({"name":"m","rev":6},"spec":{"model":"m","version":2}}}],)"
               R"("storeRevision":6})";
      runtime::SleepFor(std::chrono::milliseconds(5));
    }
    return R"({"events":[],"storeRevision":)" +
           std::to_string(knows_all ? kRevisionAfter : kRevisionBefore) + "}";
  }

  std::atomic<bool> is_named{false};
  std::atomic<bool> is_ending{false};
  runtime::ConnectionSilence silence;
  runtime::HttpServer server;
};

// Guards against requests on old weights: a host that waits for one timeout per
// pooled connection of the store learns of a new version after its bound.
TEST_CASE("a version is known in time although all connections fall silent") {
  constexpr size_t kIdleConnections = 8;
  constexpr common::Duration kTestLimit = std::chrono::seconds(20);
  runtime::WorkerPool pool(1);
  VersionStore store(pool);
  common::MetricRegistry counters;
  runtime::HttpClient http(pool, {});
  StoreClient client(http, store.address(), counters);
  const PlatformDecoder decoder;
  NullSink sink;
  events::EventLog log(
      sink, "h", [] { return common::UnixTime(); }, counters);
  const gateway::Settings settings;
  gateway::PlatformView view(settings, client, decoder, log);
  pool.Run([&] {
    size_t listed = 0;
    for (size_t i = 0; i < kIdleConnections; ++i) {
      runtime::SpawnLocal([&] {
        client.List(catalog::ObjectKind::kHosts);
        ++listed;
      });
    }
    while (listed < kIdleConnections)
      runtime::SleepFor(std::chrono::milliseconds(5));
    view.Start();
    runtime::SleepFor(std::chrono::milliseconds(500));
    store.SilenceOpenConnections();
    store.NameVersion();
    const common::TimePoint named_at = runtime::BootNow();
    while (view.NewestVersion("m") == 0 &&
           runtime::BootNow() < named_at + kTestLimit)
      runtime::SleepFor(std::chrono::milliseconds(10));
    CHECK(view.NewestVersion("m") == 2);
    CHECK(common::ToMilliseconds(runtime::BootNow() - named_at) <
          0.8 * common::ToMilliseconds(settings.version_bound));
    view.Stop();
    store.EndWatches();
    // Longer than the backoff after a failed watch.
    runtime::SleepFor(std::chrono::seconds(1));
  });
}

}  // namespace
}  // namespace jujuberock::platform_adapter
