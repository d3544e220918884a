#ifndef CORE_SUSPECTS_SUSPECT_LIST_H_
#define CORE_SUSPECTS_SUSPECT_LIST_H_

#include <cstdint>
#include <deque>
#include <set>
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

// A request was in flight on an endpoint that crashed. Message
// `suspect_marks`; `age` makes it independent of clocks.
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
// Clearing is local: another host's mark may return by Merge() and costs one
// more isolated run. When a request is convicted, the marks that its crashes
// left on other requests are removed, since the crashes are explained.
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
  struct MarkState {
    std::string endpoint;
    common::TimePoint at;
  };
  struct Suspect {
    std::vector<MarkState> marks;
    // Marks up to this time were cleared by a success.
    common::TimePoint cleared_until = common::TimePoint::min();
    common::TimePoint last_change;
    // Refused once although another convicted request shares every crash.
    bool refused_in_doubt = false;
  };

  bool AddMark(Fingerprint fingerprint,
               std::string_view endpoint,
               common::TimePoint at);
  void Explain(Fingerprint convicted);
  bool InDoubt(Fingerprint fingerprint, const Suspect& suspect) const;
  void Expire(common::TimePoint now);

  common::Duration lifetime;
  size_t max_fingerprints;
  std::unordered_map<Fingerprint, Suspect> suspects;
};

}  // namespace jujuberock::suspects

#endif  // CORE_SUSPECTS_SUSPECT_LIST_H_
