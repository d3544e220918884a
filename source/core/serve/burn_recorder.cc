#include "core/serve/burn_recorder.h"

#include <cstdio>
#include <optional>

namespace jujuberock::serve {

using common::ResultCode;
using report::SloResult;

namespace {

constexpr int kMinutesPerHour = 60;

std::string BandLabel(const table::Snapshot& rows,
                      std::string_view team,
                      int minute_of_day) {
  const table::Team* row = rows.FindTeam(team);
  if (!row)
    return "none";
  for (const table::TeamBand& band : row->bands) {
    if (minute_of_day < band.from_minute || minute_of_day >= band.to_minute)
      continue;
    char text[8];
    std::snprintf(text, sizeof text, "%02d:%02d",
                  band.from_minute / kMinutesPerHour % 24,
                  band.from_minute % kMinutesPerHour);
    return text;
  }
  return "none";
}

// Returns nothing for errors that the caller caused.
std::optional<SloResult> SloResultOf(ResultCode code) {
  const int number = static_cast<int>(code);
  if (number < 200 || code == ResultCode::kCanceled ||
      code == ResultCode::kSuspectRefused || code == ResultCode::kTeamLimit)
    return std::nullopt;
  switch (code) {
    case ResultCode::kJournalUnavailable:
      return SloResult::kRefused;
    case ResultCode::kDeadlineExceeded:
    case ResultCode::kRetryBudgetExhausted:
    case ResultCode::kOutcomeUnknown:
      return SloResult::kFailed;
    default:
      break;
  }
  if (number < 300)
    return SloResult::kRefused;
  if (number < 400)
    return std::nullopt;
  return common::InfoOf(code).outcome == common::Outcome::kNotRun
             ? SloResult::kRefused
             : SloResult::kFailed;
}

}  // namespace

void BurnRecorder::RecordAnswer(std::string_view team,
                                std::string_view service,
                                bool in_time) {
  this->Record(team, service, in_time ? SloResult::kInTime : SloResult::kLate);
}

void BurnRecorder::RecordError(std::string_view team,
                               std::string_view service,
                               ResultCode code) {
  if (const auto result = SloResultOf(code))
    this->Record(team, service, *result);
}

void BurnRecorder::Record(std::string_view team,
                          std::string_view service,
                          SloResult result) {
  const table::SnapshotPtr rows = this->view.Current();
  const int minute = rows->MinuteOfDay(this->timers.WallNow());
  const report::BurnKey key{std::string(team), std::string(service),
                            BandLabel(*rows, team, minute)};
  const common::TimePoint now = this->timers.Now();
  common::RankedLock lock(this->mutex);
  this->burn.Record(key, result, now);
}

std::vector<report::BurnRow> BurnRecorder::Rows() {
  const common::TimePoint now = this->timers.Now();
  common::RankedLock lock(this->mutex);
  return this->burn.Rows(now);
}

}  // namespace jujuberock::serve
