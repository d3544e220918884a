#ifndef CORE_EVENTS_EVENT_LOG_H_
#define CORE_EVENTS_EVENT_LOG_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "core/common/metrics.h"
#include "core/common/name_table.h"
#include "core/common/time.h"

namespace jujuberock::events {

// Log level; each level includes those before it. kClusterState covers changes
// in what this host knows of the configuration, the endpoints and the other
// hosts; it is called `beliefs` in settings and logs.
enum class Level { kOff, kLifecycle, kClusterState, kRequests };

inline constexpr common::NameTable<Level, 4> kLevelNames({"off", "lifecycle",
                                                          "beliefs",
                                                          "requests"});

// Events that are logged. Their names are part of the public interface.
enum class Event {
  kStarted,
  kStopping,
  kStopped,
  kReloaded,
  kDependencyLost,
  kDependencyRegained,
  kLinesDropped,
  kStoreRestored,
  kEntryUnreadable,
  kConfigInForce,
  kConfigKnowledge,
  kConfigRejected,
  kViewStale,
  kViewRenewed,
  kViewSource,
  kRelayAnswerRejected,
  kEndpointAdded,
  kEndpointLeft,
  kEndpointsHeldBack,
  kEndpointEjected,
  kEndpointReadmitted,
  kEndpointBackoff,
  kEndpointUncertain,
  kEndpointCertain,
  kEndpointCold,
  kEndpointWarm,
  kEndpointBrittle,
  kEndpointNotBrittle,
  kReachLost,
  kReachRegained,
  kEvacuationBegan,
  kEvacuationEnded,
  kVersionNamed,
  kHolderGained,
  kHolderLost,
  kWeightsOrdered,
  kWeightsInForce,
  kPartsFreed,
  kCrashMarked,
  kSoftwareAgreed,
  kPartsBlocked,
  kPartTrial,
  kRequestRefused,
  kRequestQueued,
  kRequestSent,
  kRequestResent,
  kRequestResumed,
  kRequestCut,
  kRequestTurnedAway,
  kResponseDropped,
  kRequestAnswered,
  kRequestUnanswered,
  kRequestHandedOver,
  kHandoverRefused,
};

inline constexpr size_t kEventCount = 54;

inline constexpr common::NameTable<Event, kEventCount> kEventNames(
    {"started",
     "stopping",
     "stopped",
     "reloaded",
     "dependency_lost",
     "dependency_regained",
     "lines_dropped",
     "store_restored",
     "entry_unreadable",
     "config_in_force",
     "config_knowledge",
     "config_rejected",
     "view_stale",
     "view_renewed",
     "view_source",
     "relay_answer_rejected",
     "endpoint_added",
     "endpoint_left",
     "endpoints_held_back",
     "endpoint_ejected",
     "endpoint_readmitted",
     "endpoint_backoff",
     "endpoint_uncertain",
     "endpoint_certain",
     "endpoint_cold",
     "endpoint_warm",
     "endpoint_brittle",
     "endpoint_not_brittle",
     "reach_lost",
     "reach_regained",
     "evacuation_began",
     "evacuation_ended",
     "version_named",
     "holder_gained",
     "holder_lost",
     "weights_ordered",
     "weights_in_force",
     "parts_freed",
     "crash_marked",
     "software_agreed",
     "parts_blocked",
     "part_trial",
     "request_refused",
     "request_queued",
     "request_sent",
     "request_resent",
     "request_resumed",
     "request_cut",
     "request_turned_away",
     "response_dropped",
     "request_answered",
     "request_unanswered",
     "request_handed_over",
     "handover_refused"});

// Fields that a line may have.
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
  kWorkFactor,
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
  kRequiredVersion,
  kVersionAgeMs,
  kEndpointsLeft,
  kExcludedEndpoints,
  kToken,
  kFingerprint,
  kPart,
  kCount,
  kDependency,
  kDetail,
  kFraming,
  kBodyBytes,
  kInsideEvent,
  kConnectionEnd,
  kStoreEra,
  kRevision,
  kEndedBy,
  kOwed,
  kCurrentVersion,
  kSoftware,
  kResumes,
  kLastEvent,
  kStartedAtMs,
  kEndEvidence,
  kUrgency,
  kBelowFloor,
  kAheadTokens,
  kMemoryTokens,
  kFetchMs,
  kZone,
  kSource,
  kColdLeftMs,
  kCandidate,
  kViewRevision,
  kConnection,
  kEarlierRequests,
  kCarriedBefore,
  kNamedRequest,
  kPeer,
  kSend,
  kFailedConnects,
  kRefusalLimit,
};

