#include "core/gateway/admission_gate.h"

#include <algorithm>
#include <chrono>
#include <mutex>

namespace jujuberock::gateway {

namespace {

// Condition variables need a lock. The fibers of one worker don't run at the
// same time, so it protects nothing.
struct NoLock {
  void lock() {}
  void unlock() {}
};

}  // namespace

AdmissionGate::Waiter::Waiter(AdmissionGate& gate,
                              const dispatch::WaitingRequest& request)
    : gate(gate), place(gate.queue.Add(request)) {
  this->gate.waiters.emplace(this->place, this);
}

AdmissionGate::Waiter::~Waiter() {
  this->gate.queue.Remove(this->place);
  this->gate.waiters.erase(this->place);
  // The request may have used the wake-up and left room for others.
  if (this->passes_on)
    this->gate.OnRoomFreed();
}

void AdmissionGate::Waiter::Wait(bool waits_for_room,
                                 common::Duration longest) {
  this->gate.queue.SetWaitsForRoom(this->place, waits_for_room);
  if (this->passes_on)
    this->gate.PassOn(this->place);
  this->passes_on = false;
  this->is_woken = false;
  const auto first = this->gate.queue.First(1, this->gate.now());
  const bool is_first = !first.empty() && first.front() == this->place;
  NoLock lock;
  this->wake_up.wait_for(lock,
                         is_first ? std::min(longest, kFirstInterval) : longest,
                         [this] { return this->is_woken; });
  // Its own turn, so the others are tried as well.
  if (is_first && !this->is_woken)
    this->passes_on = true;
}

void AdmissionGate::Wake(Waiter& waiter) {
  if (waiter.is_woken)
    return;
  waiter.is_woken = true;
  waiter.passes_on = true;
  waiter.wake_up.notify_one();
}

void AdmissionGate::OnRoomFreed() {
  const auto first = this->queue.First(1, this->now());
  if (!first.empty())
    this->Wake(*this->waiters.at(first.front()));
}

void AdmissionGate::PassOn(dispatch::AdmissionQueue::Place tried) {
  const auto first = this->queue.First(kTriesPerWakeUp, this->now());
  const auto position = std::find(first.begin(), first.end(), tried);
  if (position == first.end() || position + 1 == first.end())
    return;
  this->Wake(*this->waiters.at(*(position + 1)));
}

}  // namespace jujuberock::gateway
