#ifndef CORE_SUSPECTS_PART_SUSPECTS_H_
#define CORE_SUSPECTS_PART_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/name_table.h"
#include "core/common/time.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::suspects {

// Hash of the id of a prompt part; the same on every host.
Fingerprint PartFingerprintOf(std::string_view part);

// A prompt part of a request that was in flight on an endpoint when it crashed.
struct PartInFlight {
  Fingerprint part = 0;
  common::TimePoint sent_at;
};

// The most important first.
enum class PartEvidence {
  kBlocked,  // the part is blocked
  kTrial,    // a request with the blocked part is sent to test the verdict
  kSound,    // a run with the part was answered without a crash
  kCrash,    // a request with the part was in flight at a crash
};

// Names of the evidence in messages between hosts.
inline constexpr common::NameTable<PartEvidence, 4> kPartEvidenceNames(
    {"blocked", "trial", "sound", "crash"});

// What one host knows about a part, as it is sent to the other hosts. Ages
// instead of times make it independent of synchronized clocks.
struct PartMark {
  PartEvidence evidence = PartEvidence::kCrash;
  Fingerprint part = 0;
  // Crashes only: the endpoint that crashed.
  std::string endpoint;
  // Time since the crash, the start of the sound run or of the trial, or the
  // first crash that the verdict is based on.
  common::Duration age{0};
  // Crashes only: time since the latest of the requests was sent, their number,
  // and the host that counted them.
  common::Duration sent_age{0};
  uint32_t requests = 0;
  uint64_t reporter = 0;

  friend bool operator==(const PartMark&, const PartMark&) = default;
};

struct PartSuspectOptions {
  // Identifies this host in the marks of its crashes.
  uint64_t reporter = 0;
  // Whether an endpoint keeps its name when it restarts, so that crashes of one
  // name are told apart by their times.
  bool endpoint_names_recur = true;
  // A part is blocked after this many independent crashes without a sound run
  // since the first.
  size_t blocking_crashes = 3;
  // Time between the last of these crashes and the verdict, in which other
  // hosts can report sound runs.
  common::Duration verdict_delay = std::chrono::milliseconds(500);
  // How long a part stays blocked. After that, its next crash blocks it again,
  // for twice the time.
  common::Duration block_time = std::chrono::minutes(30);
  // How long crashes and sound runs are remembered.
  common::Duration evidence_lifetime = std::chrono::minutes(10);
  size_t max_parts = 2048;
};

// Detects prompt parts that crash each endpoint that begins to answer them, in
// whatever request they occur. Requests with a blocked part are refused.
//
// A crash affects many requests, and most parts of these are sound. A sound
// part is told from the cause by its answers, by the crashes without it, and by
// the number of its requests: among the parts that reach the number of crashes,
// the one with the most crashes and the fewest requests for each is blocked,
// and the crashes in which it was in flight no longer count for
// other parts. Crashes at the same time count once, so that the loss of many
// endpoints at once blocks nothing: two crashes are independent if a request
// was sent between them, or after some time.
//
// Parts that were in flight at the same crashes are blocked together: only
// requests with all of them are refused. What the others show tells the parts
// apart. A sound run lifts the verdict on its parts, and the next crash puts
// the verdict on the parts that were in flight again into force alone.
//
// A sound run with a blocked part that began after the first of its crashes
// lifts the verdict. Where all requests have the part, none can come any more,
// so single requests are sent as a trial, of which all hosts tell each other. A
// verdict has no effect while another blocked part was in flight at all of its
// crashes and explains them better; the next crash without that part puts it
// into force again.
//
// Evidence is merged from all hosts. Not thread-safe.
class PartSuspects {
 public:
  explicit PartSuspects(PartSuspectOptions options = {});

  // The endpoint crashed with these parts in flight. An endpoint that restarts
  // under the same name may crash again.
  void OnEndpointCrash(std::string_view endpoint,
                       std::span<const PartInFlight> parts,
                       common::TimePoint now);
  // A run with these parts, which began at `started_at`, was answered
  // completely.
  void OnSound(std::span<const Fingerprint> parts,
               common::TimePoint started_at,
               common::TimePoint now);
  // Returns the index of the first part for which a request with these parts
  // must be refused; nullopt if it may be sent.
  std::optional<size_t> FindBlocked(std::span<const Fingerprint> parts,
                                    common::TimePoint now) const;
  // Whether a request with these parts, which must be refused, may be sent all
  // the same, once and to one endpoint, to test the verdict. True only if its
  // outcome will concern one blocked part, and if nothing else shows that the
  // part is or is not the cause.
  bool MayBeTrial(std::span<const Fingerprint> parts,
                  common::TimePoint now) const;
  // The same for a request that is about to be sent. If true, the trial has
  // begun.
  bool TakeTrial(std::span<const Fingerprint> parts, common::TimePoint now);
  // Number of hosts that may send trials.
  void SetHostCount(size_t count) { this->host_count = count; }
  // Decides on the parts whose verdict is due; called periodically.
  void Tick(common::TimePoint now);

  // Crashes at which a blocked part was in flight.
  std::vector<EndpointCrash> ExplainedCrashes() const;

  // The evidence of this host and all verdicts, to be sent to the other hosts;
  // the most important first.
  std::vector<PartMark> Marks(common::TimePoint now);
  // Adds the evidence of another host. Known marks have no effect.
  void Merge(std::span<const PartMark> marks, common::TimePoint now);
  // Returns whether Marks() has changed in a way that other hosts must learn
  // of, and resets this state.
  bool TakeChanged();
  // Parts for which requests are refused now.
  size_t CountBlocked(common::TimePoint now) const;

