#include <catch2/catch.hpp>
#include <string>

#include "core/gateway/platform_view.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/gateway/platform_view_fakes.h"

namespace jujuberock::gateway {
namespace {

using catalog::ObjectKind;
using catalog::ObjectSource;
using common::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A store whose answers all come from a relay. The first watch of each kind
// reports a change, the others say what is known already.
class AgedStore : public ReadOnlyStore {
 public:
  catalog::ObjectSnapshot List(ObjectKind) override {
    return {{{"m", 1, "{}"}}, 1, this->age};
  }
  catalog::ObjectChanges Watch(ObjectKind, uint64_t since, Duration) override {
    // The fibers of the view must not keep the worker from others.
    runtime::SleepFor(milliseconds(5));
    catalog::ObjectChanges changes;
    changes.revision = 2;
    changes.answer_age = this->age;
    changes.change_age = this->change_age;
    if (since < 2)
      changes.changes = {{{"m", 2, "{}"}, false}};
    return changes;
  }

  catalog::AnswerAge age{ObjectSource::kRelay, Duration(0)};
  std::optional<Duration> change_age;
};

struct Fixture {
  runtime::WorkerPool pool{1};
  AgedStore store;
  RevisionDecoder decoder;
  NullSink sink;
  common::MetricRegistry counters;
  events::EventLog log{sink, "h", [] { return common::UnixTime(); }, counters};
  Settings settings;
  PlatformView view{settings, store, decoder, log};

  // Lets the view read, and checks it on its worker.
  void Check(const std::function<void(common::TimePoint)>& check) {
    this->pool.Run([&] {
      this->view.Start();
      while (this->view.NewestVersion("m") < 2 || !this->view.endpoints_age() ||
             !this->view.config())
        runtime::SleepFor(milliseconds(5));
      check(runtime::BootNow());
      this->view.Stop();
      runtime::SleepFor(milliseconds(100));
    });
  }
};

// Guards against keys that are accepted after their revocation because a relay
// passes on a configuration that no store has confirmed lately.
TEST_CASE("a relayed view is as old as the store's confirmation") {
  Fixture f;
  f.store.age.age = seconds(4);
  f.Check([&](common::TimePoint now) {
    CHECK_FALSE(f.view.KeysUsable(now));
    CHECK_FALSE(f.view.IsFresh(now));
    CHECK(f.view.endpoints_age()->read_at <= now - seconds(4));
  });
}

TEST_CASE("a relayed view that was confirmed lately is fresh") {
  Fixture f;
  f.store.age.age = milliseconds(500);
  f.Check([&](common::TimePoint now) {
    CHECK(f.view.IsFresh(now));
    CHECK(*f.view.age().AgeAt(now) >= milliseconds(500));
  });
}

// Guards against runs on old weights after the bound: it counts from the naming
// of the new ones, not from when a relay told of them.
TEST_CASE("the age of a change counts from the relay's knowledge") {
  Fixture f;
  f.store.age.age = seconds(3);
  f.store.change_age = seconds(2);
  f.Check([&](common::TimePoint now) {
    CHECK(f.view.AnnouncementAge("m", now) >= seconds(2));
    CHECK(f.view.AnnouncementAge("m", now) < seconds(3));
  });
  // Without it, the change may have come just after the last confirmation.
  Fixture unknown;
  unknown.store.age.age = seconds(3);
  unknown.Check([&](common::TimePoint now) {
    CHECK(unknown.view.AnnouncementAge("m", now) >= seconds(3));
  });
}

}  // namespace
}  // namespace jujuberock::gateway
