#include "core/dispatch/duration_record.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujuberock::dispatch {

using common::Duration;
using common::TimePoint;

void DurationRecord::OnAnswered(std::string_view name,
                                Duration duration,
                                TimePoint now) {
  this->Add(name, duration, now).has_answers = true;
}

void DurationRecord::OnUnfinished(std::string_view name,
                                  Duration duration,
                                  TimePoint now) {
  this->Add(name, duration, now);
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

std::optional<Duration> DurationRecord::Usual(std::string_view name,
                                              TimePoint now) const {
  const auto longest = this->Longest(name, now);
  if (!longest)
    return std::nullopt;
  std::deque<Duration> sorted = this->records.find(name)->second.last;
  const auto count = static_cast<double>(sorted.size());
  const auto rank = static_cast<std::ptrdiff_t>(
      std::max(0.0, std::ceil(kUsualShare * count) - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return std::min(*longest, sorted[static_cast<size_t>(rank)]);
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

DurationRecord::Period& DurationRecord::Add(std::string_view name,
                                            Duration duration,
                                            TimePoint now) {
  auto found = this->records.find(name);
  if (found == this->records.end()) {
    this->RemoveOld(now);
    found = this->records.emplace(name, Record()).first;
  }
  Record& record = found->second;
  record = Advance(std::move(record), now);
  record.last.push_back(duration);
  if (record.last.size() > kLastRequests)
    record.last.pop_front();
  record.current.longest = std::max(record.current.longest, duration);
  return record.current;
}

void DurationRecord::RemoveOld(TimePoint now) {
  std::erase_if(this->records, [&](const auto& entry) {
    return PeriodOf(now) - entry.second.number > 1;
  });
}

}  // namespace jujuberock::dispatch
