#ifndef CORE_REPORT_BURN_RATE_TRACKER_H_
#define CORE_REPORT_BURN_RATE_TRACKER_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::report {

// Result of one request with respect to the service level objective.
enum class SloResult {
  kInTime,   // first token within the deadline and the answer complete
  kLate,     // answered, but the first token came after the deadline
  kRefused,  // refused without being run, through no fault of the caller
  kFailed,   // failed, or its outcome is unknown
};

std::string_view NameOf(SloResult result);

inline constexpr size_t kSloResultCount = 4;

// Key of a series of counts. `band` is the start of the hour band in force when
// the request arrived, for example "06:00".
struct BurnKey {
  std::string team;
  std::string service;
  std::string band;

  auto operator<=>(const BurnKey&) const = default;
};

// Number of requests in one window, by result.
struct BurnCounts {
  std::array<uint64_t, kSloResultCount> by_result{};

  void Add(const BurnCounts& other);
  uint64_t total() const;
  uint64_t bad() const;
};

struct BurnRow {
  BurnKey key;
  BurnCounts short_window;
  BurnCounts long_window;
};

// Error budget burn rate: the share of bad requests divided by the share that
// the objective allows. At 1 the error budget is used up exactly. 0 if there
// were no requests.
double BurnRate(const BurnCounts& counts, double objective);

// Counts the requests of one host over a short and a long sliding window.
// Memory per key is constant. Not thread-safe.
class BurnRateTracker {
 public:
  static constexpr common::Duration kShortWindow = std::chrono::minutes(5);
  static constexpr common::Duration kLongWindow = std::chrono::minutes(60);

  void Record(const BurnKey& key, SloResult result, common::TimePoint now);

  // Returns the rows ordered by key. Removes keys without requests in the long
  // window.
  std::vector<BurnRow> Rows(common::TimePoint now);

  size_t size() const { return this->series.size(); }

 private:
  // A sliding window made of slots. The slot being filled is included in
  // addition to kSlots full ones, so a sum covers the window's length plus up
  // to one slot.
  template <size_t kSlots, int64_t kSlotSeconds>
  class Window {
   public:
    void Record(SloResult result, common::TimePoint now);
    BurnCounts Sum(common::TimePoint now) const;

   private:
    struct Slot {
      int64_t number = -1;
      std::array<uint32_t, kSloResultCount> counts{};
    };

    static int64_t SlotNumberAt(common::TimePoint now);

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

#endif  // CORE_REPORT_BURN_RATE_TRACKER_H_
