#include "core/report/burn.h"

#include "core/common/name_table.h"

namespace jujuberock::report {

using common::TimePoint;

namespace {

constexpr common::NameTable<Verdict, kVerdictCount> kVerdictNames(
    {"in_time", "late", "refused", "failed"});

}  // namespace

std::string_view NameOf(Verdict verdict) {
  return kVerdictNames.NameOf(verdict);
}

void BurnCounts::Add(const BurnCounts& other) {
  for (size_t i = 0; i < kVerdictCount; ++i)
    this->by_verdict[i] += other.by_verdict[i];
}

uint64_t BurnCounts::total() const {
  uint64_t sum = 0;
  for (uint64_t count : this->by_verdict)
    sum += count;
  return sum;
}

uint64_t BurnCounts::bad() const {
  return this->total() -
         this->by_verdict[static_cast<size_t>(Verdict::kInTime)];
}

double BurnRate(const BurnCounts& counts, double objective) {
  if (counts.total() == 0)
    return 0;
  const double bad_share =
      static_cast<double>(counts.bad()) / static_cast<double>(counts.total());
  return bad_share / (1.0 - objective);
}

template <size_t kSlots, int64_t kSlotSeconds>
int64_t Burn::Window<kSlots, kSlotSeconds>::SlotNumberAt(TimePoint now) {
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
  return elapsed.count() / kSlotSeconds;
}

template <size_t kSlots, int64_t kSlotSeconds>
void Burn::Window<kSlots, kSlotSeconds>::Record(Verdict verdict,
                                                TimePoint now) {
  const int64_t number = SlotNumberAt(now);
  Slot& slot = this->slots[static_cast<size_t>(number) % this->slots.size()];
  if (slot.number != number)
    slot = Slot{number, {}};
  ++slot.counts[static_cast<size_t>(verdict)];
}

template <size_t kSlots, int64_t kSlotSeconds>
BurnCounts Burn::Window<kSlots, kSlotSeconds>::Sum(TimePoint now) const {
  const int64_t newest = SlotNumberAt(now);
  BurnCounts sum;
  for (const Slot& slot : this->slots) {
    const bool in_window = slot.number >= 0 &&
                           slot.number + static_cast<int64_t>(kSlots) >= newest;
    if (!in_window)
      continue;
    for (size_t i = 0; i < kVerdictCount; ++i)
      sum.by_verdict[i] += slot.counts[i];
  }
  return sum;
}

void Burn::Record(const BurnKey& key, Verdict verdict, TimePoint now) {
  Series& series = this->series[key];
  series.short_window.Record(verdict, now);
  series.long_window.Record(verdict, now);
}

std::vector<BurnRow> Burn::Rows(TimePoint now) {
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
