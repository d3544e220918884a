#ifndef CORE_EVENTS_EVENT_LOG_H_
#define CORE_EVENTS_EVENT_LOG_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "core/common/counters.h"
#include "core/common/name_table.h"
#include "core/common/time.h"

namespace jujuberock::events {

// How much is logged; each level includes those before it.
enum class Level { kOff, kLifecycle, kBeliefs, kRequests };

inline constexpr common::NameTable<Level, 4> kLevelNames({"off", "lifecycle",
                                                          "beliefs",
                                                          "requests"});

// What a line tells. The names are part of the interface.
enum class Event {
  kStarted,
  kStopping,
  kStopped,
  kReloaded,
  kDependencyLost,
  kDependencyRegained,
  kLinesDropped,
  kConfigInForce,
  kConfigRejected,
  kViewStale,
  kViewRenewed,
  kEndpointAdded,
  kEndpointLeft,
  kEndpointEjected,
  kEndpointReadmitted,
  kVersionNamed,
  kHolderGained,
  kHolderLost,
  kWeightsOrdered,
  kWeightsInForce,
  kPartsFreed,
  kCrashMarked,
  kRequestRefused,
  kRequestQueued,
  kRequestSent,
  kRequestResent,
  kRequestResumed,
  kRequestCut,
  kRequestAnswered,
};

inline constexpr size_t kEvents = 29;

inline constexpr common::NameTable<Event, kEvents> kEventNames(
    {"started",         "stopping",         "stopped",
     "reloaded",        "dependency_lost",  "dependency_regained",
     "lines_dropped",   "config_in_force",  "config_rejected",
     "view_stale",      "view_renewed",     "endpoint_added",
     "endpoint_left",   "endpoint_ejected", "endpoint_readmitted",
     "version_named",   "holder_gained",    "holder_lost",
     "weights_ordered", "weights_in_force", "parts_freed",
     "crash_marked",    "request_refused",  "request_queued",
     "request_sent",    "request_resent",   "request_resumed",
     "request_cut",     "request_answered"});

// The fields that lines may carry.
enum class Field {
  kRequest,
  kRoute,
  kService,
  kEndpoint,
  kTeam,
  kReason,
  kStatus,
  kAttempt,
  kConfigVersion,
  kViewAgeMs,
  kRemainingMs,
  kElapsedMs,
  kHeldMs,
  kPredictedMs,
  kFirstByteMs,
  kLongestPauseMs,
  kTookMs,
  kRetryAfterMs,
  kUncachedTokens,
  kFetchedTokens,
  kSkippedTokens,
  kAbsentTokens,
  kInFlight,
  kFailureShare,
  kModel,
  kVersion,
  kToken,
  kFingerprint,
  kCount,
  kDependency,
  kDetail,
};

inline constexpr size_t kFields = 31;

inline constexpr common::NameTable<Field, kFields> kFieldNames(
    {"request",        "route",          "service",         "endpoint",
     "team",           "reason",         "status",          "attempt",
     "config_version", "view_age_ms",    "remaining_ms",    "elapsed_ms",
     "held_ms",        "predicted_ms",   "first_byte_ms",   "longest_pause_ms",
     "took_ms",        "retry_after_ms", "uncached_tokens", "fetched_tokens",
     "skipped_tokens", "absent_tokens",  "in_flight",       "failure_share",
     "model",          "version",        "token",           "fingerprint",
     "count",          "dependency",     "detail"});

Level LevelOf(Event event);

// Takes finished lines. Must not block.
class Sink {
 public:
  virtual ~Sink() = default;
  // Writes the beginning of `bytes` and returns how much; 0 when the reader
  // takes nothing now.
  virtual size_t Write(std::string_view bytes) = 0;
};

// Standard output. Writes only what a pipe takes without blocking.
class StandardOutput : public Sink {
 public:
  size_t Write(std::string_view bytes) override;
};

class Line;

// Structured log: one JSON object a line, held in a bounded queue until the
// sink takes it. When the queue is full, lines of requests are dropped before
// lines of beliefs, and those before lines of the process' life; the drops are
// counted and stated in a line of their own. Not thread-safe.
class EventLog {
 public:
  static constexpr size_t kDefaultQueueBytes = 256 * 1024;

  EventLog(Sink& sink,
           std::string host,
           std::function<common::UnixTime()> wall_now,
           common::CounterRegistry& counters,
           size_t queue_bytes = kDefaultQueueBytes);

  void SetLevel(Level level) { this->level = level; }
  bool Logs(Event event) const { return LevelOf(event) <= this->level; }

  // Hands queued lines to the sink until it takes no more.
  void Flush();
  size_t queued_bytes() const { return this->queue_size; }

 private:
  friend class Line;

  struct Entry {
    Level level;
    std::string text;
  };

  void Append(Level level, std::string text);
  // Makes room by dropping lines less important than `level`.
  bool MakeRoom(Level level, size_t bytes);
  void StateDrops();

  Sink& sink;
  std::string host;
  std::function<common::UnixTime()> wall_now;
  common::Counter& written;
  std::array<common::Counter*, 4> dropped;
  size_t queue_limit;
  Level level = Level::kRequests;
  std::deque<Entry> queue;
  size_t queue_size = 0;
  // Bytes of the first entry that the sink has taken.
  size_t front_taken = 0;
  uint64_t drops_not_stated = 0;
};

// One line of the log; written when it is destroyed.
class Line {
 public:
  Line(EventLog& log, Event event);
  ~Line();
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;

  Line& Add(Field field, std::string_view value);
  Line& Add(Field field, const char* value) {
    return this->Add(field, std::string_view(value));
  }
  Line& Add(Field field, const std::string& value) {
    return this->Add(field, std::string_view(value));
  }
  Line& Add(Field field, int64_t value);
  Line& Add(Field field, uint64_t value);
  Line& Add(Field field, int value) {
    return this->Add(field, static_cast<int64_t>(value));
  }
  Line& Add(Field field, double value);
  // In milliseconds with one decimal.
  Line& Add(Field field, common::Duration value);

 private:
  void AddName(Field field);

  EventLog& log;
  Level level;
  bool enabled;
  std::string text;
};

// docs/events.md: all events with their level, and all fields.
std::string RenderEventsPage();

}  // namespace jujuberock::events

#endif  // CORE_EVENTS_EVENT_LOG_H_
