#include "core/membership/service.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/runtime/http_client.h"
#include "core/runtime/http_server.h"
#include "core/runtime/wall_timer_service.h"
#include "standin/platform_standin.h"

namespace jujuberock::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const runtime::Address kAnyPort{"127.0.0.1", 0};

std::string TeamBody(int patience_ms) {
  return R"({"keys":[],"bands":[{"from":"00:00","to":"24:00","weight":1,)"
         R"("max_running":8,"patience_ms":)" +
         std::to_string(patience_ms) + "}]}";
}

// Runs the platform stand-in on a port of its own.
struct Platform {
  Platform()
      : server(
            this->pool,
            kAnyPort,
            {},
            [this](const auto& request, auto& writer) {
              this->standin.Handle(request, writer);
            },
            runtime::RenderPlainError),
        http(this->pool, {}),
        client(this->http, this->server.address(), this->counters) {}

  platform::Version Write(const std::string& kind,
                          const std::string& name,
                          platform::Version expected,
                          const std::string& body) {
    platform::WriteResult result;
    this->pool.Run([&] {
      result = this->client.Write(kind, name, expected, body, "test");
    });
    REQUIRE(result.state == platform::WriteState::kWritten);
    return result.version;
  }
  // Writes an object with any text as its body.
  void WriteText(const std::string& kind,
                 const std::string& name,
                 const std::string& body) {
    this->pool.Run([&] {
      this->http.Fetch(
          this->server.address(),
          {"PUT", "/control/objects/" + kind + "/" + name, {}, body});
    });
  }
  void Fault(const std::string& fault) {
    this->pool.Run([&] {
      this->http.Fetch(this->server.address(),
                       {"POST", "/control/faults", {}, fault});
    });
  }

  runtime::WorkerPool pool{1};
  standin::PlatformStandin standin{{}};
  runtime::HttpServer server;
  runtime::HttpClient http;
  common::MetricRegistry counters;
  platform::Client client;
};

// The components of one host that deal with configuration and membership.
struct TestHost {
  TestHost(const std::string& name,
           const std::string& zone,
           const runtime::Address& platform_address,
           uint64_t incarnation)
      : http(this->pool, {}),
        client(this->http, platform_address, this->counters),
        transport(this->pool,
                  this->timers,
                  this->counters,
                  TransportOptions(name),
                  [this](const std::string& host) {
                    return ResolverOf(*this->coordinator)(host);
                  }),
        coordinator(this->MakeCoordinator(name, zone, incarnation)),
        service(*this->coordinator,
                this->transport,
                this->client,
                this->pool,
                this->timers,
                this->counters) {}

  Coordinator* MakeCoordinator(const std::string& name,
                               const std::string& zone,
                               uint64_t incarnation) {
    const HostInfo self{name, zone, this->transport.address().ToString(),
                        incarnation, HostState::kAlive};
    this->owned = std::make_unique<Coordinator>(
        this->table, self, CoordinatorOptions{}, incarnation);
    return this->owned.get();
  }

  static host::Http2TransportOptions TransportOptions(const std::string& name) {
    host::Http2TransportOptions options;
    options.name = name;
    options.listen = kAnyPort;
    options.deployment_key = "a key of this deployment";
    return options;
  }

  void Start() {
    this->transport.Serve();
    this->service.Start();
  }

  // Bytes on the sockets between hosts, how many of them are message bodies,
  // and the number of messages.
  struct Traffic {
    uint64_t wire = 0;
    uint64_t bodies = 0;
    uint64_t messages = 0;
  };
  void AddTraffic(Traffic* traffic) {
    for (const char* direction : {"sent", "received"}) {
      const auto total = [&](const char* name, auto... labels) {
        return this->counters
            .GetCounter(name, {{"direction", direction}, labels...})
            .value();
      };
      traffic->wire += total("host_wire_bytes_total");
      for (const char* message :
           {"probe", "indirect_probe", "table_digest", "table_delta"}) {
        const common::Label label{"message", message};
        traffic->bodies += total("host_message_bytes_total", label);
        traffic->messages += total("host_messages_total", label);
      }
    }
  }

  runtime::WorkerPool pool{2};
  runtime::WallTimerService timers{pool, 0};
  common::MetricRegistry counters;
  runtime::HttpClient http;
  platform::Client client;
  table::SharedView table;
  // Outlives the transport, which resolves host names with it, but is created
  // after the transport, when the kernel has chosen the port.
  std::unique_ptr<Coordinator> owned;
  host::Http2Transport transport;
  Coordinator* coordinator;
  membership::Service service;
};

// Waits in real time, since the messages travel over real sockets.
bool WaitFor(const std::function<bool()>& done, common::Duration limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

struct Deployment {
  // Four hosts in three zones.
  Deployment() {
    const std::vector<std::string> zones = {"z1", "z1", "z2", "z3"};
    for (size_t i = 0; i < zones.size(); ++i) {
      const std::string name = "host" + std::to_string(i);
      this->hosts.push_back(std::make_unique<TestHost>(
          name, zones[i], this->platform.server.address(), 1000 + i));
      const std::string address =
          this->hosts.back()->transport.address().ToString();
      this->platform.Write("host", name, 0,
                           R"({"zone":")" + zones[i] + R"(","address":")" +
                               address + R"(","state":"live"})");
    }
    this->version = this->platform.Write("team", "a", 0, TeamBody(100));
    for (auto& host : this->hosts)
      host->Start();
  }

  ~Deployment() {
    // Lets the watches of the stand-in notice that their connections are
    // closed.
    this->platform.Fault(R"({"silent_watches": false})");
  }

  bool AllReady() {
    for (auto& host : this->hosts) {
      if (!host->coordinator->ready())
        return false;
    }
    return true;
  }
  bool AllHave(platform::Version wanted) {
    for (auto& host : this->hosts) {
      const auto* team = host->table.Current()->FindTeam("a");
      if (!team || team->version != wanted)
        return false;
    }
    return true;
  }

  Platform platform;
  platform::Version version = 0;
  std::vector<std::unique_ptr<TestHost>> hosts;
};

