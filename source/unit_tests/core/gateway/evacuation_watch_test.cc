#include <catch2/catch.hpp>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/gateway/platform_view.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/gateway/platform_view_fakes.h"

namespace jujuberock::gateway {
namespace {

using catalog::ObjectKind;

// A store that holds the evacuation of one zone, until that is taken back.
class EvacuationStore : public ReadOnlyStore {
 public:
  catalog::ObjectSnapshot List(ObjectKind kind) override {
    ++this->lists[static_cast<size_t>(kind)];
    if (kind != ObjectKind::kEvacuations)
      return {{}, 10};
    // Nobody can read the content, which says nothing.
    return {{{"z1", 10, "", catalog::ObjectFault::kMalformed}}, 10};
  }
  catalog::ObjectChanges Watch(ObjectKind kind,
                               uint64_t revision,
                               common::Duration) override {
    const bool is_evacuations = kind == ObjectKind::kEvacuations;
    while (!this->is_ending) {
      if (is_evacuations && this->is_taken_back && revision == 10)
        return {{{{"z1", 10, "{}"}, true}}, 20, false};
      runtime::SleepFor(std::chrono::milliseconds(1));
    }
    return {{}, revision, false};
  }

  std::array<int, catalog::kObjectKindCount> lists{};
  bool is_taken_back = false;
  bool is_ending = false;
};

struct Fixture {
  runtime::WorkerPool pool{1};
  EvacuationStore store;
  common::MetricRegistry counters;
  RevisionDecoder decoder;
  NullSink sink;
  events::EventLog log{sink, "h", [] { return common::UnixTime(); }, counters};
  Settings settings;
  std::vector<catalog::Evacuations::Change> changes;

  // Starts the view, calls the function with it and ends its fibers.
  template <typename Function>
  void Run(Function function) {
    this->pool.Run([&] {
      PlatformView view(this->settings, this->store, this->decoder, this->log);
      view.OnEvacuation(
          [this](const auto& change) { this->changes.push_back(change); });
      view.Start();
      AwaitFor([&] { return view.are_hosts_known(); });
      function(view);
      view.Stop();
      this->store.is_ending = true;
      runtime::SleepFor(std::chrono::milliseconds(50));
    });
  }

  template <typename Condition>
  static void AwaitFor(Condition condition) {
    const auto end = runtime::BootNow() + std::chrono::seconds(10);
    while (!condition() && runtime::BootNow() < end)
      runtime::SleepFor(std::chrono::milliseconds(1));
  }
};

// Guards against requests to an evacuated zone from a host that has just
// started, and against an evacuation that is lost because its content is odd.
TEST_CASE("an evacuation in the store holds until it is deleted") {
  Fixture f;
  f.settings.evacuation_bound = std::chrono::seconds(5);
  f.Run([&](PlatformView& view) {
    Fixture::AwaitFor([&] { return view.evacuations().IsEvacuated("z1"); });
    CHECK(view.evacuations().IsEvacuated("z1"));
    f.store.is_taken_back = true;
    Fixture::AwaitFor([&] { return !view.evacuations().IsEvacuated("z1"); });
    CHECK_FALSE(view.evacuations().IsEvacuated("z1"));
    // Another host tells the beginning late, then one that is new.
    view.OnPeerEvacuation({common::Hash64("z1"), {1, 10, false}});
    CHECK_FALSE(view.evacuations().IsEvacuated("z1"));
    view.OnPeerEvacuation({common::Hash64("z1"), {1, 30, false}});
    CHECK(view.evacuations().IsEvacuated("z1"));
  });
  REQUIRE(f.changes.size() == 3);
  CHECK(f.changes[1].record.is_ended);
  CHECK(f.changes[2].source == catalog::EvacuationSource::kPeer);
}

// Guards against calls for a kind that the platform does not have.
TEST_CASE("without a bound no evacuations are read or believed") {
  Fixture f;
  f.Run([&](PlatformView& view) {
    view.OnPeerEvacuation({common::Hash64("z1"), {1, 10, false}});
    CHECK_FALSE(view.evacuations().IsEvacuated("z1"));
  });
  CHECK(f.store.lists[static_cast<size_t>(ObjectKind::kEvacuations)] == 0);
}

}  // namespace
}  // namespace jujuberock::gateway
