#include "core/load/routing_cost.h"

#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <vector>

#include "core/common/random.h"
#include "core/routing/router.h"

namespace jujuberock::load {

namespace {

using common::TimePoint;

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

std::string Format(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", value);
  return text;
}

routing::BlockKey KeyOf(size_t prompt, size_t block) {
  common::Random random(prompt * 64 + block);
  return {random.Next(), random.Next()};
}

std::vector<routing::BlockKey> KeysOf(size_t prompt, size_t blocks) {
  std::vector<routing::BlockKey> keys;
  for (size_t b = 0; b < blocks; ++b)
    keys.push_back(KeyOf(prompt, b));
  return keys;
}

std::unique_ptr<routing::Router> MakeRouter(size_t endpoints) {
  routing::RouterSettings settings;
  settings.max_index_blocks = 4'000'000;
  auto router_owner = std::make_unique<routing::Router>("z", settings);
  routing::Router& router = *router_owner;
  for (size_t i = 0; i < endpoints; ++i) {
    const std::string name = "w" + std::to_string(i);
    router.OnEndpointState({name, "s", "z"}, routing::EndpointState::kLive,
                           TimePoint());
    routing::LoadReport report;
    report.slots = 16;
    report.running = static_cast<uint32_t>(i % 16);
    report.prefill_tokens_per_s = 10'000;
    router.OnLoadReport(name, report, TimePoint());
  }
  for (const char* store : {"a", "b"}) {
    router.OnStoreState(store, true, TimePoint());
    routing::LinkReport report;
    report.link_bytes_per_s = 3.2e9;
    router.OnLinkReport(store, report, TimePoint());
  }
  return router_owner;
}

// Each prompt is held by one endpoint and by one store.
void FillIndex(routing::Router& router,
               size_t endpoints,
               size_t prompts,
               size_t blocks) {
  for (size_t p = 0; p < prompts; ++p) {
    std::vector<routing::CacheEvent> events;
    for (const routing::BlockKey& key : KeysOf(p, blocks))
      events.push_back({routing::CacheEvent::Op::kAdd, key});
    const std::string name = "w" + std::to_string(p % endpoints);
    router.OnCacheEvents(name, router.NextSequence(name), events, TimePoint());
    const char* store = p % 2 ? "a" : "b";
    router.OnCacheEvents(store, router.NextSequence(store), events,
                         TimePoint());
  }
}

double MicrosecondsPerChoice(routing::Router& router,
                             size_t prompts,
                             const RoutingCostOptions& options) {
  common::Random random(1);
  std::vector<routing::RouteRequest> requests;
  for (size_t i = 0; i < 1000; ++i) {
    routing::RouteRequest request;
    request.id = i;
    request.service = "s";
    request.zone = "z";
    request.block_keys = KeysOf(random.NextBelow(prompts), options.blocks);
    request.prompt_tokens = options.blocks * routing::kBlockTokens + 500;
    request.deadline = TimePoint(std::chrono::seconds(2));
    requests.push_back(request);
  }
  const double begin = CpuSeconds();
  for (size_t i = 0; i < options.choices; ++i)
    router.Choose(requests[i % requests.size()], TimePoint());
  return (CpuSeconds() - begin) * 1e6 / static_cast<double>(options.choices);
}

}  // namespace

std::string MeasureRoutingCost(const RoutingCostOptions& options) {
  std::string text =
      "endpoints  prompts   blocks    us/choice  resident bytes/block  "
      "estimated bytes/block\n";
  const auto measure = [&](size_t endpoints, size_t prompts) {
    const auto router_owner = MakeRouter(endpoints);
    routing::Router& router = *router_owner;
    const double before = ResidentBytes();
    FillIndex(router, endpoints, prompts, options.blocks);
    const double used = ResidentBytes() - before;
    const auto count = static_cast<double>(router.index_blocks());
    // The allocator reuses memory of earlier indexes, so that only the first
    // figure reflects the index alone.
    const std::string resident =
        text.find('\n') + 1 == text.size() ? Format(used / count) : "-";
    char line[160];
    std::snprintf(
        line, sizeof line, "%9zu  %7zu  %8zu  %9.2f  %20s  %21s\n", endpoints,
        prompts, router.index_blocks(),
        MicrosecondsPerChoice(router, prompts, options), resident.c_str(),
        Format(static_cast<double>(router.index_bytes()) / count).c_str());
    text += line;
  };
  // Largest first: memory that the allocator retains from an earlier index
  // would hide the use of a later one.
  for (size_t i = options.prompts.size(); i-- > 0;)
    measure(300, options.prompts[i]);
  for (size_t endpoints : options.endpoints)
    measure(endpoints, 10'000);
  return text;
}

}  // namespace jujuberock::load
