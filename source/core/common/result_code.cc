#include "core/common/result_code.h"

#include <algorithm>
#include <array>

namespace jujuberock::common {

namespace {

constexpr auto kNotRun = Outcome::kNotRun;
constexpr auto kUnknown = Outcome::kUnknown;
constexpr auto kDone = Outcome::kDone;

constexpr std::array kResultCodes = {
    ResultCodeInfo{ResultCode::kOk, "ok", 200, kDone, "Done"},
    ResultCodeInfo{ResultCode::kMalformedRequest, "malformed_request", 400,
                   kNotRun, "The request is malformed"},
    ResultCodeInfo{ResultCode::kUnauthenticated, "unauthenticated", 401,
                   kNotRun, "A valid bearer key is required"},
    ResultCodeInfo{ResultCode::kUnknownTeam, "unknown_team", 401, kNotRun,
                   "The team of this key does not exist"},
    ResultCodeInfo{ResultCode::kForbidden, "forbidden", 403, kNotRun,
                   "The team may not use this resource"},
    ResultCodeInfo{ResultCode::kUnknownPath, "unknown_path", 404, kNotRun,
                   "No such path"},
    ResultCodeInfo{ResultCode::kUnknownService, "unknown_service", 404, kNotRun,
                   "No such service"},
    ResultCodeInfo{ResultCode::kMethodNotAllowed, "method_not_allowed", 405,
                   kNotRun, "The path does not accept this method"},
    ResultCodeInfo{ResultCode::kRequestTimeout, "request_timeout", 408, kNotRun,
                   "The request did not arrive in time"},
    ResultCodeInfo{ResultCode::kBodyTooLarge, "body_too_large", 413, kNotRun,
                   "The body exceeds the limit"},
    ResultCodeInfo{ResultCode::kHeaderTooLarge, "header_too_large", 431,
                   kNotRun, "The header exceeds the limit"},
    ResultCodeInfo{ResultCode::kInvalidDeadline, "invalid_deadline", 400,
                   kNotRun, "The deadline is not a positive number"},
    ResultCodeInfo{ResultCode::kUnknownModel, "unknown_model", 404, kNotRun,
                   "No service serves this model"},
    ResultCodeInfo{ResultCode::kInvalidEventId, "invalid_event_id", 400,
                   kNotRun, "The Last-Event-ID is not valid for this team"},
    ResultCodeInfo{ResultCode::kStreamGone, "stream_gone", 410, kUnknown,
                   "The stream can no longer be resumed"},
    ResultCodeInfo{ResultCode::kDeadlineUnreachable, "deadline_unreachable",
                   503, kNotRun, "The deadline can not be met"},
    ResultCodeInfo{ResultCode::kQueueFull, "queue_full", 503, kNotRun,
                   "Too many requests wait"},
    ResultCodeInfo{ResultCode::kTeamLimit, "team_limit", 429, kNotRun,
                   "The team is at its limit"},
    ResultCodeInfo{ResultCode::kNoEndpoint, "no_endpoint", 503, kNotRun,
                   "No endpoint can take the request"},
    ResultCodeInfo{ResultCode::kStopping, "stopping", 503, kNotRun,
                   "The host is stopping"},
    ResultCodeInfo{ResultCode::kSuspectRefused, "suspect_refused", 422, kNotRun,
                   "Earlier attempts of this request crashed endpoints"},
    ResultCodeInfo{ResultCode::kNotReady, "not_ready", 503, kNotRun,
                   "The host has no configuration yet"},
    ResultCodeInfo{ResultCode::kRetryBudgetExhausted, "retry_budget_exhausted",
                   503, kUnknown, "The endpoint failed and no retry is left"},
    ResultCodeInfo{ResultCode::kDeadlineExceeded, "deadline_exceeded", 504,
                   kUnknown, "The deadline passed"},
    ResultCodeInfo{ResultCode::kIdempotencyKeyMissing,
                   "idempotency_key_missing", 400, kNotRun,
                   "This call needs an Idempotency-Key"},
    ResultCodeInfo{ResultCode::kIssueTimeMissing, "issue_time_missing", 400,
                   kNotRun, "This call needs a Jujuberock-Issued-At"},
    ResultCodeInfo{ResultCode::kIssueTimeTooOld, "issue_time_too_old", 422,
                   kNotRun, "The call was issued before the retention period"},
    ResultCodeInfo{ResultCode::kIdempotencyKeyReused, "idempotency_key_reused",
                   422, kNotRun,
                   "The Idempotency-Key belongs to another request"},
    ResultCodeInfo{ResultCode::kCallInProgress, "call_in_progress", 409,
                   kUnknown, "The call with this key is in progress"},
    ResultCodeInfo{ResultCode::kOutcomeUnknown, "outcome_unknown", 502,
                   kUnknown, "The call may have run"},
    ResultCodeInfo{ResultCode::kJournalUnavailable, "journal_unavailable", 503,
                   kNotRun, "The call could not be recorded"},
    ResultCodeInfo{ResultCode::kAnswerNotStored, "answer_not_stored", 409,
                   kDone, "The call ran; its answer was too large to keep"},
    ResultCodeInfo{ResultCode::kEndpointFailed, "endpoint_failed", 502,
                   kUnknown, "The endpoint failed"},
    ResultCodeInfo{ResultCode::kEndpointSilent, "endpoint_silent", 504,
                   kUnknown, "The endpoint stopped answering"},
    ResultCodeInfo{ResultCode::kWrongVersion, "wrong_version", 503, kNotRun,
                   "No endpoint serves the weight version in force"},
    ResultCodeInfo{ResultCode::kCanceled, "canceled", 502, kUnknown,
                   "The caller closed its side of the connection"},
    ResultCodeInfo{ResultCode::kPlatformUnavailable, "platform_unavailable",
                   503, kNotRun, "The platform does not answer"},
    ResultCodeInfo{ResultCode::kPlatformConflict, "platform_conflict", 409,
                   kNotRun, "The object has changed meanwhile"},
    ResultCodeInfo{ResultCode::kPlatformRateLimited, "platform_rate_limited",
                   429, kNotRun, "The platform's rate is exceeded"},
    ResultCodeInfo{ResultCode::kValueTooLarge, "value_too_large", 413, kNotRun,
                   "The value exceeds the platform's limit"},
    ResultCodeInfo{ResultCode::kInvalidTable, "invalid_table", 422, kNotRun,
                   "The table is not valid"},
    ResultCodeInfo{ResultCode::kInvalidSettings, "invalid_settings", 422,
                   kNotRun, "The settings are not valid"},
    ResultCodeInfo{ResultCode::kStaleFence, "stale_fence", 412, kNotRun,
                   "The order carries an old fencing number"},
    ResultCodeInfo{ResultCode::kProtocolError, "protocol_error", 502, kUnknown,
                   "A peer broke its protocol"},
    ResultCodeInfo{ResultCode::kPeerUnavailable, "peer_unavailable", 503,
                   kNotRun, "A peer can not be reached"},
    ResultCodeInfo{ResultCode::kUsage, "usage", 400, kNotRun,
                   "The command line is not valid"},
    ResultCodeInfo{ResultCode::kInternal, "internal", 500, kUnknown,
                   "Internal error"},
};

constexpr std::array<std::string_view, 3> kOutcomeNames = {"not_run", "unknown",
                                                           "done"};

}  // namespace

std::span<const ResultCodeInfo> AllResultCodes() {
  return kResultCodes;
}

const ResultCodeInfo& InfoOf(ResultCode code) {
  auto found = std::lower_bound(
      kResultCodes.begin(), kResultCodes.end(), code,
      [](const ResultCodeInfo& info, ResultCode c) { return info.code < c; });
  if (found == kResultCodes.end() || found->code != code)
    return kResultCodes.back();
  return *found;
}

std::optional<ResultCode> ResultCodeFromNumber(int number) {
  for (const ResultCodeInfo& info : kResultCodes) {
    if (static_cast<int>(info.code) == number)
      return info.code;
  }
  return std::nullopt;
}

std::string_view NameOf(Outcome outcome) {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

}  // namespace jujuberock::common
