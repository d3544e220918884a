#include "core/journal/service.h"

#include <glog/logging.h>

#include <atomic>
#include <deque>
#include <future>
#include <map>
#include <thread>
#include <utility>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/mutex.hpp>

#include "core/common/error.h"
#include "core/common/random.h"
#include "core/journal/codec.h"
#include "core/journal/node.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::journal {

using common::Error;
using common::ResultCode;
using common::TimePoint;
using common::UnixTime;

namespace {

// How much longer a handler waits than the host that asked, which has given
// up by then.
constexpr common::Duration kHandlerGrace = std::chrono::milliseconds(100);
constexpr common::Duration kStopPoll = std::chrono::milliseconds(5);
constexpr common::Duration kClosePoll = std::chrono::milliseconds(1);

// What wakes the fiber of a call.
struct CallEvent {
  enum class Kind { kForward, kQueryStatus, kAnswer };
  Kind kind;
  CallResult result;
};

class CallWaiter {
 public:
  void Push(CallEvent event) {
    std::unique_lock lock(this->mutex);
    this->events.push_back(std::move(event));
    this->arrived.notify_one();
  }

  CallEvent Wait() {
    std::unique_lock lock(this->mutex);
    this->arrived.wait(lock, [this] { return !this->events.empty(); });
    CallEvent event = std::move(this->events.front());
    this->events.pop_front();
    return event;
  }

 private:
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable arrived;
  std::deque<CallEvent> events;
};

// Counts what still uses the dependencies of the service.
class Operation {
 public:
  explicit Operation(std::atomic<size_t>& count) : count(count) {
    ++this->count;
  }
  ~Operation() { --this->count; }
  Operation(const Operation&) = delete;
  Operation& operator=(const Operation&) = delete;

 private:
  std::atomic<size_t>& count;
};

std::string Incarnation() {
  return std::to_string(common::EntropySeed());
}

}  // namespace

