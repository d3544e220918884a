#include "world.h"

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
    {"ask", "head_read", "takeover_write", "intent_write", "grant", "forward",
     "run", "answer", "outcome", "outcome_write", "outcome_reply"});
const common::NameTable<Fault, kFaults> kFaultNames(
    {"host_crash", "owner_crash", "host_pause", "owner_pause", "short_outage",
     "long_outage", "lost", "reply_lost", "late_effect", "delayed",
     "duplicated", "split_view", "same_key", "clock_ahead", "cut"});

namespace {

constexpr Duration kRestart = seconds(3);
constexpr Duration kPause = seconds(4);
constexpr Duration kDetection = seconds(1);
constexpr Duration kPlatformTimeout = milliseconds(500);
constexpr Duration kLateEffect = milliseconds(1500);
constexpr Duration kLateMessage = milliseconds(2500);
constexpr Duration kCallerTimeout = seconds(3);
constexpr Duration kResend = milliseconds(700);
constexpr Duration kPatience = seconds(2);
constexpr size_t kOwner = 0;

std::string WithoutFloor(std::string body) {
  const std::string field = "\"floor\":";
  const size_t start = body.find(field);
  if (start == std::string::npos)
    return body;
  const size_t value = start + field.size();
  const size_t end = body.find_first_of(",}", value);
  return body.replace(value, end - value, "0");
}

bool Settles(ResultCode code) {
  return code == ResultCode::kOk || code == ResultCode::kAnswerNotStored ||
         code == ResultCode::kIdempotencyKeyReused ||
         code == ResultCode::kIssueTimeTooOld;
}

}  // namespace

struct World::Caller {
  std::string key;
  size_t host = 0;
  TimePoint until;
  uint64_t sends = 0;
  bool done = false;
};

World::World(WorldOptions options)
    : options(std::move(options)),
      timers(UnixTime(hours(24 * 365 * 50))),
      random(this->options.seed),
      hosts(kHosts) {
  this->journal.shards = 2;
  this->journal.head_bytes = this->options.head_bytes;
  this->journal.index_segments = 3;
  for (size_t i = 0; i < kHosts; ++i) {
    this->hosts[i].id = std::string(1, static_cast<char>('a' + i));
    this->Start(i);
  }
}

World::~World() = default;

UnixTime World::WallOf(size_t host) const {
  return this->timers.WallNow() +
         std::chrono::duration_cast<milliseconds>(this->hosts[host].skew);
}

Duration World::Delay() {
  if (!this->options.jitter)
    return milliseconds(2);
  return Duration(200 + static_cast<int64_t>(this->random.Below(
                            this->random.Below(8) == 0 ? 400'000 : 8'000)));
}

void World::After(Duration delay, std::function<void()> run) {
  this->pending.push_back(this->timers.At(
      this->now() + delay, [run = std::move(run)](TimePoint) { run(); }));
}

void World::OnHost(size_t host, Use use) {
  Host& target = this->hosts[host];
  if (!target.node)
    return;
  if (target.paused) {
    target.kept.push_back([this, host, use] { this->OnHost(host, use); });
    return;
  }
  use(*target.node);
  this->Drain(host);
}

void World::At(size_t host, int start, Use use) {
  if (this->hosts[host].start == start)
    this->OnHost(host, std::move(use));
}

void World::Start(size_t host) {
  Host& target = this->hosts[host];
  ++target.start;
  target.sent.clear();
  target.skew = Duration(0);
  target.armed.reset();
  target.node = std::make_unique<Node>(
      this->journal, target.id, std::to_string(target.start),
      [this, host](ShardId shard) { return this->Order(host, shard); });
}

