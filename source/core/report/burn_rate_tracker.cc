#include "core/report/burn_rate_tracker.h"

#include "core/common/name_table.h"

namespace jujuberock::report {

using common::TimePoint;

namespace {

constexpr common::NameTable<SloResult, kSloResultCount> kSloResultNames(
    {"in_time", "late", "refused", "failed"});

}  // namespace

std::string_view NameOf(SloResult result) {
  return kSloResultNames.NameOf(result);
}

void BurnCounts::Add(const BurnCounts& other) {
  for (size_t i = 0; i < kSloResultCount; ++i)
    this->by_result[i] += other.by_result[i];
}

uint64_t BurnCounts::total() const {
  uint64_t sum = 0;
  for (uint64_t count : this->by_result)
    sum += count;
  return sum;
}

uint64_t BurnCounts::bad() const {
  return this->total() -
         this->by_result[static_cast<size_t>(SloResult::kInTime)];
}

double BurnRate(const BurnCounts& counts, double objective) {
  if (counts.total() == 0)
    return 0;
  const double bad_share =
      static_cast<double>(counts.bad()) / static_cast<double>(counts.total());
  return bad_share / (1.0 - objective);
}

template <size_t kSlots, int64_t kSlotSeconds>
int64_t BurnRateTracker::Window<kSlots, kSlotSeconds>::SlotNumberAt(
    TimePoint now) {
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
  return elapsed.count() / kSlotSeconds;
}

template <size_t kSlots, int64_t kSlotSeconds>
void BurnRateTracker::Window<kSlots, kSlotSeconds>::Record(SloResult result,
                                                           TimePoint now) {
  const int64_t number = SlotNumberAt(now);
  Slot& slot = this->slots[static_cast<size_t>(number) % this->slots.size()];
  if (slot.number != number)
    slot = Slot{number, {}};
  ++slot.counts[static_cast<size_t>(result)];
}

template <size_t kSlots, int64_t kSlotSeconds>
BurnCounts BurnRateTracker::Window<kSlots, kSlotSeconds>::Sum(
    TimePoint now) const {
  const int64_t newest = SlotNumberAt(now);
  BurnCounts sum;
  for (const Slot& slot : this->slots) {
    const bool in_window = slot.number >= 0 &&
                           slot.number + static_cast<int64_t>(kSlots) >= newest;
    if (!in_window)
      continue;
    for (size_t i = 0; i < kSloResultCount; ++i)
      sum.by_result[i] += slot.counts[i];
  }
  return sum;
}

void BurnRateTracker::Record(const BurnKey& key,
                             SloResult result,
                             TimePoint now) {
  Series& series = this->series[key];
  series.short_window.Record(result, now);
  series.long_window.Record(result, now);
}

std::vector<BurnRow> BurnRateTracker::Rows(TimePoint now) {
  std::vector<BurnRow> rows;
  for (auto it = this->series.begin(); it != this->series.end();) {
    BurnRow row{it->first, it->second.short_window.Sum(now),
                it->second.long_window.Sum(now)};
    if (row.long_window.total() == 0) {
      it = this->series.erase(it);
      continue;
    }
    rows.push_back(std::move(row));
    ++it;
  }
  return rows;
}

std::vector<BurnRow> MergeRows(const std::vector<std::vector<BurnRow>>& hosts) {
  std::map<BurnKey, BurnRow> merged;
  for (const std::vector<BurnRow>& rows : hosts) {
    for (const BurnRow& row : rows) {
      BurnRow& sum = merged[row.key];
      sum.key = row.key;
      sum.short_window.Add(row.short_window);
      sum.long_window.Add(row.long_window);
    }
  }
  std::vector<BurnRow> rows;
  for (auto& [key, row] : merged)
    rows.push_back(std::move(row));
  return rows;
}

}  // namespace jujuberock::report