class Service::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(Options options,
       HostId host,
       Store& store,
       Transport& transport,
       common::TimerService& timers,
       HostOrder hosts,
       common::CounterRegistry& counters)
      : options(options),
        store(store),
        transport(transport),
        timers(timers),
        counters(counters),
        permit_wait(counters.GetHistogram("journal_permit_seconds")),
        owned_shards(counters.GetGauge("journal_owned_shards")),
        unconfirmed(counters.GetGauge("journal_unconfirmed_outcomes")),
        lost_messages(counters.GetCounter("journal_lost_messages_total")),
        node(this->options, std::move(host), Incarnation(), std::move(hosts)) {}

  CallResult Execute(const CallRequest& request,
                     const Forward& forward,
                     const QueryStatus& query_status) {
    if (this->stopping) {
      CallResult refusal;
      refusal.code = ResultCode::kStopping;
      refusal.outcome = common::Outcome::kNotRun;
      return refusal;
    }
    const TimePoint started = this->timers.Now();
    auto waiter = std::make_shared<CallWaiter>();
    CallHandle handle = 0;
    this->Update([&](TimePoint now, UnixTime wall) {
      handle =
          this->node.StartCall(request, query_status != nullptr, now, wall);
      this->waiters[handle] = waiter;
    });
    while (true) {
      CallEvent event = waiter->Wait();
      switch (event.kind) {
        case CallEvent::Kind::kForward:
          this->permit_wait.Observe(this->timers.Now() - started);
          this->RunForward(handle, forward);
          break;
        case CallEvent::Kind::kQueryStatus:
          this->RunQuery(handle, query_status);
          break;
        case CallEvent::Kind::kAnswer:
          this->CountCall(event.result.code);
          return std::move(event.result);
      }
    }
  }

  std::string HandlePermit(std::string_view body) {
    this->RequireOpen();
    const PermitRequest request = DecodePermitRequest(body);
    return this->Answer<PermitReply>(
        this->permit_waiters, this->options.ask_timeout + kHandlerGrace,
        [&](ReplyTo to, TimePoint now, UnixTime wall) {
          this->node.OnPermitMessage(request, to, now, wall);
        });
  }

  std::string HandleOutcome(std::string_view body) {
    this->RequireOpen();
    const OutcomeRequest request = DecodeOutcomeRequest(body);
    return this->Answer<OutcomeReply>(
        this->outcome_waiters,
        this->options.outcome_delay + this->options.ask_timeout + kHandlerGrace,
        [&](ReplyTo to, TimePoint now, UnixTime wall) {
          this->node.OnOutcomeMessage(request, to, now, wall);
        });
  }

  void Stop(common::Duration limit) {
    if (runtime::WorkerPool::CurrentWorker()) {
      this->StopOnWorker(limit);
      return;
    }
    std::promise<void> stopped;
    const common::TimerSubscription start =
        this->timers.At(this->timers.Now(), [&](TimePoint) {
          this->StopOnWorker(limit);
          stopped.set_value();
        });
    stopped.get_future().wait();
  }

  void StopOnWorker(common::Duration limit) {
    this->stopping = true;
    const TimePoint end = this->timers.Now() + limit;
    this->Update([&](TimePoint, UnixTime) { this->node.StopTakingOver(); });
    while (this->timers.Now() < end) {
      bool settled = false;
      this->Update([&](TimePoint now, UnixTime wall) {
        this->node.Flush(now, wall);
        settled = this->node.settled();
      });
      if (settled && this->operations == 0)
        return;
      runtime::SleepFor(kStopPoll);
    }
    LOG(WARNING) << "journal: stopped before everything was confirmed";
  }

  std::string HandleMessage(std::string_view message, std::string_view body) {
    const Operation operation(this->operations);
    if (message == kPermitMessage)
      return this->HandlePermit(body);
    if (message == kOutcomeMessage)
      return this->HandleOutcome(body);
    throw Error(ResultCode::kProtocolError,
                "journal: unknown message " + std::string(message));
  }

  void Close() {
    {
      common::RankedLock lock(this->mutex);
      this->closed = true;
      this->timer.Cancel();
    }
    while (this->operations > 0)
      std::this_thread::sleep_for(kClosePoll);
  }

 private:
  template <typename Reply>
  using PromisePtr = std::shared_ptr<boost::fibers::promise<Reply>>;
  template <typename Reply>
  using Waiters = std::map<ReplyTo, PromisePtr<Reply>>;

  // What one event leads to. It is collected while the mutex is held and
  // carried out afterwards, because waking and I/O may suspend the fiber.
  struct Batch {
    NodeActions actions;
    std::vector<std::pair<std::shared_ptr<CallWaiter>, CallEvent>> events;
    std::vector<std::pair<PromisePtr<PermitReply>, PermitReply>> permits;
    std::vector<std::pair<PromisePtr<OutcomeReply>, OutcomeReply>> outcomes;
  };

  void RequireOpen() {
    common::RankedLock lock(this->mutex);
    if (this->closed)
      throw Error(ResultCode::kStopping, "journal: this host has stopped");
  }

  template <typename Event>
  void Update(Event event) {
    Batch batch;
    {
      common::RankedLock lock(this->mutex);
      if (this->closed)
        return;
      event(this->timers.Now(), this->timers.WallNow());
      batch.actions = this->node.Take();
      this->CollectEvents(batch);
      this->Arm();
      this->owned_shards.Set(static_cast<int64_t>(this->node.owned_shards()));
      this->unconfirmed.Set(
          static_cast<int64_t>(this->node.unconfirmed_outcomes()));
    }
    this->Perform(batch);
  }

  void CollectEvents(Batch& batch) {
    auto add = [&](CallHandle handle, CallEvent event) {
      auto found = this->waiters.find(handle);
      if (found == this->waiters.end())
        return;
      const bool last = event.kind == CallEvent::Kind::kAnswer;
      batch.events.emplace_back(found->second, std::move(event));
      if (last)
        this->waiters.erase(found);
    };
    for (CallHandle handle : batch.actions.forwards)
      add(handle, {CallEvent::Kind::kForward, {}});
    for (CallHandle handle : batch.actions.status_queries)
      add(handle, {CallEvent::Kind::kQueryStatus, {}});
    for (auto& [handle, result] : batch.actions.answers)
      add(handle, {CallEvent::Kind::kAnswer, std::move(result)});
    TakeWaiters(this->permit_waiters, batch.actions.permit_replies,
                batch.permits);
    TakeWaiters(this->outcome_waiters, batch.actions.outcome_replies,
                batch.outcomes);
  }

  template <typename Reply, typename ReplyAction>
  static void TakeWaiters(
      Waiters<Reply>& waiters,
      std::vector<ReplyAction>& replies,
      std::vector<std::pair<PromisePtr<Reply>, Reply>>& taken) {
    for (ReplyAction& action : replies) {
      auto found = waiters.find(action.to);
      // The handler has given up.
      if (found == waiters.end())
        continue;
      taken.emplace_back(found->second, std::move(action.reply));
      waiters.erase(found);
    }
  }

  void Perform(Batch& batch) {
    for (auto& [waiter, event] : batch.events)
      waiter->Push(std::move(event));
    for (auto& [promise, reply] : batch.permits)
      promise->set_value(std::move(reply));
    for (auto& [promise, reply] : batch.outcomes)
      promise->set_value(reply);
    NodeActions& actions = batch.actions;
    for (WriteAction& write : actions.writes)
      this->Spawn([this, write = std::move(write)] { this->DoWrite(write); });
    for (ReadAction& read : actions.reads)
      this->Spawn([this, read = std::move(read)] { this->DoRead(read); });
    for (std::string& name : actions.deletes)
      this->Spawn([this, name = std::move(name)] { this->DoDelete(name); });
    for (SendPermitAction& send : actions.permits)
      this->Spawn([this, send = std::move(send)] { this->DoAsk(send); });
    for (SendOutcomesAction& send : actions.outcomes)
      this->Spawn([this, send = std::move(send)] { this->DoReport(send); });
  }

  // The fiber keeps this object alive.
  template <typename Body>
  void Spawn(Body body) {
    auto operation = std::make_shared<Operation>(this->operations);
    runtime::SpawnHere([self = this->shared_from_this(), operation,
                        body = std::move(body)]() mutable {
      body();
      operation.reset();
    });
  }

  void DoWrite(const WriteAction& write) {
    platform::WriteResult result;
    try {
      result = this->store.Write(write.name, write.expected, write.body,
                                 write.token);
    } catch (const std::exception& error) {
      // The default state is kUnknown, which a read-back settles.
      result.detail = error.what();
    }
    this->Update([&](TimePoint now, UnixTime wall) {
      this->node.OnWriteReply(write.name, write.token, result, now, wall);
    });
  }

  void DoRead(const ReadAction& read) {
    bool ok = false;
    std::optional<platform::Object> object;
    try {
      object = this->store.Read(read.name);
      ok = true;
    } catch (const std::exception& error) {
      VLOG(1) << "journal: read of " << read.name << ": " << error.what();
    }
    this->Update([&](TimePoint now, UnixTime wall) {
      this->node.OnReadReply(read.name, ok, object, now, wall);
    });
  }

  void DoDelete(const std::string& name) {
    try {
      this->store.Delete(name);
    } catch (const std::exception& error) {
      // Nothing refers to the object any more; it only takes up room.
      LOG(WARNING) << "journal: can not delete " << name << ": "
                   << error.what();
    }
  }

  void DoAsk(const SendPermitAction& send) {
    std::optional<PermitReply> reply;
    try {
      reply = DecodePermitReply(
          this->transport.Send(send.to, kPermitMessage, Encode(send.request),
                               this->options.ask_timeout));
    } catch (const std::exception&) {
      this->lost_messages.Add();
    }
    this->Update([&](TimePoint now, UnixTime wall) {
      this->node.OnPermitReply(send.ask, reply, now, wall);
    });
  }

  void DoReport(const SendOutcomesAction& send) {
    std::optional<OutcomeReply> reply;
    try {
      reply = DecodeOutcomeReply(this->transport.Send(
          send.to, kOutcomeMessage, Encode(send.request),
          this->options.outcome_delay + this->options.ask_timeout));
    } catch (const std::exception&) {
      this->lost_messages.Add();
    }
    this->Update([&](TimePoint now, UnixTime wall) {
      this->node.OnOutcomeReply(send.ask, reply, now, wall);
    });
  }

  // Hands a message to the node and waits for the reply, but not much longer
  // than the host that sent it: an owner can not reply while the platform is
  // down, and waiting fibers would pile up.
  template <typename Reply, typename Ask>
  std::string Answer(Waiters<Reply>& waiting, common::Duration limit, Ask ask) {
    auto promise = std::make_shared<boost::fibers::promise<Reply>>();
    boost::fibers::future<Reply> future = promise->get_future();
    ReplyTo to = 0;
    this->Update([&](TimePoint now, UnixTime wall) {
      to = this->next_reply++;
      waiting[to] = promise;
      ask(to, now, wall);
    });
    if (future.wait_for(limit) == boost::fibers::future_status::ready)
      return Encode(future.get());
    common::RankedLock lock(this->mutex);
    waiting.erase(to);
    return Encode(Reply());
  }

  void RunForward(CallHandle handle, const Forward& forward) {
    ForwardResult result;
    bool written = false;
    auto before_first_byte = [&] {
      this->Update([&](TimePoint, UnixTime) {
        written = this->node.OnFirstByteWritten(handle);
      });
      return written;
    };
    try {
      result = forward(before_first_byte);
    } catch (const Error& error) {
      result.code = error.code();
    } catch (const std::exception& error) {
      LOG(ERROR) << "journal: endpoint exchange: " << error.what();
      result.code = ResultCode::kInternal;
    }
    // An answer proves that the request was written, reported or not.
    if (result.answer && !written)
      before_first_byte();
    this->Update([&](TimePoint now, UnixTime wall) {
      if (result.answer)
        this->node.OnAnswer(handle, *result.answer, now, wall);
      else
        this->node.OnConnectionLost(handle, result.code, now, wall);
    });
  }

  void RunQuery(CallHandle handle, const QueryStatus& query_status) {
    StatusResult result;
    try {
      result = query_status();
    } catch (const std::exception& error) {
      VLOG(1) << "journal: status call: " << error.what();
    }
    this->Update([&](TimePoint now, UnixTime wall) {
      this->node.OnServiceState(handle, result.state, result.answer, now, wall);
    });
  }

  void CountCall(ResultCode code) {
    const std::string name(common::InfoOf(code).name);
    this->counters.GetCounter("journal_calls_total", {{"code", name}}).Add();
  }

  // The mutex is held.
  void Arm() {
    const std::optional<TimePoint> wake = this->node.NextWake();
    if (!wake || (this->armed && *this->armed <= *wake))
      return;
    this->armed = *wake;
    this->timer = this->timers.At(
        *wake, [weak = this->weak_from_this(), due = *wake](TimePoint) {
          if (auto self = weak.lock())
            self->OnTimer(due);
        });
  }

  void OnTimer(TimePoint due) {
    const Operation operation(this->operations);
    this->Update([&](TimePoint now, UnixTime wall) {
      if (this->armed == due)
        this->armed.reset();
      this->node.OnTick(now, wall);
    });
  }

  const Options options;
  Store& store;
  Transport& transport;
  common::TimerService& timers;
  common::CounterRegistry& counters;
  common::DurationHistogram& permit_wait;
  common::Gauge& owned_shards;
  common::Gauge& unconfirmed;
  common::Counter& lost_messages;

  common::RankedMutex mutex{common::LockRank::kJournal};
  Node node;
  std::map<CallHandle, std::shared_ptr<CallWaiter>> waiters;
  Waiters<PermitReply> permit_waiters;
  Waiters<OutcomeReply> outcome_waiters;
  ReplyTo next_reply = 1;
  common::TimerSubscription timer;
  std::optional<TimePoint> armed;
  bool closed = false;
  std::atomic<bool> stopping{false};
  std::atomic<size_t> operations{0};
};

Service::Service(Options options,
                 HostId host,
                 Store& store,
                 Transport& transport,
                 common::TimerService& timers,
                 HostOrder hosts,
                 common::CounterRegistry& counters)
    : impl(std::make_shared<Impl>(options,
                                  std::move(host),
                                  store,
                                  transport,
                                  timers,
                                  std::move(hosts),
                                  counters)) {}

Service::~Service() {
  this->impl->Close();
}

CallResult Service::Execute(const CallRequest& request,
                            const Forward& forward,
                            const QueryStatus& query_status) {
  // A call that a stop cuts off may return after the service is gone.
  const std::shared_ptr<Impl> kept = this->impl;
  return kept->Execute(request, forward, query_status);
}

std::string Service::HandleMessage(std::string_view message,
                                   std::string_view body) {
  return this->impl->HandleMessage(message, body);
}

Service::MessageHandler Service::Handler() {
  return [impl = this->impl](std::string_view message, std::string_view body) {
    return impl->HandleMessage(message, body);
  };
}

void Service::Stop(common::Duration limit) {
  this->impl->Stop(limit);
}

}  // namespace jujuberock::journal
