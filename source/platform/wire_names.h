#ifndef PLATFORM_WIRE_NAMES_H_
#define PLATFORM_WIRE_NAMES_H_

#include <array>
#include <string_view>

// The platform's names of header fields, paths and kinds of objects. Nothing
// outside this folder may use them.
namespace jujuberock::platform_adapter::wire {

inline constexpr std::string_view kAttemptId = "X-Attempt-Id";
inline constexpr std::string_view kKey = "X-Key";
// Milliseconds that the sender still waits.
inline constexpr std::string_view kRemaining = "X-Deadline-Remaining";
inline constexpr std::string_view kExpectInstance = "X-Expect-Instance";
inline constexpr std::string_view kTeam = "X-Tenant";
inline constexpr std::string_view kModel = "X-Model";
// "prompt tokens,most output tokens".
inline constexpr std::string_view kTokenCount = "X-Token-Count";
// "ID:TOKENS,ID:TOKENS,...", all parts of the prompt in order.
inline constexpr std::string_view kPromptParts = "X-Prompt-Prefix";
inline constexpr std::string_view kLastEventId = "Last-Event-Id";
// 0 is the most urgent.
inline constexpr std::string_view kUrgency = "X-Request-Urgency";
inline constexpr std::string_view kCacheSalt = "X-Cache-Salt";
inline constexpr std::string_view kCacheSource = "X-Kv-Source";
inline constexpr std::string_view kCacheTarget = "X-Kv-Target";
inline constexpr std::string_view kCacheUntil = "X-Kv-Until";
inline constexpr std::string_view kExpectVersion = "X-Expect-Version";
inline constexpr std::string_view kNotRun = "X-Not-Executed";
// The endpoint's signature of its answer.
inline constexpr std::string_view kSignature = "X-Server-Stamp";
// "running,waiting,slots".
inline constexpr std::string_view kLoad = "X-Server-Load";
inline constexpr std::string_view kWeightVersions = "X-Weight-Versions";
inline constexpr std::string_view kRetryAfter = "Retry-After";
inline constexpr std::string_view kKeepAlive = "Keep-Alive";
inline constexpr std::string_view kConnection = "Connection";

// Fields that the system sets itself; a caller's own are dropped.
inline constexpr std::array kSystemFields = {
    kKey,
    kRemaining,
    kExpectInstance,
    kTeam,
    kUrgency,
    kCacheSalt,
    kCacheSource,
    kCacheTarget,
    kCacheUntil,
    kExpectVersion,
    kNotRun,
    kSignature,
    kLoad,
    kWeightVersions,
    std::string_view("X-Hold"),
    std::string_view("X-Pin-Duration"),
    std::string_view("X-Kv-Backup"),
    std::string_view("Kv-From"),
    std::string_view("X-Instance-Id"),
};

// Fields that concern one connection only.
inline constexpr std::array<std::string_view, 10> kConnectionFields = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
};

// Fields that endpoints must get whatever the caller's Connection field says.
inline constexpr std::array kEssentialFields = {
    kAttemptId,
    kModel,
    kTokenCount,
    kPromptParts,
    kLastEventId,
    std::string_view("Host"),
    std::string_view("X-Length-Hint"),
};

inline constexpr std::string_view kReadyPath = "/readiness";
inline constexpr std::string_view kReportPath = "/report";
inline constexpr std::string_view kOrderPath = "/order";
inline constexpr std::string_view kCacheEventsPath = "/kv-events";
inline constexpr std::string_view kCacheFreePath = "/kv-free";
// Longest time that a question for events is kept waiting, in milliseconds.
inline constexpr std::string_view kWait = "Wait-Ms";
inline constexpr std::string_view kObjectsPath = "/objects/";

inline constexpr std::string_view kConfigKind = "config";
inline constexpr std::string_view kEndpointsKind = "servers";
inline constexpr std::string_view kVersionsKind = "versions";
// A kind of the system's own.
inline constexpr std::string_view kHostsKind = "jujuberock";

}  // namespace jujuberock::platform_adapter::wire

#endif  // PLATFORM_WIRE_NAMES_H_
