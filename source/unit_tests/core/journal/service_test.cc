// Tests several journal services with real fibers and sockets, and stand-ins
// for the platform and the plain service.

#include "core/journal/service.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/host/http2_transport.h"
#include "core/journal/codec.h"
#include "core/platform/client.h"
#include "core/runtime/sleep.h"
#include "core/runtime/wall_timer_service.h"
#include "core/serve/journal_transport.h"
#include "standin/plain_service_standin.h"
#include "standin/platform_standin.h"

namespace jujuberock::journal {
namespace {

using common::Outcome;
using common::ResultCode;
using runtime::Address;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Address kAnyPort{"127.0.0.1", 0};

// A stand-in behind an HTTP server, with its own worker.
template <typename Standin, typename StandinOptions>
struct ServedStandin {
  explicit ServedStandin(StandinOptions options)
      : standin(std::move(options)),
        server(
            pool,
            kAnyPort,
            {},
            [this](const runtime::HttpRequest& request,
                   runtime::ResponseWriter& writer) {
              this->standin.Handle(request, writer);
            },
            runtime::RenderPlainError) {
    this->pool.Run([this] { this->standin.Start(); });
  }

  runtime::WorkerPool pool{1};
  Standin standin;
  runtime::HttpServer server;
};

class Cluster;

// One host of the cluster, without the interface for callers.
struct ClusterHost {
  ClusterHost(Cluster& cluster, const std::string& name);

  common::MetricRegistry counters;
  runtime::HttpClient http;
  platform::Client platform;
  std::unique_ptr<Store> store;
  host::Http2Transport peers;
  serve::JournalTransport transport;
  Service service;
};

class Cluster {
 public:
  explicit Cluster(size_t size, standin::PlatformOptions options = {})
      : platform(std::move(options)) {
    for (size_t i = 0; i < size; ++i)
      this->hosts.push_back(
          std::make_unique<ClusterHost>(*this, "host-" + std::to_string(i)));
    this->live = std::set<size_t>();
    for (size_t i = 0; i < size; ++i)
      this->live.insert(i);
  }

  std::vector<HostId> LiveHostOrder(ShardId) const {
    std::vector<HostId> order;
    for (size_t host : this->live)
      order.push_back("host-" + std::to_string(host));
    return order;
  }

  // Called by workers, also while hosts are being created and destroyed.
  std::optional<Address> Resolve(const std::string& name) const {
    const std::lock_guard lock(this->addresses_mutex);
    const auto found = this->addresses.find(name);
    if (found == this->addresses.end())
      return std::nullopt;
    return found->second;
  }

  void SetAddress(const std::string& name, const Address& address) {
    const std::lock_guard lock(this->addresses_mutex);
    this->addresses[name] = address;
  }

  // Executes one call on one host, as `serve` does. Must run on a worker.
  CallResult Call(size_t host,
                  const std::string& key,
                  const std::string& body,
                  common::Duration timeout = seconds(5)) {
    ClusterHost& entry = *this->hosts[host];
    const common::TimePoint start = this->timers.Now();
    CallRequest request;
    request.key = {"tienda", key};
    request.issued = this->issued;
    request.request_hash = HashRequest("POST", "/pay", body, request.issued);
    request.deadline = this->timers.Now() + timeout;
    return entry.service.Execute(
        request, [&](const BeforeFirstByte& before_first_byte) {
          if (this->on_permit)
            this->on_permit(this->timers.Now() - start);
          runtime::HttpRequest message{"POST", "/pay", {}, body};
          message.headers.Add("Jujuberock-Team", "tienda");
          message.headers.Add("Idempotency-Key", key);
          const runtime::HttpResponse response =
              entry.http.Fetch(this->plain.server.address(), message,
                               {.header_timeout = seconds(5),
                                .read_timeout = seconds(5),
                                .fresh_connection = true,
                                .before_first_byte = before_first_byte});
          ForwardResult result;
          result.answer =
              MakeAnswer(response.status, "application/json", response.body);
          return result;
        });
  }

  std::map<std::string, int> Executions() {
    std::map<std::string, int> counts;
    this->pool.Run([&] {
      runtime::HttpClient http(this->pool, {});
      const auto response = http.Fetch(this->plain.server.address(),
                                       {"GET", "/control/executions", {}, ""});
      counts = nlohmann::json::parse(response.body)
                   .get<std::map<std::string, int>>();
    });
    return counts;
  }

  void SetPlatformFault(const nlohmann::json& fault) {
    this->pool.Run([&] {
      runtime::HttpClient http(this->pool, {});
      http.Fetch(this->platform.server.address(),
                 {"POST", "/control/faults", {}, fault.dump()});
    });
  }

