#ifndef CORE_COMMON_RESULT_CODE_H_
#define CORE_COMMON_RESULT_CODE_H_

#include <optional>
#include <span>
#include <string_view>

namespace jujuberock::common {

// Numbered result codes. The numbers are part of the interface: they appear in
// problem documents and exit reports and are never reused.
enum class ResultCode {
  kOk = 0,
  // 100-199: the request itself is wrong.
  kMalformedRequest = 100,
  kUnauthenticated = 101,
  kUnknownTeam = 102,
  kForbidden = 103,
  kUnknownPath = 104,
  kUnknownService = 105,
  kMethodNotAllowed = 106,
  kRequestTimeout = 107,
  kBodyTooLarge = 108,
  kHeaderTooLarge = 109,
  kInvalidDeadline = 110,
  kUnknownModel = 111,
  kInvalidEventId = 112,
  kStreamGone = 113,
  // 200-299: refused before it ran.
  kDeadlineUnreachable = 200,
  kQueueFull = 201,
  kTeamLimit = 202,
  kNoEndpoint = 203,
  kStopping = 204,
  kSuspectRefused = 205,
  kNotReady = 206,
  kRetryBudgetExhausted = 207,
  kDeadlineExceeded = 208,
  // 300-399: non-idempotent calls.
  kIdempotencyKeyMissing = 300,
  kIssueTimeMissing = 301,
  kIssueTimeTooOld = 302,
  kIdempotencyKeyReused = 303,
  kCallInProgress = 304,
  kOutcomeUnknown = 305,
  kJournalUnavailable = 306,
  kAnswerNotStored = 307,
  // 400-499: failures while it ran.
  kEndpointFailed = 400,
  kEndpointSilent = 401,
  kWrongVersion = 402,
  kCanceled = 403,
  // 500-599: platform, table and settings.
  kPlatformUnavailable = 500,
  kPlatformConflict = 501,
  kPlatformRateLimited = 502,
  kValueTooLarge = 503,
  kInvalidTable = 504,
  kInvalidSettings = 505,
  kStaleFence = 506,
  kProtocolError = 507,
  kPeerUnavailable = 508,
  kUsage = 509,
  kInternal = 599,
};

// Whether a request was executed, as reported to its caller.
enum class Outcome { kNotRun, kUnknown, kDone };

struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  int http_status;
  // Outcome reported to callers unless the code that fails gives another one.
  Outcome outcome;
  std::string_view title;
};

// All result codes in ascending order; docs/result-codes.md lists the same.
std::span<const ResultCodeInfo> AllResultCodes();

const ResultCodeInfo& InfoOf(ResultCode code);

// Returns the code with this number, or nothing if the number is not assigned.
std::optional<ResultCode> ResultCodeFromNumber(int number);

// "not_run", "unknown" or "done".
std::string_view NameOf(Outcome outcome);

}  // namespace jujuberock::common

#endif  // CORE_COMMON_RESULT_CODE_H_
