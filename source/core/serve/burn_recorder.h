#ifndef CORE_SERVE_BURN_RECORDER_H_
#define CORE_SERVE_BURN_RECORDER_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/common/ranked_mutex.h"
#include "core/common/result_code.h"
#include "core/common/timer_service.h"
#include "core/report/burn_rate_tracker.h"
#include "core/table/shared_view.h"

namespace jujuberock::serve {

// Records the results of requests by team, service and hour band for the error
// budget report. Thread-safe.
class BurnRecorder {
 public:
  BurnRecorder(const common::TimerService& timers,
               const table::SharedView& view)
      : timers(timers), view(view) {}

  void RecordAnswer(std::string_view team,
                    std::string_view service,
                    bool in_time);
  // Ignores errors that the caller caused.
  void RecordError(std::string_view team,
                   std::string_view service,
                   common::ResultCode code);

  std::vector<report::BurnRow> Rows();

 private:
  void Record(std::string_view team,
              std::string_view service,
              report::SloResult result);

  const common::TimerService& timers;
  const table::SharedView& view;
  common::RankedMutex mutex{common::LockRank::kReport};
  report::BurnRateTracker burn;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_BURN_RECORDER_H_