 private:
  struct Crash {
    std::string endpoint;
    common::TimePoint at;
    common::TimePoint sent_at;
    // Number of requests in flight, by the host that counted them.
    std::map<uint64_t, uint32_t> requests;
  };
  struct Part {
    // Sorted by time.
    std::vector<Crash> crashes;
    // Start of the latest sound run, when other hosts were last told of it, and
    // the crashes reported by others that it has disproved since.
    common::TimePoint sound_at = common::TimePoint::min();
    std::optional<common::TimePoint> sound_published_at;
    size_t disproved_crashes = 0;
    // When a verdict was last lifted.
    std::optional<common::TimePoint> lifted_at;
    // When the verdict becomes due; nullopt while there are too few crashes.
    std::optional<common::TimePoint> verdict_at;
    common::TimePoint first_crash_at = common::TimePoint::min();
    common::TimePoint blocked_until = common::TimePoint::min();
    int times_blocked = 0;
    // Another blocked part is the better explanation, so requests with this one
    // are not refused.
    bool is_superseded = false;
    // Blocked parts that were in flight at the same crashes. Only requests with
    // all of them are refused.
    std::vector<Fingerprint> tied;
    // When this host may send a trial, when one was last sent by any host, and
    // how many there were since the verdict.
    common::TimePoint trial_at = common::TimePoint::max();
    common::TimePoint last_trial_at = common::TimePoint::min();
    int trials = 0;
    common::TimePoint changed_at;
  };
  using PartMap = std::unordered_map<Fingerprint, Part>;

  bool IsSameCrash(const Crash& a, const Crash& b) const;
  static bool IsBlockedAt(const Part& part, common::TimePoint now) {
    return now < part.blocked_until;
  }
  // Whether requests with the part and those tied to it are refused.
  static bool IsRefusedAt(const Part& part, common::TimePoint now) {
    return IsBlockedAt(part, now) && !part.is_superseded;
  }
  static bool HoldsAll(std::span<const Fingerprint> requested,
                       const std::vector<Fingerprint>& parts);
  Part& PartOf(Fingerprint fingerprint, common::TimePoint now);
  void AddCrash(Fingerprint fingerprint,
                const Crash& crash,
                common::TimePoint now);
  // Records the start of a sound run. Removes the crashes before it and, if it
  // shows that the verdict is wrong, the verdict.
  void ApplySound(Part& part,
                  common::TimePoint started_at,
                  common::TimePoint now);
  void ApplyVerdict(Fingerprint fingerprint,
                    Part& part,
                    common::TimePoint first_crash_at,
                    common::TimePoint now);
  bool IsOwn(const Crash& crash) const {
    return crash.requests.contains(this->options.reporter);
  }
  // How well the part explains its crashes. One request with the cause suffices
  // for each crash, while a part that many requests share is in flight several
  // times.
  double ScoreOf(const Part& part) const;
  // Independent crashes that no blocked part explains.
  size_t CountCrashes(const Part& part) const;
  // Whether this number of crashes that count suffices for a verdict. After a
  // former verdict has expired, the first crash does.
  bool HasEnoughCrashes(const Part& part, size_t count) const;
  // Whether a blocked part was in flight at the crash.
  bool IsExplained(const Crash& crash) const;
  void AddExplained(const Crash& crash);
  void Evaluate(common::TimePoint now);
  void Block(Fingerprint fingerprint, Part& part, common::TimePoint now);
  static void Lift(Part& part, common::TimePoint now);
  // Another host, or this one, began a trial.
  void ApplyTrial(Fingerprint fingerprint,
                  Part& part,
                  common::TimePoint began_at);
  // Sets when this host may send the next trial, some time after `since`. The
  // hosts take different times, so that rarely more than one begins it.
  void ScheduleTrial(Fingerprint fingerprint,
                     Part& part,
                     common::TimePoint since);
  // Lets the other hosts know of the sound run.
  void PublishSound(Part& part, common::TimePoint now);
  bool IsSoundPublished(const Part& part, common::TimePoint now) const;
  // Whether `cause` was in flight at all crashes of `other`, and explains them
  // better.
  bool Supersedes(const Part& cause, const Part& other) const;
  // Whether `cause` was in flight at all crashes of `other`.
  bool Explains(const Part& cause, const Part& other) const;
  // Whether nothing tells the two blocked parts apart.
  bool AreTied(const Part& a, const Part& b) const;
  // Decides which verdicts are in force, alone or together.
  void UpdateBlocked(common::TimePoint now);
  void CollectExplained(common::TimePoint now);
  void Expire(common::TimePoint now);

  PartSuspectOptions options;
  size_t host_count = 1;
  PartMap parts;
  // Crashes at which a blocked part was in flight, by endpoint.
  std::multimap<std::string, Crash, std::less<>> explained;
  bool is_changed = false;
  // Sound runs are recorded only for some time after a crash and while there
  // are verdicts, of which a host may know without the crashes.
  common::TimePoint last_crash_at = common::TimePoint::min();
  common::TimePoint verdicts_until = common::TimePoint::min();
  common::TimePoint expired_at;
};

}  // namespace jujuberock::suspects

#endif  // CORE_SUSPECTS_PART_SUSPECTS_H_