// Runs coordinators over real sockets, HTTP/2 and the platform stand-in.
TEST_CASE("changes reach every host over the real transport") {
  Deployment deployment;
  REQUIRE(WaitFor([&] { return deployment.AllReady(); }, seconds(5)));
  TestHost::Traffic before;
  for (auto& host : deployment.hosts)
    host->AddTraffic(&before);
  const auto begin = std::chrono::steady_clock::now();
  const auto changed =
      deployment.platform.Write("team", "a", deployment.version, TeamBody(200));
  REQUIRE(WaitFor([&] { return deployment.AllHave(changed); }, seconds(3)));
  const double took = std::chrono::duration<double, std::milli>(
                          std::chrono::steady_clock::now() - begin)
                          .count();
  std::this_thread::sleep_for(seconds(3));
  TestHost::Traffic after;
  for (auto& host : deployment.hosts)
    host->AddTraffic(&after);
  const auto wire = static_cast<double>(after.wire - before.wire);
  const auto bodies = static_cast<double>(after.bodies - before.bodies);
  std::printf(
      "4 hosts over sockets: in force after %.0f ms; %.0f bytes/s per host on "
      "the wire between hosts, %.0f bytes of frames per message\n",
      took, wire / 3.0 / 4.0,
      (wire - bodies) / static_cast<double>(after.messages - before.messages));

  // When all watches go silent, the list that follows still brings the change.
  deployment.platform.Fault(R"({"silent_watches": true})");
  const auto silent =
      deployment.platform.Write("team", "a", changed, TeamBody(300));
  const auto silent_begin = std::chrono::steady_clock::now();
  REQUIRE(WaitFor([&] { return deployment.AllHave(silent); }, seconds(3)));
  std::printf("4 hosts over sockets, silent watches: in force after %.0f ms\n",
              std::chrono::duration<double, std::milli>(
                  std::chrono::steady_clock::now() - silent_begin)
                  .count());
}

// Guards against one object whose body ends the processes that read it, or
// hides the objects of other writers in a list or a watch.
TEST_CASE("odd objects in the platform hide no others") {
  Deployment deployment;
  REQUIRE(WaitFor([&] { return deployment.AllReady(); }, seconds(5)));
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  const std::vector<std::string> bodies = {deep, R"({"keys":)" + deep + "}",
                                           R"({"keys":[],"bands":1e400})",
                                           "{\"keys\":[\"\xff\"]}", "nul"};
  size_t count = 0;
  for (const std::string& body : bodies) {
    deployment.platform.WriteText("team", "odd" + std::to_string(count++),
                                  body);
  }
  const auto watched =
      deployment.platform.Write("team", "a", deployment.version, TeamBody(200));
  CHECK(WaitFor([&] { return deployment.AllHave(watched); }, seconds(3)));
  // Silent watches are followed by a list.
  deployment.platform.Fault(R"({"silent_watches": true})");
  const auto listed =
      deployment.platform.Write("team", "a", watched, TeamBody(300));
  CHECK(WaitFor([&] { return deployment.AllHave(listed); }, seconds(5)));
  for (auto& host : deployment.hosts) {
    CHECK(host->table.InvalidObjects().size() == bodies.size());
    const auto& invalid = host->counters.GetGauge("table_invalid_objects");
    CHECK(WaitFor(
        [&] { return invalid.value() == static_cast<int64_t>(bodies.size()); },
        seconds(3)));
  }
}

TEST_CASE("a host restarted during a platform outage gets its peers' rows") {
  Deployment deployment;
  REQUIRE(WaitFor([&] { return deployment.AllReady(); }, seconds(5)));
  deployment.platform.Fault(R"({"outage_ms": 60000})");
  auto& host = deployment.hosts[1];
  host.reset();
  host = std::make_unique<TestHost>("host1", "z1",
                                    deployment.platform.server.address(), 5000);
  auto& peer = *deployment.hosts[0];
  host->coordinator->AddSeed({"host0", "z1",
                              peer.transport.address().ToString(), 0,
                              HostState::kAlive});
  CHECK_FALSE(host->coordinator->ready());
  host->Start();
  REQUIRE(WaitFor([&] { return host->coordinator->ready(); }, seconds(5)));
  CHECK(host->table.Current()->FindTeam("a")->version == deployment.version);
}

TEST_CASE("an endpoint that one host sees leaving is excluded by its peer") {
  Deployment deployment;
  REQUIRE(WaitFor([&] { return deployment.AllReady(); }, seconds(5)));
  deployment.hosts[0]->service.OnEndpointReport("worker-1", true);
  CHECK(WaitFor(
      [&] { return deployment.hosts[1]->coordinator->IsLeaving("worker-1"); },
      seconds(3)));
  std::vector<table::LaggingHost> lagging_hosts;
  deployment.hosts[0]->pool.Run([&] {
    lagging_hosts = deployment.hosts[0]->service.CollectLaggingHosts();
  });
  CHECK(lagging_hosts.empty());
}

}  // namespace
}  // namespace jujuberock::membership
