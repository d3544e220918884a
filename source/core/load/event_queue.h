#ifndef CORE_LOAD_EVENT_QUEUE_H_
#define CORE_LOAD_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::load {

// Events of a simulation, ordered by time and then by insertion, so that a run
// depends only on its seed. Events can not be cancelled, which makes this
// cheaper than a timer service.
class EventQueue {
 public:
  using Action = std::function<void()>;

  common::TimePoint now() const { return this->current; }

  void After(common::Duration delay, Action action) {
    this->At(this->current + delay, std::move(action));
  }
  void At(common::TimePoint when, Action action) {
    this->events.push({when, this->next_number++, std::move(action)});
  }
  // Repeats until the run ends.
  void Every(common::Duration period,
             common::Duration first,
             const Action& action) {
    this->After(first, [this, period, action] {
      action();
      this->Every(period, period, action);
    });
  }

  void RunUntil(common::TimePoint end) {
    while (!this->events.empty() && this->events.top().when <= end) {
      // top() only gives const access, and the element is removed next.
      Event event = std::move(const_cast<Event&>(this->events.top()));
      this->events.pop();
      this->current = event.when;
      event.action();
    }
    this->current = end;
  }

 private:
  struct Event {
    common::TimePoint when;
    uint64_t number = 0;
    Action action;

    bool operator<(const Event& other) const {
      return std::pair(this->when, this->number) >
             std::pair(other.when, other.number);
    }
  };

  common::TimePoint current;
  uint64_t next_number = 0;
  std::priority_queue<Event> events;
};

}  // namespace jujuberock::load

#endif  // CORE_LOAD_EVENT_QUEUE_H_
