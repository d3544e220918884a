#ifndef CORE_RUNTIME_BYTE_BUDGET_H_
#define CORE_RUNTIME_BYTE_BUDGET_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>

#include "core/common/ranked_mutex.h"
#include "core/common/time.h"

namespace jujuberock::runtime {

struct ByteBudgetLimits {
  size_t total_bytes = 40 * 1024 * 1024;
  // Part of the total that only small reservations may use, so that large ones
  // can't keep them out.
  size_t small_part_bytes = 10 * 1024 * 1024;
  // Largest size of a small reservation.
  size_t small_limit_bytes = 64 * 1024;
  // An incomplete body may be ended for the sake of others once no byte of it
  // has arrived for this long.
  common::Duration stall_limit = std::chrono::milliseconds(1000);
};

// Counts the bytes that a process holds for its callers: bodies of requests and
// responses that are not yet written. Bytes are reserved before they are read.
// A single large reservation is always granted if there is no other, even
// beyond the budget, because the limit of one body is configured independently.
// Thread-safe.
class ByteBudget {
 private:
  struct Holder {
    size_t bytes = 0;
    // Set while the body is incomplete.
    std::function<void()> end;
    common::TimePoint progressed_at;
    // The bytes are about to be released.
    bool has_ended = false;
  };

 public:
  // Bytes that one request or response holds. Releases them on destruction.
  class Reservation {
   public:
    Reservation() = default;
    ~Reservation() { this->Release(); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Reserves `bytes` in total. Returns false, and keeps what it has, if there
    // is no room.
    bool GrowTo(ByteBudget& budget, size_t bytes);
    // Lets others end this holder while it is incomplete: `end` is called at
    // most once, from any thread, and must not call the budget.
    void AllowEnd(std::function<void()> end, common::TimePoint now);
    void OnProgress(common::TimePoint now);
    // The body is complete.
    void ForbidEnd();
    void Release();
    size_t bytes() const;

   private:
    friend class ByteBudget;
    bool IsHolder(const Holder& other) const {
      return this->budget && &*this->holder == &other;
    }

    ByteBudget* budget = nullptr;
    std::list<Holder>::iterator holder;
  };

  explicit ByteBudget(ByteBudgetLimits limits) : limits(limits) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  // Ends incomplete holders, the one that has gone longest without progress
  // first, until `own` could grow to `bytes`. Returns whether it can once the
  // ended holders have released their bytes.
  bool MakeRoom(const Reservation& own, size_t bytes, common::TimePoint now);
  // Counts a body that was refused for lack of room.
  void CountRefused() { this->refused_bodies.fetch_add(1); }

  size_t held_bytes() const;
  uint64_t refused() const { return this->refused_bodies; }
  uint64_t ended() const { return this->ended_bodies; }

 private:
  bool IsLarge(size_t bytes) const {
    return bytes > this->limits.small_limit_bytes;
  }
  // Whether `bytes` fit beside others that hold `large` and `small` bytes.
  bool Fits(size_t bytes, size_t large, size_t small) const;
  // Adds or removes bytes of one holder.
  void Count(size_t bytes, bool is_added);

  const ByteBudgetLimits limits;
  mutable common::RankedMutex mutex{common::LockRank::kCounters};
  std::list<Holder> holders;
  size_t large_bytes = 0;
  size_t small_bytes = 0;
  std::atomic<uint64_t> refused_bodies{0};
  std::atomic<uint64_t> ended_bodies{0};
};

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_BYTE_BUDGET_H_
