#ifndef CORE_GATEWAY_SHARED_READ_H_
#define CORE_GATEWAY_SHARED_READ_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

// Reads a value of the platform's store for requests that need it as it was
// after they came. Requests that come while a read is in progress share the
// next one. Used on one worker, and not destroyed while a read is in progress.
template <typename Value>
class SharedRead {
 public:
  using Result = std::shared_ptr<const Value>;

  // `read` is called on a fiber of its own and throws Error if it fails.
  explicit SharedRead(std::function<Value()> read) : read(std::move(read)) {}
  SharedRead(const SharedRead&) = delete;
  SharedRead& operator=(const SharedRead&) = delete;

  // Returns what a read has got that began after this call, never null.
  // Suspends the calling fiber. Throws Error if the read fails or takes longer
  // than kMaxWait.
  Result Get() {
    const uint64_t needed = this->begun + 1;
    const common::TimePoint until = runtime::BootNow() + kMaxWait;
    while (this->ended < needed) {
      if (runtime::BootNow() >= until)
        throw common::Error(common::ResultCode::kPlatformUnavailable,
                            "the store does not answer");
      this->Begin();
      runtime::SleepFor(kPoll);
    }
    if (!this->result)
      throw common::Error(common::ResultCode::kPlatformUnavailable,
                          "the store could not be read");
    return this->result;
  }

  static constexpr common::Duration kMaxWait = std::chrono::milliseconds(600);

 private:
  // Reads begin at least this long after one another.
  static constexpr common::Duration kMinInterval =
      std::chrono::milliseconds(25);
  static constexpr common::Duration kPoll = std::chrono::milliseconds(3);

  // Begins a read, unless one is in progress or was begun just before.
  void Begin() {
    const common::TimePoint now = runtime::BootNow();
    if (this->ended < this->begun || now - this->begun_at < kMinInterval)
      return;
    ++this->begun;
    this->begun_at = now;
    runtime::SpawnLocal([this] {
      try {
        this->result = std::make_shared<const Value>(this->read());
      } catch (const common::Error&) {
        // The watches log that the store does not answer.
        this->result.reset();
      }
      this->ended = this->begun;
    });
  }

  std::function<Value()> read;
  // Numbers of the last read that was begun, and that has ended.
  uint64_t begun = 0;
  uint64_t ended = 0;
  common::TimePoint begun_at;
  // Of the last read that has ended; null if it failed.
  Result result;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_SHARED_READ_H_
