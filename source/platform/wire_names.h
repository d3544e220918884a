#ifndef PLATFORM_WIRE_NAMES_H_
#define PLATFORM_WIRE_NAMES_H_

#include <array>
#include <string_view>

// Header fields, paths and object kinds of the platform's HTTP API. Only this
// folder may use them.
namespace jujuberock::platform_adapter::wire {

inline constexpr std::string_view kAttemptId = "X-Attempt-Id";
inline constexpr std::string_view kApiKey = "X-Key";
// Milliseconds until the sender's deadline.
inline constexpr std::string_view kDeadlineRemaining = "X-Deadline-Remaining";
inline constexpr std::string_view kExpectInstance = "X-Expect-Instance";
inline constexpr std::string_view kTeam = "X-Tenant";
inline constexpr std::string_view kModel = "X-Model";
// Format: "prompt tokens,maximum output tokens".
inline constexpr std::string_view kTokenCount = "X-Token-Count";
// All parts of the prompt in order, as "ID:TOKENS,ID:TOKENS,...".
inline constexpr std::string_view kPromptParts = "X-Prompt-Prefix";
inline constexpr std::string_view kLastEventId = "Last-Event-Id";
// Beside a last event id: the attempt that brought the first event.
inline constexpr std::string_view kResumes = "Resumes";
// Integer; 0 is the most urgent.
inline constexpr std::string_view kUrgency = "X-Request-Urgency";
inline constexpr std::string_view kCacheSalt = "X-Cache-Salt";
inline constexpr std::string_view kCacheSource = "X-Kv-Source";
inline constexpr std::string_view kCacheTarget = "X-Kv-Target";
inline constexpr std::string_view kCacheUntil = "X-Kv-Until";
inline constexpr std::string_view kExpectVersion = "X-Expect-Version";
inline constexpr std::string_view kNotExecuted = "X-Not-Executed";
// The endpoint's signature over its response.
inline constexpr std::string_view kServerStamp = "X-Server-Stamp";
// Format: "running,waiting,slots".
inline constexpr std::string_view kServerLoad = "X-Server-Load";
inline constexpr std::string_view kWeightVersions = "X-Weight-Versions";
// In seconds. Endpoints send it with a 503, this host with its refusals.
inline constexpr std::string_view kRetryAfter = "Retry-After";
// "1" in all responses of an endpoint that is draining.
inline constexpr std::string_view kServerLeaving = "Server-Leaving";
// In all responses of an endpoint that crashes if it refuses more than so many
// requests in a second.
inline constexpr std::string_view kServerBrittle = "Server-Brittle";
inline constexpr std::string_view kKeepAlive = "Keep-Alive";
inline constexpr std::string_view kConnection = "Connection";
inline constexpr std::string_view kContentEncoding = "Content-Encoding";
// The content coding that changes nothing.
inline constexpr std::string_view kIdentity = "identity";

// Callers send a request with one of these statuses again, whatever its kind.
inline constexpr std::array kPromisingStatuses = {408, 421, 429, 503};

// Fields reserved to the system; they are stripped from callers' requests.
inline constexpr std::array kReservedFields = {
    kApiKey,
    kDeadlineRemaining,
    kExpectInstance,
    kTeam,
    kUrgency,
    kCacheSalt,
    kCacheSource,
    kCacheTarget,
    kCacheUntil,
    kExpectVersion,
    kNotExecuted,
    kServerStamp,
    kServerLoad,
    kWeightVersions,
    std::string_view("X-Hold"),
    std::string_view("X-Pin-Duration"),
    std::string_view("X-Kv-Backup"),
    std::string_view("Kv-From"),
    std::string_view("X-Instance-Id"),
};

// Hop-by-hop fields, which apply to a single connection and are never
// forwarded.
inline constexpr std::array<std::string_view, 10> kHopByHopFields = {
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

// Fields that are forwarded to endpoints even if the caller's Connection field
// lists them.
inline constexpr std::array kProtectedFields = {
    kAttemptId,
    kModel,
    kTokenCount,
    kPromptParts,
    kLastEventId,
    kResumes,
    std::string_view("Host"),
    std::string_view("X-Length-Hint"),
};

inline constexpr std::string_view kReportPath = "/report";
inline constexpr std::string_view kOrderPath = "/order";
inline constexpr std::string_view kCacheEventsPath = "/kv-events";
inline constexpr std::string_view kCacheFreePath = "/kv-free";
// Header field of a long poll for events: its maximum wait in milliseconds.
inline constexpr std::string_view kWaitMs = "Wait-Ms";
// In all answers of the store: rises by one each time that it comes back from
// an older copy of itself.
inline constexpr std::string_view kStoreEra = "Store-Era";
inline constexpr std::string_view kObjectsPath = "/objects/";

inline constexpr std::string_view kConfigKind = "config";
inline constexpr std::string_view kEndpointsKind = "servers";
inline constexpr std::string_view kVersionsKind = "versions";
inline constexpr std::string_view kEvacuationsKind = "evacuations";
// Object kinds that this system stores for itself.
inline constexpr std::string_view kHostsKind = "jujuberock";
inline constexpr std::string_view kStreamsKind = "jujuberock-streams";

}  // namespace jujuberock::platform_adapter::wire

#endif  // PLATFORM_WIRE_NAMES_H_