void World::Crash(size_t host) {
  Host& target = this->hosts[host];
  if (!target.node)
    return;
  // The node may be in the middle of a call; it is destroyed afterwards.
  std::shared_ptr<Node> dying = std::move(target.node);
  ++target.start;
  target.kept.clear();
  target.paused = false;
  target.seen_dead = this->now() + kDetection;
  this->After(Duration(0), [dying] {});
  this->After(kRestart, [this, host] { this->Start(host); });
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

void World::Pause(size_t host) {
  Host& target = this->hosts[host];
  if (!target.node || target.paused)
    return;
  target.paused = true;
  this->After(kPause, [this, host, start = target.start] {
    Host& resumed = this->hosts[host];
    if (resumed.start != start)
      return;
    resumed.paused = false;
    for (auto& run : std::exchange(resumed.kept, {}))
      run();
  });
}

void World::Arm(size_t host) {
  Host& target = this->hosts[host];
  const std::optional<TimePoint> wake = target.node->NextWake();
  if (!wake || (target.armed && *target.armed <= *wake))
    return;
  target.armed = *wake;
  const Duration delay = std::max(Duration(1), *wake - this->now());
  this->After(delay, [this, host, due = *wake, start = target.start] {
    this->At(host, start, [this, host, due](Node& node) {
      if (this->hosts[host].armed == due)
        this->hosts[host].armed.reset();
      node.OnTick(this->now(), this->WallOf(host));
    });
  });
}

std::vector<HostId> World::Order(size_t viewer, ShardId /*shard*/) const {
  std::vector<HostId> order;
  const size_t first = this->split_view ? viewer : kOwner;
  for (size_t i = 0; i < kHosts; ++i) {
    const Host& host = this->hosts[(first + i) % kHosts];
    const bool seen = host.node || this->now() < host.seen_dead;
    if (seen && this->Reachable(viewer, this->IndexOf(host.id)))
      order.push_back(host.id);
  }
  return order;
}

size_t World::IndexOf(const HostId& id) const {
  return static_cast<size_t>(id[0] - 'a');
}

bool World::Reachable(size_t from, size_t to) const {
  return !this->cut || (from == kOwner) == (to == kOwner);
}

World::Strike World::Reach(Step step, size_t actor) {
  Strike strike;
  const int occurrence = this->reached[step]++;
  for (const PlannedFault& fault : this->options.plan) {
    if (fault.step == step && fault.occurrence == occurrence)
      this->Apply(fault, actor, strike);
  }
  return strike;
}

void World::Apply(const PlannedFault& fault, size_t actor, Strike& strike) {
  ++this->faults_struck;
  switch (fault.fault) {
    case Fault::kHostCrash:
      this->Crash(1);
      break;
    case Fault::kOwnerCrash:
      this->Crash(kOwner);
      break;
    case Fault::kHostPause:
      this->Pause(1);
      break;
    case Fault::kOwnerPause:
      this->Pause(kOwner);
      break;
    case Fault::kShortOutage:
      this->outage_end = this->now() + seconds(1);
      break;
    case Fault::kLongOutage:
      this->outage_end = this->now() + seconds(6);
      break;
    case Fault::kLost:
      strike.lost = true;
      break;
    case Fault::kReplyLost:
      strike.reply_lost = true;
      break;
    case Fault::kLateEffect:
      strike.late_effect = true;
      break;
    case Fault::kDelayed:
      strike.delayed = true;
      break;
    case Fault::kDuplicated:
      strike.duplicated = true;
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
      this->hosts[kOwner].skew = hours(25);
      break;
    case Fault::kCut:
      this->cut = true;
      this->After(seconds(5), [this] { this->cut = false; });
      break;
  }
}

void World::Drain(size_t host) {
  const int start = this->hosts[host].start;
  // A fault that strikes on the way may end or pause the host.
  auto each = [&](auto& items, auto perform) {
    for (auto& item : items) {
      if (this->hosts[host].start == start)
        perform(item);
    }
  };
  while (this->hosts[host].node && !this->hosts[host].paused &&
         !this->hosts[host].node->Quiet()) {
    NodeActions actions = this->hosts[host].node->Take();
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
         [&](CallHandle handle) { this->Query(host, handle); });
  }
  if (this->hosts[host].node)
    this->Arm(host);
}

