#ifndef CORE_SUSPECTS_SUSPECT_LIST_H_
#define CORE_SUSPECTS_SUSPECT_LIST_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::suspects {

// Hash of a request's team, service, path and body; the same on every host.
using Fingerprint = uint64_t;

Fingerprint FingerprintOf(std::string_view team,
                          std::string_view service,
                          std::string_view path,
                          std::string_view body);

enum class SuspectAction { kNormal, kIsolate, kRefuse };

struct EndpointCrash {
  std::string endpoint;
  common::TimePoint at;
};

// States that a request was in flight on an endpoint when it crashed. A mark
// without an endpoint states that a success cleared all earlier marks of the
// request. Sent as message `suspect_marks`; it carries an age instead of a time
// so that it does not depend on synchronized clocks.
struct CrashMark {
  Fingerprint fingerprint = 0;
  std::string endpoint;
  common::Duration age{0};

  friend bool operator==(const CrashMark&, const CrashMark&) = default;
};

// Detects requests that crash endpoints. A request with marks from one endpoint
// is isolated: its next attempt runs alone on an endpoint. A request with marks
// from two different endpoints is blocked: it is refused. Success clears the
// marks of a request.
//
// A blocked request is assumed to be the cause of its crashes, so the marks
// that these crashes left on requests that are not blocked are removed. If
// another blocked request was in flight at all crashes of a blocked request,
// the cause is ambiguous: the request is refused once, and its next attempt is
// isolated. So a request that did not cause a crash is refused at most once,
// and the cause reaches a third endpoint only if it was in flight twice with
// the same other request.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kSuspects.
class SuspectList {
 public:
  static constexpr common::Duration kDefaultLifetime = std::chrono::minutes(30);
  static constexpr size_t kDefaultMaxFingerprints = 4096;
  // Crashes of one request that are sent to other hosts, the latest.
  static constexpr size_t kMaxSentCrashes = 16;

  explicit SuspectList(common::Duration lifetime = kDefaultLifetime,
                       size_t max_fingerprints = kDefaultMaxFingerprints);

  // The endpoint crashed with these requests in flight.
  void OnEndpointCrash(std::string_view endpoint,
                       std::span<const Fingerprint> fingerprints,
                       common::TimePoint now);
  SuspectAction Check(Fingerprint fingerprint, common::TimePoint now);
  void OnSuccess(Fingerprint fingerprint, common::TimePoint now);

  // Removes the marks of crashes whose cause is known not to be one of the
  // requests as a whole.
  void RemoveCrashes(std::span<const EndpointCrash> crashes);

  // Marks for other hosts, the most important first: those of blocked requests,
  // clearings of requests that were blocked, marks of isolated requests, other
  // clearings. Among equals, requests with more crashes come first, then those
  // that crashed, were cleared or were refused last. Has at most `max_marks`,
  // and of each request all that are sent or none.
  std::vector<CrashMark> Marks(
      common::TimePoint now,
      size_t max_marks = std::numeric_limits<size_t>::max());
  // Adds the marks of another host. Marks that are already known have no
  // effect.
  void Merge(std::span<const CrashMark> marks, common::TimePoint now);

  size_t size() const { return this->suspects.size(); }

 private:
  using Crash = EndpointCrash;
  struct Suspect {
    // The latest crash of each endpoint.
    std::vector<Crash> crashes;
    common::TimePoint cleared_at = common::TimePoint::min();
    common::TimePoint changed_at;
    // The request was refused here: its caller still sends it.
    common::TimePoint refused_at = common::TimePoint::min();
    // Most crashes that a clearing has ended.
    size_t cleared_crashes = 0;
    bool refused_while_ambiguous = false;
  };
  // What it costs if a host does not know of the request, the least first.
  enum class Weight {
    kCleared,         // a sound request is isolated
    kIsolated,        // a request may crash one more endpoint
    kClearedOfBlock,  // a sound request is refused
    kBlocked,         // a request crashes two more endpoints
  };
  // Orders suspects; the greater is kept and published rather.
  using Importance = std::tuple<Weight, size_t, common::TimePoint>;

  static bool IsSameCrash(const Crash& a, const Crash& b);
  static bool IsBlocked(const Suspect& suspect);
  static Importance ImportanceOf(const Suspect& suspect);
  static void AppendMarks(Fingerprint fingerprint,
                          const Suspect& suspect,
                          common::TimePoint now,
                          std::vector<CrashMark>& marks);

  void AddCrash(Fingerprint fingerprint,
                const Crash& crash,
                common::TimePoint now);
  void Clear(Fingerprint fingerprint,
             common::TimePoint at,
             common::TimePoint now);
  Suspect& SuspectOf(Fingerprint fingerprint, common::TimePoint now);
  // Removes the marks of other requests for crashes that a blocked request
  // explains.
  void RemoveExplainedCrashes();
  bool IsAmbiguous(Fingerprint fingerprint, const Suspect& suspect) const;
  void Expire(common::TimePoint now);

  common::Duration lifetime;
  size_t max_fingerprints;
  common::TimePoint expired_at;
  std::unordered_map<Fingerprint, Suspect> suspects;
};

}  // namespace jujuberock::suspects

#endif  // CORE_SUSPECTS_SUSPECT_LIST_H_
