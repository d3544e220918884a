#ifndef UNIT_TESTS_CORE_JOURNAL_SIMULATION_H_
#define UNIT_TESTS_CORE_JOURNAL_SIMULATION_H_

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
#include "core/journal/host_journal.h"

namespace jujuberock::journal {

// Steps of a call at which a fault can be injected, in their usual order.
enum class Step {
  kPermitRequest,
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
  kHostCrash,   // the host that received the call; it restarts 3 s later
  kOwnerCrash,  // the owner of the shard
  kHostPause,   // for 4 s; arriving messages are delivered afterwards
  kOwnerPause,
  kShortOutage,  // of the platform, 1 s: shorter than the call's deadline
  kLongOutage,   // of the platform, 6 s: longer than the call's deadline
  kLost,         // the message or request of this step never arrives
  kReplyLost,    // the step takes effect and its reply is lost
  kLateEffect,   // the reply is lost and the step takes effect 1.5 s later
  kDelayed,      // it arrives 2.5 s late
  kDuplicated,   // it arrives twice, the second time 1 s later
  kSplitView,    // every host considers itself the owner
  kSameKey,      // the same call arrives at another host at the same time
  kClockAhead,   // the owner's wall clock jumps 25 h ahead
  kPartition,    // the owner can not reach the other hosts for 5 s
};
inline constexpr size_t kFaults = 15;

extern const common::NameTable<Step, kSteps> kStepNames;
extern const common::NameTable<Fault, kFaults> kFaultNames;

// The mechanisms that the guarantees depend on. The production code has no such
// switches; the simulation behaves as if a disabled mechanism were missing.
struct Mechanisms {
  bool conditional_writes = true;  // the platform compares versions
  bool read_back = true;           // a lost reply is not treated as success
  bool single_use = true;          // a second grant is not used
  bool no_resend = true;           // nothing is resent after the first byte
  bool commit_first = true;        // grants wait for the commit
  bool bound_permits = true;       // a permit is bound to one call
  bool first_byte = true;          // the first byte is reported
  bool stored_floor = true;        // the retention floor is stored
  bool sealed_search = true;       // sealed segments are searched
};

struct PlannedFault {
  Fault fault;
  Step step;
  int occurrence = 0;  // zero-based occurrence of the step to inject at
};

struct SimulationOptions {
  uint64_t seed = 1;
  bool jitter = false;
  bool status_call = false;
  size_t seal_threshold_bytes = 64 * 1024;
  Mechanisms mechanisms;
  std::vector<PlannedFault> plan;
};

// One send of a caller and its result.
struct Attempt {
  CallKey key;
  size_t host = 0;
  CallHandle handle = 0;
  int incarnation = 0;
  std::optional<CallResult> result;
  int executions = 0;
};

// Simulates three hosts, a platform and a plain service in virtual time.
class Simulation {
 public:
  static constexpr size_t kHosts = 3;

  explicit Simulation(SimulationOptions options);
  ~Simulation();

  // Starts a caller that sends the call and, until `until`, resends it to the
  // next host after a lost connection or a result that is not final.
  void StartCaller(const std::string& key,
                   size_t host,
                   common::Duration at,
                   common::Duration until);
  void Run(common::Duration until);

  // Description of the first violated guarantee; empty if there is none.
  std::string Violation() const;
  // The last result returned to a caller of this key.
  std::optional<CallResult> LastResult(const std::string& key) const;
  int Executions(const std::string& key) const;
  // Number of takeovers of all shards so far.
  Term Takeovers() const;
  // Number of planned faults that were injected.
  size_t applied_faults() const { return this->applied_fault_count; }

 private:
  struct Host {
    HostId id;
    std::unique_ptr<HostJournal> journal;
    int incarnation = 0;
    bool paused = false;
    common::Duration clock_skew{0};
    common::TimePoint failure_detected_at;
    std::deque<std::function<void()>> deferred_work;
    std::set<CallHandle> sent_calls;
    std::optional<common::TimePoint> armed_for;
  };
  struct PermitWaiter {
    size_t owner = 0;
    std::function<void(const PermitReply&)> reply;
  };
  struct FaultEffect {
    bool lost = false;
    bool reply_lost = false;
    bool late_effect = false;
    bool delayed = false;
    bool duplicated = false;
  };
  using JournalCallback = std::function<void(HostJournal&)>;

  common::TimePoint now() const { return this->timers.Now(); }
  common::UnixTime WallOf(size_t host) const;
  common::Duration Delay();
  void After(common::Duration delay, std::function<void()> run);
  // Runs `callback` on the host's journal: at once, after a pause, or not at
  // all if the host is down.
  void OnHost(size_t host, JournalCallback callback);
  // Like OnHost(), but does nothing if the host has crashed or restarted since.
  void OnSameIncarnation(size_t host,
                         int incarnation,
                         JournalCallback callback);
  void Start(size_t host);
  void Crash(size_t host);
  void Pause(size_t host);
  void ArmTimer(size_t host);
  std::vector<HostId> LiveHostOrder(size_t viewer, ShardId shard) const;
  size_t IndexOf(const HostId& id) const;

  FaultEffect OnStep(Step step, size_t actor);
  void ApplyFault(const PlannedFault& fault, size_t actor, FaultEffect& effect);

  void PerformActions(size_t host);
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
  void ExecuteAtService(size_t host, int incarnation, CallHandle handle);
  void LoseConnection(size_t host, int incarnation, CallHandle handle);
  void QueryServiceStatus(size_t host, CallHandle handle);

  struct Caller;
  void SendCall(const std::shared_ptr<Caller>& caller);
  void OnAnswered(size_t host, CallHandle handle, const CallResult& result);
  void CheckResult(const Attempt& attempt);
  Attempt* FindAttempt(size_t host, int incarnation, CallHandle handle);

  SimulationOptions options;
  Options journal_options;
  common::ManualTimerService timers;
  std::vector<common::TimerSubscription> pending;
  common::Random random;
  std::vector<Host> hosts;
  std::map<std::string, platform::Object> objects;
  platform::Version last_version = 0;
  common::TimePoint outage_end;
  bool split_view = false;
  bool partitioned = false;
  std::map<Step, int> step_counts;
  size_t applied_fault_count = 0;

  ReplyTo next_reply = 1;
  std::map<ReplyTo, PermitWaiter> permit_waiters;
  std::map<ReplyTo, std::function<void(const OutcomeReply&)>> outcome_waiters;
  std::map<std::string, std::string> executed;  // key -> answer body
  std::map<std::string, int> executions;        // by key
  std::map<std::string, common::UnixTime> issued;
  std::deque<Attempt> attempts;
  std::vector<std::shared_ptr<Caller>> callers;
  // Callers with an attempt in progress, by host and handle.
  std::map<std::pair<size_t, CallHandle>, std::shared_ptr<Caller>> waiting;
  std::string violation;
};

}  // namespace jujuberock::journal

#endif  // UNIT_TESTS_CORE_JOURNAL_SIMULATION_H_