void World::SendPermit(size_t from, SendPermitAction send) {
  const int start = this->hosts[from].start;
  const CallHandle handle = std::stoull(
      send.request.call_id.substr(send.request.call_id.rfind('/') + 1));
  if (!this->options.mechanisms.bound_permits)
    send.request.call_id = "shared/" + send.request.key.key;
  const size_t to = this->IndexOf(send.to);
  auto reply = [=, this](const PermitReply& permit) {
    if (!this->Reachable(from, to))
      return;
    this->At(from, start, [=, this](Node& node) {
      const bool again = permit.verdict == PermitVerdict::kGranted &&
                         this->hosts[from].sent.contains(handle);
      if (again && !this->options.mechanisms.single_use)
        this->RunAtService(from, start, handle);
      node.OnPermitReply(send.ask, permit, this->now(), this->WallOf(from));
    });
  };
  auto deliver = [=, this] {
    if (!this->Reachable(from, to))
      return;
    this->OnHost(to, [=, this](Node& node) {
      const ReplyTo id = this->next_reply++;
      this->permit_waiters[id] = {to, reply};
      node.OnPermitMessage(send.request, id, this->now(), this->WallOf(to));
    });
  };
  const Strike strike = this->Reach(Step::kAsk, from);
  if (!strike.lost)
    this->After(this->Delay() + (strike.delayed ? kLateMessage : Duration(0)),
                deliver);
  if (strike.duplicated)
    this->After(seconds(1), deliver);
  // A closed port answers at once, a silent host not at all.
  const bool refused = !this->hosts[to].node;
  this->After(refused ? this->Delay() : this->journal.ask_timeout, [=, this] {
    this->At(from, start, [=, this](Node& node) {
      node.OnPermitReply(send.ask, {}, this->now(), this->WallOf(from));
    });
  });
}

void World::ReplyPermit(size_t owner, PermitReplyAction action) {
  auto waiter = this->permit_waiters.extract(action.to);
  if (!waiter)
    return;
  Strike strike;
  if (action.reply.verdict == PermitVerdict::kGranted)
    strike = this->Reach(Step::kGrant, owner);
  if (strike.lost || !this->hosts[owner].node)
    return;
  auto run = [reply = waiter.mapped().reply, permit = action.reply] {
    reply(permit);
  };
  // A paused owner sends its reply once it runs again.
  auto send = [=, this, start = this->hosts[owner].start] {
    this->At(owner, start, [=, this](Node&) {
      this->After(this->Delay() + (strike.delayed ? kLateMessage : Duration(0)),
                  run);
      if (strike.duplicated)
        this->After(seconds(1), run);
    });
  };
  this->After(Duration(0), send);
}

void World::GrantWithoutCommit(size_t owner) {
  std::vector<std::function<void(const PermitReply&)>> replies;
  std::erase_if(this->permit_waiters, [&](const auto& item) {
    if (item.second.owner != owner)
      return false;
    replies.push_back(item.second.reply);
    return true;
  });
  PermitReply granted;
  granted.verdict = PermitVerdict::kGranted;
  for (auto& reply : replies)
    this->After(this->Delay(), [reply, granted] { reply(granted); });
}

