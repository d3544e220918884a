#include "core/gateway/shared_read.h"

#include <catch2/catch.hpp>

#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {
namespace {

using std::chrono::milliseconds;

// A store whose value changes, and whose answers take a while.
struct SlowStore {
  common::Duration answer_time = milliseconds(60);
  int value = 1;
  int reads = 0;
  bool is_away = false;

  int Read() {
    ++this->reads;
    const int read_value = this->value;
    runtime::SleepFor(this->answer_time);
    if (this->is_away)
      throw common::Error(common::ResultCode::kPlatformUnavailable, "away");
    return read_value;
  }
};

struct Fixture {
  runtime::WorkerPool pool{1};
  SlowStore store;
  SharedRead<int> shared{[this] { return this->store.Read(); }};
};

// Guards against a request that learns a value which was read before it came.
TEST_CASE("a read that is in progress does not serve a later request") {
  Fixture f;
  f.pool.Run([&f] {
    int first = 0;
    runtime::SpawnLocal([&] { first = *f.shared.Get(); });
    runtime::SleepFor(milliseconds(20));
    f.store.value = 2;
    CHECK(*f.shared.Get() == 2);
    CHECK(first == 1);
  });
}

// The first request begins a read, and the others come after that.
TEST_CASE("requests that wait at the same time share the next read") {
  Fixture f;
  f.pool.Run([&f] {
    int served = 0;
    for (int i = 0; i < 50; ++i) {
      runtime::SpawnLocal([&] {
        CHECK(*f.shared.Get() == 1);
        ++served;
      });
    }
    runtime::SleepFor(milliseconds(200));
    CHECK(served == 50);
    CHECK(f.store.reads == 2);
  });
}

// Guards against answering from memory while the store is away.
TEST_CASE("a failed read has no result") {
  Fixture f;
  f.pool.Run([&f] {
    CHECK(*f.shared.Get() == 1);
    f.store.is_away = true;
    CHECK_THROWS_AS(f.shared.Get(), common::Error);
    f.store.is_away = false;
    CHECK(*f.shared.Get() == 1);
  });
}

// Guards against holding requests for as long as a store may take.
TEST_CASE("a read that takes too long is given up") {
  Fixture f;
  f.store.answer_time = 2 * SharedRead<int>::kMaxWait;
  f.pool.Run([&f] {
    const common::TimePoint began = runtime::BootNow();
    CHECK_THROWS_AS(f.shared.Get(), common::Error);
    CHECK(runtime::BootNow() - began < f.store.answer_time);
    // The fixture must not end while the read is in progress.
    runtime::SleepFor(f.store.answer_time);
  });
}

}  // namespace
}  // namespace jujuberock::gateway