  runtime::WorkerPool pool{3};
  runtime::WallTimerService timers{pool, 0};
  ServedStandin<standin::PlatformStandin, standin::PlatformOptions> platform;
  ServedStandin<standin::PlainServiceStandin, standin::PlainServiceOptions>
      plain{standin::PlainServiceOptions{}};
  const common::UnixTime issued = timers.WallNow();
  // Declared before the hosts, whose fibers use them until they are destroyed.
  std::set<size_t> live;
  mutable std::mutex addresses_mutex;
  std::map<std::string, Address> addresses;
  std::vector<std::unique_ptr<ClusterHost>> hosts;
  // Called with the time that each call waited for its permit.
  std::function<void(common::Duration)> on_permit;
};

host::Http2TransportOptions PeerOptions(const std::string& name) {
  host::Http2TransportOptions options;
  options.name = name;
  options.listen = kAnyPort;
  options.deployment_key = "secret";
  return options;
}

ClusterHost::ClusterHost(Cluster& cluster, const std::string& name)
    : http(cluster.pool, {}),
      platform(http, cluster.platform.server.address(), counters),
      store(MakePlatformStore(platform)),
      peers(cluster.pool,
            cluster.timers,
            counters,
            PeerOptions(name),
            [&cluster](const std::string& host) {
              return cluster.Resolve(host);
            }),
      transport(peers, cluster.timers),
      service(
          Options(),
          name,
          *store,
          transport,
          cluster.timers,
          [&cluster](ShardId shard) { return cluster.LiveHostOrder(shard); },
          counters) {
  for (const char* message : {kPermitMessage, kOutcomeMessage}) {
    this->peers.RegisterHandler(
        message, [handler = this->service.MakeMessageHandler(), message](
                     const std::string&, std::string_view body) {
          return handler(message, body);
        });
  }
  this->peers.Serve();
  cluster.SetAddress(name, this->peers.address());
}

// Guards against a second execution when the same call reaches several hosts
// concurrently, and against answers that belong to another key.
TEST_CASE("calls sent to three hosts at once run once and are replayed") {
  Cluster cluster(3);
  constexpr int kKeys = 40;
  std::atomic<int> failures{0};
  std::atomic<int> answered{0};
  cluster.pool.Run([&] {
    std::atomic<int> done{0};
    for (int i = 0; i < kKeys * 3; ++i) {
      cluster.pool.Spawn([&, i] {
        const std::string key = "pay-" + std::to_string(i / 3);
        const auto result =
            cluster.Call(static_cast<size_t>(i % 3), key, "body " + key);
        answered += result.code == ResultCode::kOk;
        failures += result.code != ResultCode::kOk &&
                    result.code != ResultCode::kCallInProgress;
        ++done;
      });
    }
    while (done < kKeys * 3)
      runtime::SleepFor(milliseconds(1));
    for (int i = 0; i < kKeys; ++i) {
      const std::string key = "pay-" + std::to_string(i);
      const auto result =
          cluster.Call(static_cast<size_t>(i % 3), key, "body " + key);
      const bool correct =
          result.code == ResultCode::kOk && result.replayed &&
          nlohmann::json::parse(result.answer.body).at("key") == key;
      failures += !correct;
    }
  });
  CHECK(failures == 0);
  CHECK(answered >= kKeys);
  const auto executions = cluster.Executions();
  CHECK(executions.size() == kKeys);
  for (const auto& [key, count] : executions)
    CHECK(count == 1);
}

TEST_CASE("a graceful stop passes every answer to the next owner") {
  Cluster cluster(3);
  cluster.pool.Run([&] {
    for (int i = 0; i < 10; ++i)
      CHECK(cluster.Call(0, "pay-" + std::to_string(i), "b").code ==
            ResultCode::kOk);
  });
  // `serve` stops the service on its main thread.
  cluster.hosts[0]->service.Stop(seconds(5));
  cluster.pool.Run([&] {
    CHECK(cluster.Call(0, "late", "b").code == ResultCode::kStopping);
    cluster.live.erase(0);
    for (int i = 0; i < 10; ++i) {
      const auto result = cluster.Call(2, "pay-" + std::to_string(i), "b");
      CHECK(result.code == ResultCode::kOk);
      CHECK(result.replayed);
    }
  });
  CHECK(cluster.Executions().size() == 10);
}

TEST_CASE("a call continues after its owner lost the shard") {
  Cluster cluster(3);
  cluster.pool.Run([&] {
    CHECK(cluster.Call(1, "first", "b").code == ResultCode::kOk);
    // The host order changes, so that host 1 takes the shard over from host 0.
    cluster.live.erase(0);
    CHECK(cluster.Call(2, "second", "b").code == ResultCode::kOk);
    cluster.live.insert(0);
    CHECK(cluster.Call(2, "third", "b").code == ResultCode::kOk);
    CHECK(cluster.Call(0, "second", "b").replayed);
  });
  CHECK(cluster.Executions().size() == 3);
}

// Guards against calls that run while nothing can be recorded, and against
// replays that depend on the platform.
TEST_CASE("an outage refuses new calls as not run and replays old ones") {
  Cluster cluster(2);
  cluster.pool.Run(
      [&] { CHECK(cluster.Call(1, "old", "b").code == ResultCode::kOk); });
  cluster.SetPlatformFault({{"outage_ms", 60'000}});
  cluster.pool.Run([&] {
    const auto refused = cluster.Call(1, "new", "b", milliseconds(300));
    CHECK(refused.code == ResultCode::kJournalUnavailable);
    CHECK(refused.outcome == Outcome::kNotRun);
    const auto replayed = cluster.Call(0, "old", "b", milliseconds(300));
    CHECK(replayed.code == ResultCode::kOk);
    CHECK(replayed.replayed);
    const auto reused = cluster.Call(0, "old", "other", milliseconds(300));
    CHECK(reused.code == ResultCode::kIdempotencyKeyReused);
  });
  cluster.SetPlatformFault({{"outage_ms", 0}});
  cluster.pool.Run(
      [&] { CHECK(cluster.Call(0, "new", "b").code == ResultCode::kOk); });
  CHECK(cluster.Executions().at("tienda/new") == 1);
}

// The platform's replies are lost one at a time while calls run.
TEST_CASE("writes with lost platform replies are resolved by reading back") {
  Cluster cluster(2);
  cluster.pool.Run(
      [&] { CHECK(cluster.Call(0, "first", "b").code == ResultCode::kOk); });
  for (int i = 0; i < 5; ++i) {
    cluster.SetPlatformFault({{"lose_answers", 1}});
    cluster.pool.Run([&] {
      CHECK(cluster.Call(1, "pay-" + std::to_string(i), "b").code ==
            ResultCode::kOk);
    });
  }
  for (const auto& [key, count] : cluster.Executions())
    CHECK(count == 1);
}

TEST_CASE("a refused connection is reported as not run and releases the key") {
  Cluster cluster(2);
  cluster.pool.Run([&] {
    CallRequest request;
    request.key = {"tienda", "pay"};
    request.issued = cluster.issued;
    request.request_hash = HashRequest("POST", "/pay", "b", request.issued);
    request.deadline = cluster.timers.Now() + seconds(5);
    const auto result = cluster.hosts[1]->service.Execute(
        request, [&](const BeforeFirstByte&) -> ForwardResult {
          throw common::Error(ResultCode::kPeerUnavailable, "refused");
        });
    CHECK(result.code == ResultCode::kPeerUnavailable);
    CHECK(result.outcome == Outcome::kNotRun);
    auto again = cluster.Call(1, "pay", "b");
    CHECK(again.code == ResultCode::kOk);
  });
}

// Checks the results of tools/bench-journal with real fibers and sockets.
// Hidden, because the results depend on the load of the machine.
TEST_CASE("added latency and writes on real connections", "[.][load]") {
  for (const int calls_per_second : {10, 100, 1000}) {
    standin::PlatformOptions options;
    options.delay = milliseconds(4);
    Cluster cluster(4, options);
    std::vector<double> waits;
    std::mutex mutex;
    cluster.on_permit = [&](common::Duration wait) {
      const std::lock_guard lock(mutex);
      waits.push_back(common::ToMilliseconds(wait));
    };
    cluster.pool.Run([&] { cluster.Call(0, "warm up", "b"); });
    auto writes = [&] {
      uint64_t total = 0;
      for (const auto& host : cluster.hosts)
        total += host->counters
                     .GetCounter("platform_calls_total", {{"call", "write"}})
                     .value();
      return total;
    };
    std::vector<double> round_trips;
    cluster.pool.Run([&] {
      for (int i = 0; i < 100; ++i) {
        const common::TimePoint start = cluster.timers.Now();
        cluster.hosts[0]->store->Read("absent");
        round_trips.push_back(
            common::ToMilliseconds(cluster.timers.Now() - start));
      }
    });
    std::sort(round_trips.begin(), round_trips.end());
    const double round_trip = round_trips[round_trips.size() / 2];
    const uint64_t before = writes();
    constexpr int kSeconds = 5;
    std::atomic<int> correct{0};
    cluster.pool.Run([&] {
      std::atomic<int> done{0};
      const int calls = calls_per_second * kSeconds;
      const common::TimePoint start = cluster.timers.Now();
      for (int i = 0; i < calls; ++i) {
        const auto due =
            start + common::FromSeconds(double(i) / calls_per_second);
        if (due > cluster.timers.Now())
          runtime::SleepFor(due - cluster.timers.Now());
        cluster.pool.Spawn([&, i] {
          correct += cluster
                         .Call(static_cast<size_t>(i % 4),
                               "pay-" + std::to_string(i), "b")
                         .code == ResultCode::kOk;
          ++done;
        });
      }
      while (done < calls)
        runtime::SleepFor(milliseconds(1));
    });
    const uint64_t written = writes() - before;
    std::sort(waits.begin(), waits.end());
    CHECK(correct == calls_per_second * kSeconds);
    WARN(calls_per_second << " calls/s: one round trip " << round_trip
                          << " ms, median "
                          << waits[waits.size() / 2] / round_trip
                          << " round trips, p99 "
                          << waits[waits.size() * 99 / 100] / round_trip << ", "
                          << written / kSeconds << " platform writes/s");
  }
}

}  // namespace
}  // namespace jujuberock::journal
