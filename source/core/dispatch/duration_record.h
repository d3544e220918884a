#ifndef CORE_DISPATCH_DURATION_RECORD_H_
#define CORE_DISPATCH_DURATION_RECORD_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// Longest recent duration of the requests of each name, for example of a route.
// A duration is forgotten after one to two periods. Not thread-safe.
class DurationRecord {
 public:
  // A request has been answered completely and with success.
  void OnAnswered(std::string_view name,
                  common::Duration duration,
                  common::TimePoint now);
  // A request has failed or ended before its answer was complete. It might have
  // taken longer, so it is no evidence of how soon a request is answered.
  void OnUnfinished(std::string_view name,
                    common::Duration duration,
                    common::TimePoint now);
  // Nullopt if no request was answered recently.
  std::optional<common::Duration> Longest(std::string_view name,
                                          common::TimePoint now) const;
  // The duration that nearly all of the last requests did not exceed. A single
  // one that took far longer does not raise it.
  std::optional<common::Duration> Usual(std::string_view name,
                                        common::TimePoint now) const;

 private:
  static constexpr common::Duration kPeriod = std::chrono::seconds(60);
  static constexpr size_t kLastRequests = 200;
  static constexpr double kUsualShare = 0.98;

  struct Period {
    common::Duration longest{0};
    bool has_answers = false;
  };
  struct Record {
    Period current;
    Period previous;
    // Number of the current period, counted from time zero.
    int64_t number = 0;
    std::deque<common::Duration> last;
  };

  static int64_t PeriodOf(common::TimePoint now);
  // Returns the record with its periods advanced to `now`.
  static Record Advance(Record record, common::TimePoint now);
  // Adds the duration; returns the current period.
  Period& Add(std::string_view name,
              common::Duration duration,
              common::TimePoint now);
  // Drops the names without recent requests, such as those of former routes.
  void RemoveOld(common::TimePoint now);

  std::map<std::string, Record, std::less<>> records;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_DURATION_RECORD_H_