void World::SendOutcomes(size_t from, SendOutcomesAction send) {
  const int start = this->hosts[from].start;
  if (!this->options.mechanisms.bound_permits) {
    for (OutcomeReport& report : send.request.outcomes)
      report.call_id = "shared/" + report.key.key;
  }
  const size_t to = this->IndexOf(send.to);
  auto reply = [=, this](std::optional<OutcomeReply> outcome) {
    if (outcome && !this->Reachable(from, to))
      return;
    this->At(from, start, [=, this](Node& node) {
      node.OnOutcomeReply(send.ask, outcome, this->now(), this->WallOf(from));
    });
  };
  auto deliver = [=, this] {
    if (!this->Reachable(from, to))
      return;
    this->OnHost(to, [=, this](Node& node) {
      const ReplyTo id = this->next_reply++;
      this->outcome_waiters[id] = [=, this](const OutcomeReply& outcome) {
        const Strike strike = this->Reach(Step::kOutcomeReply, to);
        if (strike.lost)
          return;
        const Duration late = strike.delayed ? kLateMessage : Duration(0);
        this->After(this->Delay() + late, [=] { reply(outcome); });
        if (strike.duplicated)
          this->After(seconds(1), [=] { reply(outcome); });
      };
      node.OnOutcomeMessage(send.request, id, this->now(), this->WallOf(to));
    });
  };
  const Strike strike = this->Reach(Step::kOutcome, from);
  if (!strike.lost)
    this->After(this->Delay() + (strike.delayed ? kLateMessage : Duration(0)),
                deliver);
  if (strike.duplicated)
    this->After(seconds(1), deliver);
  this->After(this->journal.outcome_delay + this->journal.ask_timeout,
              [=] { reply(std::nullopt); });
}

void World::Read(size_t host, ReadAction read) {
  const int start = this->hosts[host].start;
  Strike strike;
  if (ShardOfObject(read.name) == ShardOf({"team", "key-0"}, 2) &&
      read.name.find('.') == std::string::npos) {
    const ShardOwner* owner =
        this->hosts[host].node->FindOwner(*ShardOfObject(read.name));
    if (owner && !owner->active())
      strike = this->Reach(Step::kHeadRead, host);
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
    this->At(host, start, [=, this](Node& node) {
      node.OnReadReply(read.name, ok, object, this->now(), this->WallOf(host));
    });
  };
  if (strike.lost || strike.reply_lost) {
    this->After(kPlatformTimeout, [=] { answer(false); });
    return;
  }
  this->After(this->Delay() + (strike.delayed ? kLateEffect : Duration(0)),
              [=, this] { answer(!this->PlatformDown()); });
}

