#include "core/dispatch/duration_record.h"

#include <algorithm>

namespace jujuberock::dispatch {

using common::Duration;
using common::TimePoint;

void DurationRecord::OnAnswered(std::string_view name,
                                Duration duration,
                                TimePoint now) {
  Period& period = this->CurrentPeriod(name, now);
  period.longest = std::max(period.longest, duration);
  period.has_answers = true;
}

void DurationRecord::OnUnfinished(std::string_view name,
                                  Duration duration,
                                  TimePoint now) {
  Period& period = this->CurrentPeriod(name, now);
  period.longest = std::max(period.longest, duration);
}

std::optional<Duration> DurationRecord::Longest(std::string_view name,
                                                TimePoint now) const {
  const auto found = this->records.find(name);
  if (found == this->records.end())
    return std::nullopt;
  const Record record = Advance(found->second, now);
  if (!record.current.has_answers && !record.previous.has_answers)
    return std::nullopt;
  return std::max(record.current.longest, record.previous.longest);
}

int64_t DurationRecord::PeriodOf(TimePoint now) {
  return now.time_since_epoch() / kPeriod;
}

DurationRecord::Record DurationRecord::Advance(Record record, TimePoint now) {
  const int64_t passed = PeriodOf(now) - record.number;
  if (passed <= 0)
    return record;
  record.previous = passed == 1 ? record.current : Period();
  record.current = {};
  record.number = PeriodOf(now);
  return record;
}

DurationRecord::Period& DurationRecord::CurrentPeriod(std::string_view name,
                                                      TimePoint now) {
  auto found = this->records.find(name);
  if (found == this->records.end()) {
    this->RemoveOld(now);
    found = this->records.emplace(name, Record()).first;
  }
  found->second = Advance(found->second, now);
  return found->second.current;
}

void DurationRecord::RemoveOld(TimePoint now) {
  std::erase_if(this->records, [&](const auto& entry) {
    return PeriodOf(now) - entry.second.number > 1;
  });
}

}  // namespace jujuberock::dispatch
