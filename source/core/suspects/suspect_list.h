#ifndef CORE_SUSPECTS_SUSPECT_LIST_H_
#define CORE_SUSPECTS_SUSPECT_LIST_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::suspects {

// Identifies a request by team and content, the same on every host.
using Fingerprint = uint64_t;

Fingerprint FingerprintOf(std::string_view team,
                          std::string_view service,
                          std::string_view path,
                          std::string_view body);

enum class Verdict { kNormal, kIsolate, kRefuse };

// A request was in flight on an endpoint that crashed. Without an endpoint:
// marks up to then were cleared by a success. Message `suspect_marks`; the age
// makes it independent of clocks.
struct Mark {
  Fingerprint fingerprint = 0;
  std::string endpoint;
  common::Duration age{0};

  friend bool operator==(const Mark&, const Mark&) = default;
};

// Finds requests that crash endpoints. A request marked once runs next alone
// on an endpoint; one marked on two different endpoints is refused. A request
// that ran to its end is cleared.
//
// A request is convicted when a crash of its own explains the marks of others:
// the marks that its crashes left on requests that are not convicted are
// removed. When several convicted requests were in flight at all the same
// crashes, which of them is the cause is in doubt: each is refused once, and
// its next attempt runs alone. So a request that did not cause a crash is
// refused at most once, and the cause reaches a third endpoint only if it was
// in flight twice with the same other request.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kSuspects.
class SuspectList {
 public:
  static constexpr common::Duration kDefaultLifetime = std::chrono::minutes(30);
  static constexpr size_t kDefaultMaxFingerprints = 4096;

  explicit SuspectList(common::Duration lifetime = kDefaultLifetime,
                       size_t max_fingerprints = kDefaultMaxFingerprints);

  // The endpoint crashed with these requests in flight.
  void OnEndpointCrash(std::string_view endpoint,
                       std::span<const Fingerprint> fingerprints,
                       common::TimePoint now);
  Verdict Check(Fingerprint fingerprint, common::TimePoint now);
  void OnSuccess(Fingerprint fingerprint, common::TimePoint now);

  // All marks in force, to be sent to other hosts.
  std::vector<Mark> Marks(common::TimePoint now);
  // Adds the marks of another host; marks known already change nothing.
  void Merge(std::span<const Mark> marks, common::TimePoint now);

  size_t size() const { return this->suspects.size(); }

 private:
  struct Crash {
    std::string endpoint;
    common::TimePoint at;
  };
  struct Suspect {
    // One for each endpoint, the latest.
    std::vector<Crash> crashes;
    common::TimePoint cleared_at = common::TimePoint::min();
    common::TimePoint changed_at;
    bool refused_in_doubt = false;
  };

  static bool SameCrash(const Crash& a, const Crash& b);
  static bool Convicted(const Suspect& suspect);

  void AddCrash(Fingerprint fingerprint,
                const Crash& crash,
                common::TimePoint now);
  void Clear(Fingerprint fingerprint,
             common::TimePoint at,
             common::TimePoint now);
  Suspect& SuspectOf(Fingerprint fingerprint, common::TimePoint now);
  // Removes marks of others that a convicted request explains.
  void Explain();
  bool InDoubt(Fingerprint fingerprint, const Suspect& suspect) const;
  void Expire(common::TimePoint now);

  common::Duration lifetime;
  size_t max_fingerprints;
  common::TimePoint expired_at;
  std::unordered_map<Fingerprint, Suspect> suspects;
};

}  // namespace jujuberock::suspects

#endif  // CORE_SUSPECTS_SUSPECT_LIST_H_
