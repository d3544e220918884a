#include "core/common/timer_service.h"

namespace jujuberock::common {

ManualTimerService::ManualTimerService(UnixTime wall_start)
    : wall_start(wall_start),
      entries(std::make_shared<std::map<Key, Entry>>()) {}

UnixTime ManualTimerService::WallNow() const {
  return this->wall_start +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             this->now.time_since_epoch());
}

TimerSubscription ManualTimerService::At(TimePoint when, Callback callback) {
  return this->Add(when, Duration::zero(), std::move(callback));
}

TimerSubscription ManualTimerService::Every(Duration period,
                                            Callback callback) {
  return this->Add(this->now + period, period, std::move(callback));
}

void ManualTimerService::AdvanceTo(TimePoint until) {
  while (!this->entries->empty()) {
    auto first = this->entries->begin();
    const auto [when, id] = first->first;
    if (when > until)
      break;
    Entry entry = first->second;
    this->entries->erase(first);
    if (when > this->now)
      this->now = when;
    if (entry.period > Duration::zero())
      this->entries->emplace(Key(when + entry.period, id), entry);
    entry.callback(this->now);
  }
  if (until > this->now)
    this->now = until;
}

TimerSubscription ManualTimerService::Add(TimePoint when,
                                          Duration period,
                                          Callback callback) {
  const uint64_t id = this->next_id++;
  this->entries->emplace(Key(when, id), Entry{std::move(callback), period});
  std::weak_ptr<std::map<Key, Entry>> weak = this->entries;
  return TimerSubscription([weak, id] {
    auto entries = weak.lock();
    if (!entries)
      return;
    std::erase_if(*entries,
                  [id](const auto& item) { return item.first.second == id; });
  });
}

}  // namespace jujuberock::common
