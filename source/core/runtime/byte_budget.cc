#include "core/runtime/byte_budget.h"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace jujuberock::runtime {

bool ByteBudget::Fits(size_t bytes, size_t large, size_t small) const {
  const size_t small_part = this->limits.small_part_bytes;
  if (this->IsLarge(bytes))
    return large == 0 || large + bytes + std::max(small, small_part) <=
                             this->limits.total_bytes;
  return large + small + bytes <= this->limits.total_bytes ||
         small + bytes <= small_part;
}

void ByteBudget::Count(size_t bytes, bool is_added) {
  size_t& count = this->IsLarge(bytes) ? this->large_bytes : this->small_bytes;
  count = is_added ? count + bytes : count - bytes;
}

bool ByteBudget::MakeRoom(const Reservation& own,
                          size_t bytes,
                          common::TimePoint now) {
  const std::lock_guard lock(this->mutex);
  size_t large = this->large_bytes;
  size_t small = this->small_bytes;
  const auto leave_out = [&](const Holder& holder) {
    (this->IsLarge(holder.bytes) ? large : small) -= holder.bytes;
  };
  std::vector<Holder*> stalled;
  for (Holder& holder : this->holders) {
    if (holder.has_ended || own.IsHolder(holder))
      leave_out(holder);
    else if (holder.end &&
             now - holder.progressed_at >= this->limits.stall_limit)
      stalled.push_back(&holder);
  }
  std::sort(stalled.begin(), stalled.end(), [](auto* a, auto* b) {
    return a->progressed_at < b->progressed_at;
  });
  for (Holder* holder : stalled) {
    if (this->Fits(bytes, large, small))
      break;
    leave_out(*holder);
    holder->has_ended = true;
    ++this->ended_bodies;
    std::exchange(holder->end, nullptr)();
  }
  return this->Fits(bytes, large, small);
}

size_t ByteBudget::held_bytes() const {
  const std::lock_guard lock(this->mutex);
  return this->large_bytes + this->small_bytes;
}

bool ByteBudget::Reservation::GrowTo(ByteBudget& budget, size_t bytes) {
  const std::lock_guard lock(budget.mutex);
  const size_t own = this->budget ? this->holder->bytes : 0;
  if (own >= bytes)
    return true;
  budget.Count(own, false);
  const bool fits = budget.Fits(bytes, budget.large_bytes, budget.small_bytes);
  budget.Count(fits ? bytes : own, true);
  if (!fits)
    return false;
  if (!this->budget)
    this->holder = budget.holders.emplace(budget.holders.end());
  this->budget = &budget;
  this->holder->bytes = bytes;
  return true;
}

void ByteBudget::Reservation::AllowEnd(std::function<void()> end,
                                       common::TimePoint now) {
  if (!this->budget)
    return;
  const std::lock_guard lock(this->budget->mutex);
  this->holder->end = std::move(end);
  this->holder->progressed_at = now;
}

void ByteBudget::Reservation::OnProgress(common::TimePoint now) {
  if (!this->budget)
    return;
  const std::lock_guard lock(this->budget->mutex);
  this->holder->progressed_at = now;
}

void ByteBudget::Reservation::ForbidEnd() {
  if (!this->budget)
    return;
  const std::lock_guard lock(this->budget->mutex);
  this->holder->end = nullptr;
}

void ByteBudget::Reservation::Release() {
  if (!this->budget)
    return;
  const std::lock_guard lock(this->budget->mutex);
  this->budget->Count(this->holder->bytes, false);
  this->budget->holders.erase(this->holder);
  this->budget = nullptr;
}

size_t ByteBudget::Reservation::bytes() const {
  return this->budget ? this->holder->bytes : 0;
}

}  // namespace jujuberock::runtime