inline constexpr size_t kFieldCount = 69;

inline constexpr common::NameTable<Field, kFieldCount> kFieldNames(
    {"request",
     "route",
     "service",
     "endpoint",
     "team",
     "reason",
     "status",
     "attempt",
     "config_version",
     "view_age_ms",
     "remaining_ms",
     "elapsed_ms",
     "held_ms",
     "predicted_ms",
     "work_factor",
     "first_byte_ms",
     "longest_pause_ms",
     "took_ms",
     "retry_after_ms",
     "uncached_tokens",
     "fetched_tokens",
     "skipped_tokens",
     "absent_tokens",
     "in_flight",
     "failure_share",
     "model",
     "version",
     "required_version",
     "version_age_ms",
     "endpoints_left",
     "excluded_endpoints",
     "token",
     "fingerprint",
     "part",
     "count",
     "dependency",
     "detail",
     "framing",
     "body_bytes",
     "inside_event",
     "connection_end",
     "store_era",
     "revision",
     "ended_by",
     "owed",
     "current_version",
     "software",
     "resumes",
     "last_event",
     "started_at_ms",
     "end_evidence",
     "urgency",
     "below_floor",
     "ahead_tokens",
     "memory_tokens",
     "fetch_ms",
     "zone",
     "source",
     "cold_left_ms",
     "candidate",
     "view_revision",
     "connection",
     "earlier_requests",
     "carried_before",
     "named_request",
     "peer",
     "send",
     "failed_connects",
     "refusal_limit"});

Level LevelOf(Event event);

// Destination of finished lines. Must not block.
class Sink {
 public:
  virtual ~Sink() = default;
  // Writes a prefix of `bytes` and returns its length; 0 if nothing can be
  // written now.
  virtual size_t Write(std::string_view bytes) = 0;
};

// Writes to standard output, and only as much as a pipe accepts without
// blocking.
class StdoutSink : public Sink {
 public:
  size_t Write(std::string_view bytes) override;
};

class LogLine;

// Structured log with one JSON object per line. Lines are held in a bounded
// queue until the sink accepts them. When the queue is full, request lines are
// dropped before cluster state lines, and these before lifecycle lines. Dropped
// lines are counted and reported by a line of their own. Not thread-safe.
class EventLog {
 public:
  static constexpr size_t kDefaultQueueBytes = 256 * 1024;

  EventLog(Sink& sink,
           std::string host,
           std::function<common::UnixTime()> wall_now,
           common::MetricRegistry& counters,
           size_t queue_bytes = kDefaultQueueBytes);

  void SetLevel(Level level) { this->level = level; }
  bool IsEnabled(Event event) const { return LevelOf(event) <= this->level; }

  // Writes queued lines to the sink until it accepts no more.
  void Flush();
  size_t queued_bytes() const { return this->queued; }

 private:
  friend class LogLine;

  struct Entry {
    Level level;
    std::string text;
  };

  void Append(Level level, std::string text);
  // Drops lines of less important levels than `level` until `bytes` fit.
  // Returns whether they do.
  bool MakeRoom(Level level, size_t bytes);
  void ReportDrops();

  Sink& sink;
  std::string host;
  std::function<common::UnixTime()> wall_now;
  common::Counter& lines_total;
  std::array<common::Counter*, 4> lines_dropped;
  size_t queue_limit;
  Level level = Level::kRequests;
  std::deque<Entry> queue;
  size_t queued = 0;
  // Bytes of the first entry that the sink has already written.
  size_t front_written = 0;
  uint64_t unreported_drops = 0;
};

// Builds one line of the log; the destructor appends it to the queue.
class LogLine {
 public:
  LogLine(EventLog& log, Event event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& Add(Field field, std::string_view value);
  LogLine& Add(Field field, const char* value) {
    return this->Add(field, std::string_view(value));
  }
  LogLine& Add(Field field, const std::string& value) {
    return this->Add(field, std::string_view(value));
  }
  LogLine& Add(Field field, int64_t value);
  LogLine& Add(Field field, uint64_t value);
  LogLine& Add(Field field, int value) {
    return this->Add(field, static_cast<int64_t>(value));
  }
  LogLine& Add(Field field, double value);
  // In milliseconds with one decimal.
  LogLine& Add(Field field, common::Duration value);

 private:
  void AddFieldName(Field field);

  EventLog& log;
  Level level;
  bool enabled;
  std::string text;
};

// Renders docs/events.md, which lists all events with their level and all
// fields.
std::string RenderEventsPage();

}  // namespace jujuberock::events

#endif  // CORE_EVENTS_EVENT_LOG_H_
