#ifndef CORE_REPORT_BURN_H_
#define CORE_REPORT_BURN_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::report {

// How one request ended, as the service level counts it.
enum class Verdict {
  kInTime,   // first token within the deadline, answer whole
  kLate,     // answered, but the first token came after the deadline
  kRefused,  // refused as not run, for a reason that is not the caller's
  kFailed,   // failed or its outcome is unknown
};

std::string_view NameOf(Verdict verdict);

inline constexpr size_t kVerdicts = 4;

// What a figure is kept for. `band` is the start of the hour band in force at
// arrival, as "06:00".
struct BurnKey {
  std::string team;
  std::string service;
  std::string band;

  auto operator<=>(const BurnKey&) const = default;
};

// Requests by verdict within one window.
struct BurnCounts {
  std::array<uint64_t, kVerdicts> by_verdict{};

  void Add(const BurnCounts& other);
  uint64_t total() const;
  uint64_t bad() const;
};

struct BurnRow {
  BurnKey key;
  BurnCounts short_window;
  BurnCounts long_window;
};

// Share of bad requests over the share that the objective allows: 1 uses the
// error budget up exactly, 0 uses none. Zero when there was no request.
double BurnRate(const BurnCounts& counts, double objective);

// Counts of one host over a short and a long sliding window. Memory for each
// key is constant. Not thread-safe.
class Burn {
 public:
  static constexpr common::Duration kShortWindow = std::chrono::minutes(5);
  static constexpr common::Duration kLongWindow = std::chrono::minutes(60);

  void Record(const BurnKey& key, Verdict verdict, common::TimePoint now);

  // Rows in the order of their keys. A key that was silent for the whole long
  // window is dropped.
  std::vector<BurnRow> Rows(common::TimePoint now);

  size_t size() const { return this->series.size(); }

 private:
  // A sliding window as slots; the slot that is being filled counts whole, so
  // a window covers between its length and one slot more.
  template <size_t kSlots, int64_t kSlotSeconds>
  class Window {
   public:
    void Record(Verdict verdict, common::TimePoint now);
    BurnCounts Sum(common::TimePoint now) const;

   private:
    struct Slot {
      int64_t number = -1;
      std::array<uint32_t, kVerdicts> counts{};
    };

    static int64_t NumberOf(common::TimePoint now);

    std::array<Slot, kSlots + 1> slots;
  };

  struct Series {
    Window<5, 60> short_window;
    Window<12, 300> long_window;
  };

  std::map<BurnKey, Series> series;
};

// Adds up the rows of several hosts.
std::vector<BurnRow> MergeRows(const std::vector<std::vector<BurnRow>>& hosts);

}  // namespace jujuberock::report

#endif  // CORE_REPORT_BURN_H_