std::optional<Step> World::StepOf(const WriteAction& write) const {
  const CallKey key{"team", "key-0"};
  if (write.name != HeadName(ShardOf(key, this->journal.shards)))
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

platform::WriteResult World::ApplyWrite(const WriteAction& write) {
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
  object.version = ++this->counter;
  object.body = write.body;
  object.token = write.token;
  this->objects[write.name] = object;
  result.state = WriteState::kWritten;
  result.version = object.version;
  return result;
}

void World::Write(size_t host, WriteAction write) {
  const int start = this->hosts[host].start;
  const std::optional<Step> step = this->StepOf(write);
  const Strike strike = step ? this->Reach(*step, host) : Strike();
  if (step == Step::kIntentWrite && !this->options.mechanisms.commit_first)
    this->GrantWithoutCommit(host);
  auto answer = [=, this](platform::WriteResult result) {
    if (result.state == WriteState::kUnknown &&
        !this->options.mechanisms.read_back) {
      result.state = WriteState::kWritten;
      auto found = this->objects.find(write.name);
      result.version = found == this->objects.end() ? 0 : found->second.version;
    }
    this->At(host, start, [=, this](Node& node) {
      node.OnWriteReply(write.name, write.token, result, this->now(),
                        this->WallOf(host));
    });
  };
  const bool unanswered =
      strike.lost || strike.reply_lost || strike.late_effect;
  if (unanswered)
    this->After(kPlatformTimeout, [=] { answer({}); });
  if (strike.lost)
    return;
  Duration delay = this->Delay();
  if (strike.late_effect || strike.delayed)
    delay += kLateEffect;
  this->After(delay, [=, this] {
    platform::WriteResult result;
    result.state = WriteState::kRejected;
    if (!this->PlatformDown())
      result = this->ApplyWrite(write);
    if (!unanswered)
      this->After(this->Delay(), [=] { answer(result); });
  });
  if (strike.duplicated)
    this->After(seconds(1), [=, this] { this->ApplyWrite(write); });
}

void World::Forward(size_t host, CallHandle handle) {
  const int start = this->hosts[host].start;
  const Strike strike = this->Reach(Step::kForward, host);
  const Duration late = strike.delayed ? kLateMessage : Duration(0);
  this->After(this->Delay() + late, [=, this] {
    this->At(host, start, [=, this](Node& node) {
      if (strike.lost)
        node.OnConnectionLost(handle, ResultCode::kEndpointFailed, this->now(),
                              this->WallOf(host));
      else
        this->Exchange(host, handle);
    });
  });
}

void World::Exchange(size_t host, CallHandle handle) {
  Host& sender = this->hosts[host];
  if (this->options.mechanisms.first_byte &&
      !sender.node->OnFirstByteWritten(handle))
    return;
  sender.sent.insert(handle);
  this->RunAtService(host, sender.start, handle);
}

void World::RunAtService(size_t host, int start, CallHandle handle) {
  const std::string key = this->FindAttempt(host, start, handle)->key.key;
  const Strike run = this->Reach(Step::kRun, host);
  // The connection breaks long before delayed bytes arrive.
  if (run.lost || run.delayed)
    this->After(this->Delay(),
                [=, this] { this->LoseConnection(host, start, handle); });
  if (run.lost)
    return;
  this->After(
      this->Delay() + (run.delayed ? kLateMessage : Duration(0)), [=, this] {
        ++this->FindAttempt(host, start, handle)->executions;
        const int count = ++this->executions[key];
        const std::string body = key + "/" + std::to_string(count);
        if (count > 1 && this->violation.empty())
          this->violation = key + " ran twice";
        this->executed.emplace(key, body);
        if (run.delayed)
          return;
        const Strike strike = this->Reach(Step::kAnswer, host);
        if (strike.lost) {
          this->After(this->Delay(),
                      [=, this] { this->LoseConnection(host, start, handle); });
          return;
        }
        const Duration late = strike.delayed ? kLateMessage : Duration(0);
        this->After(this->Delay() + late, [=, this] {
          this->At(host, start, [=, this](Node& node) {
            if (!this->options.mechanisms.first_byte)
              (void)node.OnFirstByteWritten(handle);
            node.OnAnswer(handle, MakeAnswer(200, "text/plain", body),
                          this->now(), this->WallOf(host));
          });
        });
      });
}

void World::LoseConnection(size_t host, int start, CallHandle handle) {
  this->At(host, start, [=, this](Node& node) {
    if (!this->options.mechanisms.no_resend) {
      this->RunAtService(host, start, handle);
      return;
    }
    node.OnConnectionLost(handle, ResultCode::kEndpointFailed, this->now(),
                          this->WallOf(host));
  });
}

void World::Query(size_t host, CallHandle handle) {
  const int start = this->hosts[host].start;
  const std::string key = this->FindAttempt(host, start, handle)->key.key;
  this->After(this->Delay(), [=, this] {
    auto found = this->executed.find(key);
    const bool done = found != this->executed.end();
    const SavedAnswer answer =
        done ? MakeAnswer(200, "text/plain", found->second) : SavedAnswer();
    this->At(host, start, [=, this](Node& node) {
      node.OnServiceState(handle,
                          done ? ServiceState::kDone : ServiceState::kAbsent,
                          answer, this->now(), this->WallOf(host));
    });
  });
}

void World::StartCaller(const std::string& key,
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

void World::SendCall(const std::shared_ptr<Caller>& caller) {
  if (caller->done || this->now() >= caller->until)
    return;
  const uint64_t send = ++caller->sends;
  const size_t host = caller->host++ % kHosts;
  if (!this->hosts[host].node) {
    this->After(milliseconds(100), [this, caller] { this->SendCall(caller); });
    return;
  }
  CallRequest request;
  request.key = {"team", caller->key};
  request.issued =
      this->issued.emplace(caller->key, this->timers.WallNow()).first->second;
  request.request_hash =
      HashRequest("POST", "/pay", caller->key, request.issued);
  this->OnHost(host, [=, this](Node& node) {
    CallRequest now_request = request;
    now_request.deadline = this->now() + kPatience;
    // The node may answer at once, so the attempt is known before that.
    const CallHandle handle =
        node.StartCall(now_request, this->options.status_call, this->now(),
                       this->WallOf(host));
    this->attempts.push_back(
        {request.key, host, handle, this->hosts[host].start, std::nullopt, 0});
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

Attempt* World::FindAttempt(size_t host, int start, CallHandle handle) {
  auto found = std::find_if(this->attempts.rbegin(), this->attempts.rend(),
                            [&](const Attempt& item) {
                              return item.host == host && item.start == start &&
                                     item.handle == handle;
                            });
  return found == this->attempts.rend() ? nullptr : &*found;
}

void World::OnAnswered(size_t host,
                       CallHandle handle,
                       const CallResult& result) {
  Attempt* attempt = this->FindAttempt(host, this->hosts[host].start, handle);
  attempt->result = result;
  this->Check(*attempt);
  auto waiter = this->waiting.extract(std::make_pair(host, handle));
  if (!waiter)
    return;
  auto caller = waiter.mapped();
  ++caller->sends;
  caller->done = Settles(result.code);
  this->After(kResend, [this, caller] { this->SendCall(caller); });
}

void World::Check(const Attempt& attempt) {
  const std::string& key = attempt.key.key;
  const CallResult& result = *attempt.result;
  const std::string name(common::InfoOf(result.code).name);
  auto break_promise = [&](const std::string& text) {
    if (this->violation.empty())
      this->violation = key + ": " + text + " (" + name + ")";
  };
  if (result.outcome == Outcome::kNotRun && attempt.executions > 0)
    break_promise("told not run, but it ran");
  // These refusals come from the record of the key, or from a permit that
  // kept all others out, so they speak for every send of the call.
  const bool speaks_for_key = result.code != ResultCode::kJournalUnavailable &&
                              result.code != ResultCode::kIssueTimeTooOld;
  if (result.outcome == Outcome::kNotRun && speaks_for_key &&
      this->Executions(key) > 0)
    break_promise("told not run, but an earlier send ran");
  if (result.code == ResultCode::kOk &&
      (!this->executed.contains(key) ||
       this->executed[key] != result.answer.body))
    break_promise("told another answer than the service gave");
}

void World::Run(Duration until) {
  this->timers.AdvanceTo(TimePoint(until));
}

std::string World::Violation() const {
  if (!this->violation.empty())
    return this->violation;
  for (const Attempt& attempt : this->attempts) {
    if (attempt.result && attempt.result->outcome == Outcome::kNotRun &&
        attempt.executions > 0)
      return attempt.key.key + " ran after it was told not run";
  }
  return {};
}

std::optional<CallResult> World::LastResult(const std::string& key) const {
  for (auto it = this->attempts.rbegin(); it != this->attempts.rend(); ++it) {
    if (it->key.key == key && it->result)
      return it->result;
  }
  return std::nullopt;
}

int World::Executions(const std::string& key) const {
  auto found = this->executions.find(key);
  return found == this->executions.end() ? 0 : found->second;
}

Term World::Takeovers() const {
  Term total = 0;
  for (ShardId shard = 0; shard < this->journal.shards; ++shard) {
    auto found = this->objects.find(HeadName(shard));
    if (found != this->objects.end())
      total += ParseHead(found->second.body).head.term;
  }
  return total;
}

}  // namespace jujuberock::journal
