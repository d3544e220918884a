#include "simulation.h"

#include <algorithm>
#include <utility>

namespace jujuberock::journal {

using common::Duration;
using common::Outcome;
using common::ResultCode;
using common::TimePoint;
using common::UnixTime;
using platform::WriteState;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const common::NameTable<Step, kSteps> kStepNames(
    {"permit_request", "head_read", "takeover_write", "intent_write", "grant",
     "forward", "run", "answer", "outcome", "outcome_write", "outcome_reply"});
const common::NameTable<Fault, kFaults> kFaultNames(
    {"host_crash", "owner_crash", "host_pause", "owner_pause", "short_outage",
     "long_outage", "lost", "reply_lost", "late_effect", "delayed",
     "duplicated", "split_view", "same_key", "clock_ahead", "partition"});

namespace {

constexpr Duration kRestartDelay = seconds(3);
constexpr Duration kPauseTime = seconds(4);
constexpr Duration kDetectionDelay = seconds(1);
constexpr Duration kPlatformTimeout = milliseconds(500);
constexpr Duration kLateEffectDelay = milliseconds(1500);
constexpr Duration kLateMessageDelay = milliseconds(2500);
constexpr Duration kCallerTimeout = seconds(3);
constexpr Duration kResendDelay = milliseconds(700);
constexpr Duration kCallTimeout = seconds(2);
constexpr size_t kOwnerHost = 0;

std::string WithoutFloor(std::string body) {
  const std::string field = "\"floor\":";
  const size_t position = body.find(field);
  if (position == std::string::npos)
    return body;
  const size_t value = position + field.size();
  const size_t end = body.find_first_of(",}", value);
  return body.replace(value, end - value, "0");
}

bool IsFinal(ResultCode code) {
  return code == ResultCode::kOk || code == ResultCode::kAnswerNotStored ||
         code == ResultCode::kIdempotencyKeyReused ||
         code == ResultCode::kIssueTimeTooOld;
}

}  // namespace

struct Simulation::Caller {
  std::string key;
  size_t host = 0;
  TimePoint until;
  uint64_t sends = 0;
  bool done = false;
};

Simulation::Simulation(SimulationOptions options)
    : options(std::move(options)),
      timers(UnixTime(hours(24 * 365 * 50))),
      random(this->options.seed),
      hosts(kHosts) {
  this->journal_options.shards = 2;
  this->journal_options.seal_threshold_bytes =
      this->options.seal_threshold_bytes;
  this->journal_options.segments_per_index = 3;
  for (size_t i = 0; i < kHosts; ++i) {
    this->hosts[i].id = std::string(1, static_cast<char>('a' + i));
    this->Start(i);
  }
}

Simulation::~Simulation() = default;

UnixTime Simulation::WallOf(size_t host) const {
  return this->timers.WallNow() +
         std::chrono::duration_cast<milliseconds>(this->hosts[host].clock_skew);
}

Duration Simulation::Delay() {
  if (!this->options.jitter)
    return milliseconds(2);
  return Duration(200 + static_cast<int64_t>(this->random.NextBelow(
                            this->random.NextBelow(8) == 0 ? 400'000 : 8'000)));
}

void Simulation::After(Duration delay, std::function<void()> run) {
  this->pending.push_back(this->timers.At(
      this->now() + delay, [run = std::move(run)](TimePoint) { run(); }));
}

void Simulation::OnHost(size_t host, JournalCallback callback) {
  Host& target = this->hosts[host];
  if (!target.journal)
    return;
  if (target.paused) {
    target.deferred_work.push_back(
        [this, host, callback] { this->OnHost(host, callback); });
    return;
  }
  callback(*target.journal);
  this->PerformActions(host);
}

void Simulation::OnSameIncarnation(size_t host,
                                   int incarnation,
                                   JournalCallback callback) {
  if (this->hosts[host].incarnation == incarnation)
    this->OnHost(host, std::move(callback));
}

void Simulation::Start(size_t host) {
  Host& target = this->hosts[host];
  ++target.incarnation;
  target.sent_calls.clear();
  target.clock_skew = Duration(0);
  target.armed_for.reset();
  target.journal = std::make_unique<HostJournal>(
      this->journal_options, target.id, std::to_string(target.incarnation),
      [this, host](ShardId shard) { return this->LiveHostOrder(host, shard); });
}

void Simulation::Crash(size_t host) {
  Host& target = this->hosts[host];
  if (!target.journal)
    return;
  // The journal may be executing on the call stack, so it is destroyed later.
  std::shared_ptr<HostJournal> crashed = std::move(target.journal);
  ++target.incarnation;
  target.deferred_work.clear();
  target.paused = false;
  target.failure_detected_at = this->now() + kDetectionDelay;
  this->After(Duration(0), [crashed] {});
  this->After(kRestartDelay, [this, host] { this->Start(host); });
  for (auto it = this->waiting.begin(); it != this->waiting.end();) {
    if (it->first.first != host) {
      ++it;
      continue;
    }
    auto caller = it->second;
    it = this->waiting.erase(it);
    this->After(milliseconds(100), [this, caller] { this->SendCall(caller); });
  }
}

void Simulation::Pause(size_t host) {
  Host& target = this->hosts[host];
  if (!target.journal || target.paused)
    return;
  target.paused = true;
  this->After(kPauseTime, [this, host, incarnation = target.incarnation] {
    Host& resumed = this->hosts[host];
    if (resumed.incarnation != incarnation)
      return;
    resumed.paused = false;
    for (auto& run : std::exchange(resumed.deferred_work, {}))
      run();
  });
}

void Simulation::ArmTimer(size_t host) {
  Host& target = this->hosts[host];
  const std::optional<TimePoint> wakeup = target.journal->NextWakeup();
  if (!wakeup || (target.armed_for && *target.armed_for <= *wakeup))
    return;
  target.armed_for = *wakeup;
  const Duration delay = std::max(Duration(1), *wakeup - this->now());
  this->After(delay,
              [this, host, due = *wakeup, incarnation = target.incarnation] {
                this->OnSameIncarnation(
                    host, incarnation, [this, host, due](HostJournal& journal) {
                      if (this->hosts[host].armed_for == due)
                        this->hosts[host].armed_for.reset();
                      journal.OnTick(this->now(), this->WallOf(host));
                    });
              });
}

std::vector<HostId> Simulation::LiveHostOrder(size_t viewer,
                                              ShardId /*shard*/) const {
  std::vector<HostId> order;
  const size_t first = this->split_view ? viewer : kOwnerHost;
  for (size_t i = 0; i < kHosts; ++i) {
    const Host& host = this->hosts[(first + i) % kHosts];
    const bool seen = host.journal || this->now() < host.failure_detected_at;
    if (seen && this->Reachable(viewer, this->IndexOf(host.id)))
      order.push_back(host.id);
  }
  return order;
}

size_t Simulation::IndexOf(const HostId& id) const {
  return static_cast<size_t>(id[0] - 'a');
}

bool Simulation::Reachable(size_t from, size_t to) const {
  return !this->partitioned || (from == kOwnerHost) == (to == kOwnerHost);
}

Simulation::FaultEffect Simulation::OnStep(Step step, size_t actor) {
  FaultEffect effect;
  const int occurrence = this->step_counts[step]++;
  for (const PlannedFault& fault : this->options.plan) {
    if (fault.step == step && fault.occurrence == occurrence)
      this->ApplyFault(fault, actor, effect);
  }
  return effect;
}

void Simulation::ApplyFault(const PlannedFault& fault,
                            size_t actor,
                            FaultEffect& effect) {
  ++this->applied_fault_count;
  switch (fault.fault) {
    case Fault::kHostCrash:
      this->Crash(1);
      break;
    case Fault::kOwnerCrash:
      this->Crash(kOwnerHost);
      break;
    case Fault::kHostPause:
      this->Pause(1);
      break;
    case Fault::kOwnerPause:
      this->Pause(kOwnerHost);
      break;
    case Fault::kShortOutage:
      this->outage_end = this->now() + seconds(1);
      break;
    case Fault::kLongOutage:
      this->outage_end = this->now() + seconds(6);
      break;
    case Fault::kLost:
      effect.lost = true;
      break;
    case Fault::kReplyLost:
      effect.reply_lost = true;
      break;
    case Fault::kLateEffect:
      effect.late_effect = true;
      break;
    case Fault::kDelayed:
      effect.delayed = true;
      break;
    case Fault::kDuplicated:
      effect.duplicated = true;
      break;
    case Fault::kSplitView:
      this->split_view = true;
      this->After(seconds(5), [this] { this->split_view = false; });
      break;
    case Fault::kSameKey:
      this->StartCaller("key-0", (actor + 1) % kHosts, Duration(0),
                        seconds(30));
      break;
    case Fault::kClockAhead:
      this->hosts[kOwnerHost].clock_skew = hours(25);
      break;
    case Fault::kPartition:
      this->partitioned = true;
      this->After(seconds(5), [this] { this->partitioned = false; });
      break;
  }
}

void Simulation::PerformActions(size_t host) {
  const int incarnation = this->hosts[host].incarnation;
  // A fault injected meanwhile may stop or pause the host.
  auto each = [&](auto& items, auto perform) {
    for (auto& item : items) {
      if (this->hosts[host].incarnation == incarnation)
        perform(item);
    }
  };
  while (this->hosts[host].journal && !this->hosts[host].paused &&
         !this->hosts[host].journal->HasNoActions()) {
    HostActions actions = this->hosts[host].journal->TakeActions();
    each(actions.answers, [&](const auto& answer) {
      this->OnAnswered(host, answer.first, answer.second);
    });
    each(actions.writes, [&](const auto& write) { this->Write(host, write); });
    each(actions.reads, [&](const auto& read) { this->Read(host, read); });
    each(actions.deletes, [&](const auto& name) { this->objects.erase(name); });
    each(actions.permits,
         [&](const auto& send) { this->SendPermit(host, send); });
    each(actions.outcomes,
         [&](const auto& send) { this->SendOutcomes(host, send); });
    each(actions.permit_replies,
         [&](const auto& reply) { this->ReplyPermit(host, reply); });
    each(actions.outcome_replies, [&](const auto& reply) {
      auto waiter = this->outcome_waiters.extract(reply.to);
      if (waiter)
        waiter.mapped()(reply.reply);
    });
    each(actions.forwards,
         [&](CallHandle handle) { this->Forward(host, handle); });
    each(actions.status_queries,
         [&](CallHandle handle) { this->QueryServiceStatus(host, handle); });
  }
  if (this->hosts[host].journal)
    this->ArmTimer(host);
}

void Simulation::SendPermit(size_t from, SendPermitAction send) {
  const int incarnation = this->hosts[from].incarnation;
  const CallHandle handle = std::stoull(
      send.request.call_id.substr(send.request.call_id.rfind('/') + 1));
  if (!this->options.mechanisms.bound_permits)
    send.request.call_id = "shared/" + send.request.key.key;
  const size_t to = this->IndexOf(send.to);
  auto reply = [=, this](const PermitReply& permit) {
    if (!this->Reachable(from, to))
      return;
    this->OnSameIncarnation(from, incarnation, [=, this](HostJournal& journal) {
      const bool again = permit.decision == PermitDecision::kGranted &&
                         this->hosts[from].sent_calls.contains(handle);
      if (again && !this->options.mechanisms.single_use)
        this->ExecuteAtService(from, incarnation, handle);
      journal.OnPermitReply(send.message_id, permit, this->now(),
                            this->WallOf(from));
    });
  };
  auto deliver = [=, this] {
    if (!this->Reachable(from, to))
      return;
    this->OnHost(to, [=, this](HostJournal& journal) {
      const ReplyTo id = this->next_reply++;
      this->permit_waiters[id] = {to, reply};
      journal.OnPermitMessage(send.request, id, this->now(), this->WallOf(to));
    });
  };
  const FaultEffect effect = this->OnStep(Step::kPermitRequest, from);
  if (!effect.lost)
    this->After(
        this->Delay() + (effect.delayed ? kLateMessageDelay : Duration(0)),
        deliver);
  if (effect.duplicated)
    this->After(seconds(1), deliver);
  // A closed port refuses at once; an unresponsive host never replies.
  const bool refused = !this->hosts[to].journal;
  this->After(refused ? this->Delay() : this->journal_options.reply_timeout,
              [=, this] {
                this->OnSameIncarnation(
                    from, incarnation, [=, this](HostJournal& journal) {
                      journal.OnPermitReply(send.message_id, {}, this->now(),
                                            this->WallOf(from));
                    });
              });
}

void Simulation::ReplyPermit(size_t owner, PermitReplyAction action) {
  auto waiter = this->permit_waiters.extract(action.to);
  if (!waiter)
    return;
  FaultEffect effect;
  if (action.reply.decision == PermitDecision::kGranted)
    effect = this->OnStep(Step::kGrant, owner);
  if (effect.lost || !this->hosts[owner].journal)
    return;
  auto run = [reply = waiter.mapped().reply, permit = action.reply] {
    reply(permit);
  };
  // A paused owner sends its reply after it resumes.
  auto send = [=, this, incarnation = this->hosts[owner].incarnation] {
    this->OnSameIncarnation(owner, incarnation, [=, this](HostJournal&) {
      this->After(
          this->Delay() + (effect.delayed ? kLateMessageDelay : Duration(0)),
          run);
      if (effect.duplicated)
        this->After(seconds(1), run);
    });
  };
  this->After(Duration(0), send);
}

void Simulation::GrantWithoutCommit(size_t owner) {
  std::vector<std::function<void(const PermitReply&)>> replies;
  std::erase_if(this->permit_waiters, [&](const auto& item) {
    if (item.second.owner != owner)
      return false;
    replies.push_back(item.second.reply);
    return true;
  });
  PermitReply granted;
  granted.decision = PermitDecision::kGranted;
  for (auto& reply : replies)
    this->After(this->Delay(), [reply, granted] { reply(granted); });
}

void Simulation::SendOutcomes(size_t from, SendOutcomesAction send) {
  const int incarnation = this->hosts[from].incarnation;
  if (!this->options.mechanisms.bound_permits) {
    for (OutcomeReport& report : send.request.outcomes)
      report.call_id = "shared/" + report.key.key;
  }
  const size_t to = this->IndexOf(send.to);
  auto reply = [=, this](std::optional<OutcomeReply> outcome) {
    if (outcome && !this->Reachable(from, to))
      return;
    this->OnSameIncarnation(from, incarnation, [=, this](HostJournal& journal) {
      journal.OnOutcomeReply(send.message_id, outcome, this->now(),
                             this->WallOf(from));
    });
  };
  auto deliver = [=, this] {
    if (!this->Reachable(from, to))
      return;
    this->OnHost(to, [=, this](HostJournal& journal) {
      const ReplyTo id = this->next_reply++;
      this->outcome_waiters[id] = [=, this](const OutcomeReply& outcome) {
        const FaultEffect effect = this->OnStep(Step::kOutcomeReply, to);
        if (effect.lost)
          return;
        const Duration late = effect.delayed ? kLateMessageDelay : Duration(0);
        this->After(this->Delay() + late, [=] { reply(outcome); });
        if (effect.duplicated)
          this->After(seconds(1), [=] { reply(outcome); });
      };
      journal.OnOutcomeMessage(send.request, id, this->now(), this->WallOf(to));
    });
  };
  const FaultEffect effect = this->OnStep(Step::kOutcome, from);
  if (!effect.lost)
    this->After(
        this->Delay() + (effect.delayed ? kLateMessageDelay : Duration(0)),
        deliver);
  if (effect.duplicated)
    this->After(seconds(1), deliver);
  this->After(
      this->journal_options.outcome_delay + this->journal_options.reply_timeout,
      [=] { reply(std::nullopt); });
}

void Simulation::Read(size_t host, ReadAction read) {
  const int incarnation = this->hosts[host].incarnation;
  FaultEffect effect;
  if (ShardOfObject(read.name) == ShardOf({"team", "key-0"}, 2) &&
      read.name.find('.') == std::string::npos) {
    const ShardOwner* owner =
        this->hosts[host].journal->FindOwner(*ShardOfObject(read.name));
    if (owner && !owner->active())
      effect = this->OnStep(Step::kHeadRead, host);
  }
  auto answer = [=, this](bool ok) {
    std::optional<platform::Object> object;
    auto found = this->objects.find(read.name);
    if (ok && found != this->objects.end())
      object = found->second;
    if (object && !this->options.mechanisms.stored_floor)
      object->body = WithoutFloor(object->body);
    const bool segment = read.name.find('.') != std::string::npos;
    if (object && segment && !this->options.mechanisms.sealed_search)
      object->body = read.name.find(".i") != std::string::npos
                         ? RenderIndex({})
                         : RenderSegment("");
    this->OnSameIncarnation(host, incarnation, [=, this](HostJournal& journal) {
      journal.OnReadReply(read.name, ok, object, this->now(),
                          this->WallOf(host));
    });
  };
  if (effect.lost || effect.reply_lost) {
    this->After(kPlatformTimeout, [=] { answer(false); });
    return;
  }
  this->After(this->Delay() + (effect.delayed ? kLateEffectDelay : Duration(0)),
              [=, this] { answer(!this->PlatformDown()); });
}

std::optional<Step> Simulation::StepOf(const WriteAction& write) const {
  const CallKey key{"team", "key-0"};
  if (write.name != HeadName(ShardOf(key, this->journal_options.shards)))
    return std::nullopt;
  auto state_in = [&](const HeadContent& content) {
    for (const Record& record : content.records) {
      if (record.key == key)
        return static_cast<int>(record.state);
    }
    return -1;
  };
  const HeadContent written = ParseHead(write.body);
  HeadContent stored;
  auto found = this->objects.find(write.name);
  if (found != this->objects.end())
    stored = ParseHead(found->second.body);
  if (written.head.term > stored.head.term)
    return Step::kTakeoverWrite;
  if (state_in(written) == state_in(stored))
    return std::nullopt;
  return state_in(written) == static_cast<int>(RecordState::kGranted)
             ? Step::kIntentWrite
             : Step::kOutcomeWrite;
}

platform::WriteResult Simulation::ApplyWrite(const WriteAction& write) {
  platform::WriteResult result;
  auto found = this->objects.find(write.name);
  const bool exists = found != this->objects.end();
  const platform::Version current = exists ? found->second.version : 0;
  if (current != write.expected &&
      this->options.mechanisms.conditional_writes) {
    result.state = WriteState::kConflict;
    if (exists)
      result.current = found->second;
    return result;
  }
  platform::Object object;
  object.kind = "journal";
  object.name = write.name;
  object.version = ++this->last_version;
  object.body = write.body;
  object.token = write.token;
  this->objects[write.name] = object;
  result.state = WriteState::kWritten;
  result.version = object.version;
  return result;
}

void Simulation::Write(size_t host, WriteAction write) {
  const int incarnation = this->hosts[host].incarnation;
  const std::optional<Step> step = this->StepOf(write);
  const FaultEffect effect = step ? this->OnStep(*step, host) : FaultEffect();
  if (step == Step::kIntentWrite && !this->options.mechanisms.commit_first)
    this->GrantWithoutCommit(host);
  auto answer = [=, this](platform::WriteResult result) {
    if (result.state == WriteState::kUnknown &&
        !this->options.mechanisms.read_back) {
      result.state = WriteState::kWritten;
      auto found = this->objects.find(write.name);
      result.version = found == this->objects.end() ? 0 : found->second.version;
    }
    this->OnSameIncarnation(host, incarnation, [=, this](HostJournal& journal) {
      journal.OnWriteReply(write.name, write.token, result, this->now(),
                           this->WallOf(host));
    });
  };
  const bool unanswered =
      effect.lost || effect.reply_lost || effect.late_effect;
  if (unanswered)
    this->After(kPlatformTimeout, [=] { answer({}); });
  if (effect.lost)
    return;
  Duration delay = this->Delay();
  if (effect.late_effect || effect.delayed)
    delay += kLateEffectDelay;
  this->After(delay, [=, this] {
    platform::WriteResult result;
    result.state = WriteState::kRejected;
    if (!this->PlatformDown())
      result = this->ApplyWrite(write);
    if (!unanswered)
      this->After(this->Delay(), [=] { answer(result); });
  });
  if (effect.duplicated)
    this->After(seconds(1), [=, this] { this->ApplyWrite(write); });
}

void Simulation::Forward(size_t host, CallHandle handle) {
  const int incarnation = this->hosts[host].incarnation;
  const FaultEffect effect = this->OnStep(Step::kForward, host);
  const Duration late = effect.delayed ? kLateMessageDelay : Duration(0);
  this->After(this->Delay() + late, [=, this] {
    this->OnSameIncarnation(host, incarnation, [=, this](HostJournal& journal) {
      if (effect.lost)
        journal.OnConnectionLost(handle, ResultCode::kEndpointFailed,
                                 this->now(), this->WallOf(host));
      else
        this->Exchange(host, handle);
    });
  });
}

void Simulation::Exchange(size_t host, CallHandle handle) {
  Host& sender = this->hosts[host];
  if (this->options.mechanisms.first_byte &&
      !sender.journal->OnFirstByteWritten(handle))
    return;
  sender.sent_calls.insert(handle);
  this->ExecuteAtService(host, sender.incarnation, handle);
}

void Simulation::ExecuteAtService(size_t host,
                                  int incarnation,
                                  CallHandle handle) {
  const std::string key = this->FindAttempt(host, incarnation, handle)->key.key;
  const FaultEffect run = this->OnStep(Step::kRun, host);
  // The connection is lost long before delayed bytes arrive.
  if (run.lost || run.delayed)
    this->After(this->Delay(),
                [=, this] { this->LoseConnection(host, incarnation, handle); });
  if (run.lost)
    return;
  this->After(
      this->Delay() + (run.delayed ? kLateMessageDelay : Duration(0)),
      [=, this] {
        ++this->FindAttempt(host, incarnation, handle)->executions;
        const int count = ++this->executions[key];
        const std::string body = key + "/" + std::to_string(count);
        if (count > 1 && this->violation.empty())
          this->violation = key + " ran twice";
        this->executed.emplace(key, body);
        if (run.delayed)
          return;
        const FaultEffect effect = this->OnStep(Step::kAnswer, host);
        if (effect.lost) {
          this->After(this->Delay(), [=, this] {
            this->LoseConnection(host, incarnation, handle);
          });
          return;
        }
        const Duration late = effect.delayed ? kLateMessageDelay : Duration(0);
        this->After(this->Delay() + late, [=, this] {
          this->OnSameIncarnation(
              host, incarnation, [=, this](HostJournal& journal) {
                if (!this->options.mechanisms.first_byte)
                  (void)journal.OnFirstByteWritten(handle);
                journal.OnAnswer(handle, MakeAnswer(200, "text/plain", body),
                                 this->now(), this->WallOf(host));
              });
        });
      });
}

void Simulation::LoseConnection(size_t host,
                                int incarnation,
                                CallHandle handle) {
  this->OnSameIncarnation(host, incarnation, [=, this](HostJournal& journal) {
    if (!this->options.mechanisms.no_resend) {
      this->ExecuteAtService(host, incarnation, handle);
      return;
    }
    journal.OnConnectionLost(handle, ResultCode::kEndpointFailed, this->now(),
                             this->WallOf(host));
  });
}

void Simulation::QueryServiceStatus(size_t host, CallHandle handle) {
  const int incarnation = this->hosts[host].incarnation;
  const std::string key = this->FindAttempt(host, incarnation, handle)->key.key;
  this->After(this->Delay(), [=, this] {
    auto found = this->executed.find(key);
    const bool done = found != this->executed.end();
    const SavedAnswer answer =
        done ? MakeAnswer(200, "text/plain", found->second) : SavedAnswer();
    this->OnSameIncarnation(host, incarnation, [=, this](HostJournal& journal) {
      journal.OnServiceCallState(
          handle, done ? ServiceCallState::kDone : ServiceCallState::kAbsent,
          answer, this->now(), this->WallOf(host));
    });
  });
}

void Simulation::StartCaller(const std::string& key,
                             size_t host,
                             Duration at,
                             Duration until) {
  auto caller = std::make_shared<Caller>();
  caller->key = key;
  caller->host = host;
  caller->until = TimePoint(until);
  this->callers.push_back(caller);
  this->After(at, [this, caller] { this->SendCall(caller); });
}

void Simulation::SendCall(const std::shared_ptr<Caller>& caller) {
  if (caller->done || this->now() >= caller->until)
    return;
  const uint64_t send = ++caller->sends;
  const size_t host = caller->host++ % kHosts;
  if (!this->hosts[host].journal) {
    this->After(milliseconds(100), [this, caller] { this->SendCall(caller); });
    return;
  }
  CallRequest request;
  request.key = {"team", caller->key};
  request.issued =
      this->issued.emplace(caller->key, this->timers.WallNow()).first->second;
  request.request_hash =
      HashRequest("POST", "/pay", caller->key, request.issued);
  this->OnHost(host, [=, this](HostJournal& journal) {
    CallRequest timed_request = request;
    timed_request.deadline = this->now() + kCallTimeout;
    // Records the attempt before the results of StartCall() are performed.
    const CallHandle handle =
        journal.StartCall(timed_request, this->options.status_call, this->now(),
                          this->WallOf(host));
    this->attempts.push_back({request.key, host, handle,
                              this->hosts[host].incarnation, std::nullopt, 0});
    this->waiting[{host, handle}] = caller;
  });
  this->After(kCallerTimeout, [=, this] {
    if (caller->sends != send)
      return;
    std::erase_if(this->waiting,
                  [&](const auto& item) { return item.second == caller; });
    this->SendCall(caller);
  });
}

Attempt* Simulation::FindAttempt(size_t host,
                                 int incarnation,
                                 CallHandle handle) {
  auto found = std::find_if(
      this->attempts.rbegin(), this->attempts.rend(), [&](const Attempt& item) {
        return item.host == host && item.incarnation == incarnation &&
               item.handle == handle;
      });
  return found == this->attempts.rend() ? nullptr : &*found;
}

void Simulation::OnAnswered(size_t host,
                            CallHandle handle,
                            const CallResult& result) {
  Attempt* attempt =
      this->FindAttempt(host, this->hosts[host].incarnation, handle);
  attempt->result = result;
  this->CheckResult(*attempt);
  auto waiter = this->waiting.extract(std::make_pair(host, handle));
  if (!waiter)
    return;
  auto caller = waiter.mapped();
  ++caller->sends;
  caller->done = IsFinal(result.code);
  this->After(kResendDelay, [this, caller] { this->SendCall(caller); });
}

void Simulation::CheckResult(const Attempt& attempt) {
  const std::string& key = attempt.key.key;
  const CallResult& result = *attempt.result;
  const std::string name(common::InfoOf(result.code).name);
  auto report_violation = [&](const std::string& text) {
    if (this->violation.empty())
      this->violation = key + ": " + text + " (" + name + ")";
  };
  if (result.outcome == Outcome::kNotRun && attempt.executions > 0)
    report_violation("reported as not run, but it ran");
  // Other refusals come from the record of the key, or from a permit that
  // excluded all other sends, so they hold for every send of the call.
  const bool covers_all_attempts =
      result.code != ResultCode::kJournalUnavailable &&
      result.code != ResultCode::kIssueTimeTooOld;
  if (result.outcome == Outcome::kNotRun && covers_all_attempts &&
      this->Executions(key) > 0)
    report_violation("reported as not run, but an earlier send ran");
  if (result.code == ResultCode::kOk &&
      (!this->executed.contains(key) ||
       this->executed[key] != result.answer.body))
    report_violation("returned an answer that differs from the service's");
}

void Simulation::Run(Duration until) {
  this->timers.AdvanceTo(TimePoint(until));
}

std::string Simulation::Violation() const {
  if (!this->violation.empty())
    return this->violation;
  for (const Attempt& attempt : this->attempts) {
    if (attempt.result && attempt.result->outcome == Outcome::kNotRun &&
        attempt.executions > 0)
      return attempt.key.key + " ran after it was reported as not run";
  }
  return {};
}

std::optional<CallResult> Simulation::LastResult(const std::string& key) const {
  for (auto it = this->attempts.rbegin(); it != this->attempts.rend(); ++it) {
    if (it->key.key == key && it->result)
      return it->result;
  }
  return std::nullopt;
}

int Simulation::Executions(const std::string& key) const {
  auto found = this->executions.find(key);
  return found == this->executions.end() ? 0 : found->second;
}

Term Simulation::Takeovers() const {
  Term total = 0;
  for (ShardId shard = 0; shard < this->journal_options.shards; ++shard) {
    auto found = this->objects.find(HeadName(shard));
    if (found != this->objects.end())
      total += ParseHead(found->second.body).head.term;
  }
  return total;
}

}  // namespace jujuberock::journal
