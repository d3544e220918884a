#ifndef UNIT_TESTS_CORE_JOURNAL_WORLD_H_
#define UNIT_TESTS_CORE_JOURNAL_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/common/name_table.h"
#include "core/common/random.h"
#include "core/common/timer_service.h"
#include "core/journal/node.h"

namespace jujuberock::journal {

// Steps of one call at which a fault can strike, in their usual order.
enum class Step {
  kAsk,
  kHeadRead,
  kTakeoverWrite,
  kIntentWrite,
  kGrant,
  kForward,
  kRun,
  kAnswer,
  kOutcome,
  kOutcomeWrite,
  kOutcomeReply,
};
inline constexpr size_t kSteps = 11;

enum class Fault {
  kHostCrash,   // the host that the caller asked; it restarts 3 s later
  kOwnerCrash,  // the owner of the shard
  kHostPause,   // for 4 s, with everything that arrives kept
  kOwnerPause,
  kShortOutage,  // of the platform, 1 s: within the caller's patience
  kLongOutage,   // of the platform, 6 s: past the caller's patience
  kLost,         // the message or request of this step never arrives
  kReplyLost,    // it takes effect and its reply is lost
  kLateEffect,   // its reply is lost and it takes effect 1.5 s later
  kDelayed,      // it arrives 2.5 s late
  kDuplicated,   // it arrives twice, the second time 1 s later
  kSplitView,    // every host believes that it is the owner
  kSameKey,      // the same call arrives at another host at this moment
  kClockAhead,   // the owner's wall clock jumps 25 h ahead
  kCut,          // the owner and the other hosts lose each other for 5 s
};
inline constexpr size_t kFaults = 15;

extern const common::NameTable<Step, kSteps> kStepNames;
extern const common::NameTable<Fault, kFaults> kFaultNames;

// The mechanisms that the guarantees rest on. The production code has no such
// switches: the world around it behaves as if one were missing.
struct Mechanisms {
  bool conditional_writes = true;  // the platform compares versions
  bool read_back = true;           // a lost answer is not taken for success
  bool single_use = true;          // a second grant is not used
  bool no_resend = true;           // nothing is sent again after a first byte
  bool commit_first = true;        // grants wait for the commit
  bool bound_permits = true;       // a permit names the call that may use it
  bool first_byte = true;          // the first byte is reported
  bool stored_floor = true;        // the retention floor is stored
  bool sealed_search = true;       // sealed segments are searched
};

struct PlannedFault {
  Fault fault;
  Step step;
  int occurrence = 0;  // strikes when the step occurs for this time
};

struct WorldOptions {
  uint64_t seed = 1;
  bool jitter = false;
  bool status_call = false;
  size_t head_bytes = 64 * 1024;
  Mechanisms mechanisms;
  std::vector<PlannedFault> plan;
};

// One send of a caller and what came of it.
struct Attempt {
  CallKey key;
  size_t host = 0;
  CallHandle handle = 0;
  int start = 0;
  std::optional<CallResult> result;
  int executions = 0;
};

// Three hosts, a platform and a plain service on one manual timer service.
class World {
 public:
  static constexpr size_t kHosts = 3;

  explicit World(WorldOptions options);
  ~World();

  // A caller that sends the call and sends it again at the next host after a
  // lost connection or an answer that settles nothing, until `until`.
  void StartCaller(const std::string& key,
                   size_t host,
                   common::Duration at,
                   common::Duration until);
  void Run(common::Duration until);

  // A description of the first broken promise; empty when all were kept.
  std::string Violation() const;
  // What the callers of this key were told last.
  std::optional<CallResult> LastResult(const std::string& key) const;
  int Executions(const std::string& key) const;
  // Takeovers of all shards so far.
  Term Takeovers() const;
  // Planned faults that struck.
  size_t struck() const { return this->faults_struck; }

 private:
  struct Host {
    HostId id;
    std::unique_ptr<Node> node;
    int start = 0;
    bool paused = false;
    common::Duration skew{0};
    common::TimePoint seen_dead;
    std::deque<std::function<void()>> kept;
    std::set<CallHandle> sent;
    std::optional<common::TimePoint> armed;
  };
  struct PermitWaiter {
    size_t owner = 0;
    std::function<void(const PermitReply&)> reply;
  };
  struct Strike {
    bool lost = false;
    bool reply_lost = false;
    bool late_effect = false;
    bool delayed = false;
    bool duplicated = false;
  };
  using Use = std::function<void(Node&)>;

  common::TimePoint now() const { return this->timers.Now(); }
  common::UnixTime WallOf(size_t host) const;
  common::Duration Delay();
  void After(common::Duration delay, std::function<void()> run);
  // Runs `use` on the host's node unless it crashed since; later if paused.
  void OnHost(size_t host, Use use);
  void At(size_t host, int start, Use use);
  void Start(size_t host);
  void Crash(size_t host);
  void Pause(size_t host);
  void Arm(size_t host);
  std::vector<HostId> Order(size_t viewer, ShardId shard) const;
  size_t IndexOf(const HostId& id) const;

  Strike Reach(Step step, size_t actor);
  void Apply(const PlannedFault& fault, size_t actor, Strike& strike);

  void Drain(size_t host);
  void SendPermit(size_t from, SendPermitAction send);
  void SendOutcomes(size_t from, SendOutcomesAction send);
  void ReplyPermit(size_t owner, PermitReplyAction action);
  void GrantWithoutCommit(size_t owner);
  void Read(size_t host, ReadAction read);
  void Write(size_t host, WriteAction write);
  platform::WriteResult ApplyWrite(const WriteAction& write);
  std::optional<Step> StepOf(const WriteAction& write) const;
  bool Reachable(size_t from, size_t to) const;
  bool PlatformDown() const { return this->now() < this->outage_end; }
  void Forward(size_t host, CallHandle handle);
  void Exchange(size_t host, CallHandle handle);
  void RunAtService(size_t host, int start, CallHandle handle);
  void LoseConnection(size_t host, int start, CallHandle handle);
  void Query(size_t host, CallHandle handle);

  struct Caller;
  void SendCall(const std::shared_ptr<Caller>& caller);
  void OnAnswered(size_t host, CallHandle handle, const CallResult& result);
  void Check(const Attempt& attempt);
  Attempt* FindAttempt(size_t host, int start, CallHandle handle);

  WorldOptions options;
  Options journal;
  common::ManualTimerService timers;
  std::vector<common::TimerSubscription> pending;
  common::Random random;
  std::vector<Host> hosts;
  std::map<std::string, platform::Object> objects;
  platform::Version counter = 0;
  common::TimePoint outage_end;
  bool split_view = false;
  bool cut = false;
  std::map<Step, int> reached;
  size_t faults_struck = 0;

  ReplyTo next_reply = 1;
  std::map<ReplyTo, PermitWaiter> permit_waiters;
  std::map<ReplyTo, std::function<void(const OutcomeReply&)>> outcome_waiters;
  std::map<std::string, std::string> executed;  // key -> answer body
  std::map<std::string, int> executions;        // by key
  std::map<std::string, common::UnixTime> issued;
  std::deque<Attempt> attempts;
  std::vector<std::shared_ptr<Caller>> callers;
  // Callers whose attempt is open, by host and handle.
  std::map<std::pair<size_t, CallHandle>, std::shared_ptr<Caller>> waiting;
  std::string violation;
};

}  // namespace jujuberock::journal

#endif  // UNIT_TESTS_CORE_JOURNAL_WORLD_H_
