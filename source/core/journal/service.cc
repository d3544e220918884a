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
#include "core/journal/host_journal.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::journal {

using common::Error;
using common::ResultCode;
using common::TimePoint;
using common::UnixTime;

namespace {

// Extra time that a handler waits beyond the sender's own timeout, so that the
// sender has given up first.
constexpr common::Duration kHandlerGrace = std::chrono::milliseconds(100);
constexpr common::Duration kStopPollInterval = std::chrono::milliseconds(5);
constexpr common::Duration kClosePollInterval = std::chrono::milliseconds(1);

// Event that resumes the fiber of a call.
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

// Counts an operation that uses the service's dependencies while in scope.
class OperationGuard {
 public:
  explicit OperationGuard(std::atomic<size_t>& count) : count(count) {
    ++this->count;
  }
  ~OperationGuard() { --this->count; }
  OperationGuard(const OperationGuard&) = delete;
  OperationGuard& operator=(const OperationGuard&) = delete;

 private:
  std::atomic<size_t>& count;
};

std::string MakeIncarnation() {
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
       common::MetricRegistry& counters)
      : options(options),
        store(store),
        transport(transport),
        timers(timers),
        counters(counters),
        permit_wait(counters.GetHistogram("journal_permit_seconds")),
        owned_shards(counters.GetGauge("journal_owned_shards")),
        unconfirmed(counters.GetGauge("journal_unconfirmed_outcomes")),
        lost_messages(counters.GetCounter("journal_lost_messages_total")),
        journal(this->options,
                std::move(host),
                MakeIncarnation(),
                std::move(hosts)) {}

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
          this->journal.StartCall(request, query_status != nullptr, now, wall);
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
          this->RunStatusQuery(handle, query_status);
          break;
        case CallEvent::Kind::kAnswer:
          this->CountCall(event.result.code);
          return std::move(event.result);
      }
    }
  }

  std::string HandlePermit(std::string_view body) {
    this->ThrowIfClosed();
    const PermitRequest request = DecodePermitRequest(body);
    return this->DeliverAndWait<PermitReply>(
        this->permit_waiters, this->options.reply_timeout + kHandlerGrace,
        [&](ReplyTo to, TimePoint now, UnixTime wall) {
          this->journal.OnPermitMessage(request, to, now, wall);
        });
  }

  std::string HandleOutcome(std::string_view body) {
    this->ThrowIfClosed();
    const OutcomeRequest request = DecodeOutcomeRequest(body);
    return this->DeliverAndWait<OutcomeReply>(
        this->outcome_waiters,
        this->options.outcome_delay + this->options.reply_timeout +
            kHandlerGrace,
        [&](ReplyTo to, TimePoint now, UnixTime wall) {
          this->journal.OnOutcomeMessage(request, to, now, wall);
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
    this->Update([&](TimePoint, UnixTime) { this->journal.StopTakeovers(); });
    while (this->timers.Now() < end) {
      bool drained = false;
      this->Update([&](TimePoint now, UnixTime wall) {
        this->journal.Flush(now, wall);
        drained = this->journal.drained();
      });
      if (drained && this->operations == 0)
        return;
      runtime::SleepFor(kStopPollInterval);
    }
    LOG(WARNING) << "journal: stop timed out before all changes were confirmed";
  }

  std::string HandleMessage(std::string_view message, std::string_view body) {
    const OperationGuard operation(this->operations);
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
      std::this_thread::sleep_for(kClosePollInterval);
  }

 private:
  template <typename Reply>
  using PromisePtr = std::shared_ptr<boost::fibers::promise<Reply>>;
  template <typename Reply>
  using Waiters = std::map<ReplyTo, PromisePtr<Reply>>;

  // Work that results from one event. It is collected while the mutex is held
  // and performed afterwards, because waking fibers and I/O may suspend.
  struct Batch {
    HostActions actions;
    std::vector<std::pair<std::shared_ptr<CallWaiter>, CallEvent>> events;
    std::vector<std::pair<PromisePtr<PermitReply>, PermitReply>> permits;
    std::vector<std::pair<PromisePtr<OutcomeReply>, OutcomeReply>> outcomes;
  };

  void ThrowIfClosed() {
    common::RankedLock lock(this->mutex);
    if (this->closed)
      throw Error(ResultCode::kStopping, "journal: the service has stopped");
  }

  template <typename Event>
  void Update(Event event) {
    Batch batch;
    {
      common::RankedLock lock(this->mutex);
      if (this->closed)
        return;
      event(this->timers.Now(), this->timers.WallNow());
      batch.actions = this->journal.TakeActions();
      this->CollectEvents(batch);
      this->ArmTimer();
      this->owned_shards.Set(
          static_cast<int64_t>(this->journal.owned_shards()));
      this->unconfirmed.Set(
          static_cast<int64_t>(this->journal.unconfirmed_outcomes()));
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
      // The handler has timed out.
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
    HostActions& actions = batch.actions;
    for (WriteAction& write : actions.writes)
      this->Spawn([this, write = std::move(write)] { this->DoWrite(write); });
    for (ReadAction& read : actions.reads)
      this->Spawn([this, read = std::move(read)] { this->DoRead(read); });
    for (std::string& name : actions.deletes)
      this->Spawn([this, name = std::move(name)] { this->DoDelete(name); });
    for (SendPermitAction& send : actions.permits)
      this->Spawn([this, send = std::move(send)] { this->DoSendPermit(send); });
    for (SendOutcomesAction& send : actions.outcomes)
      this->Spawn(
          [this, send = std::move(send)] { this->DoSendOutcomes(send); });
  }

  // Runs `body` on a new fiber, which keeps this object alive.
  template <typename Body>
  void Spawn(Body body) {
    auto operation = std::make_shared<OperationGuard>(this->operations);
    runtime::SpawnLocal([self = this->shared_from_this(), operation,
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
      // The state stays kUnknown, so the object is read back.
      result.detail = error.what();
    }
    this->Update([&](TimePoint now, UnixTime wall) {
      this->journal.OnWriteReply(write.name, write.token, result, now, wall);
    });
  }

  void DoRead(const ReadAction& read) {
    bool ok = false;
    std::optional<platform::Object> object;
    try {
      object = this->store.Read(read.name);
      ok = true;
    } catch (const std::exception& error) {
      VLOG(1) << "journal: reading " << read.name
              << " failed: " << error.what();
    }
    this->Update([&](TimePoint now, UnixTime wall) {
      this->journal.OnReadReply(read.name, ok, object, now, wall);
    });
  }

  void DoDelete(const std::string& name) {
    try {
      this->store.Delete(name);
    } catch (const std::exception& error) {
      // The object is no longer referenced and only occupies storage.
      LOG(WARNING) << "journal: deleting " << name
                   << " failed: " << error.what();
    }
  }

  void DoSendPermit(const SendPermitAction& send) {
    std::optional<PermitReply> reply;
    try {
      reply = DecodePermitReply(
          this->transport.Send(send.to, kPermitMessage, Encode(send.request),
                               this->options.reply_timeout));
    } catch (const std::exception&) {
      this->lost_messages.Add();
    }
    this->Update([&](TimePoint now, UnixTime wall) {
      this->journal.OnPermitReply(send.message_id, reply, now, wall);
    });
  }

  void DoSendOutcomes(const SendOutcomesAction& send) {
    std::optional<OutcomeReply> reply;
    try {
      reply = DecodeOutcomeReply(this->transport.Send(
          send.to, kOutcomeMessage, Encode(send.request),
          this->options.outcome_delay + this->options.reply_timeout));
    } catch (const std::exception&) {
      this->lost_messages.Add();
    }
    this->Update([&](TimePoint now, UnixTime wall) {
      this->journal.OnOutcomeReply(send.message_id, reply, now, wall);
    });
  }

  // Delivers a message to the journal and waits for the reply, but not much
  // longer than the sender does: an owner can not reply while the platform is
  // down, and waiting fibers would accumulate.
  template <typename Reply, typename Deliver>
  std::string DeliverAndWait(Waiters<Reply>& waiting,
                             common::Duration limit,
                             Deliver deliver) {
    auto promise = std::make_shared<boost::fibers::promise<Reply>>();
    boost::fibers::future<Reply> future = promise->get_future();
    ReplyTo to = 0;
    this->Update([&](TimePoint now, UnixTime wall) {
      to = this->next_reply++;
      waiting[to] = promise;
      deliver(to, now, wall);
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
        written = this->journal.OnFirstByteWritten(handle);
      });
      return written;
    };
    try {
      result = forward(before_first_byte);
    } catch (const Error& error) {
      result.code = error.code();
    } catch (const std::exception& error) {
      LOG(ERROR) << "journal: endpoint exchange failed: " << error.what();
      result.code = ResultCode::kInternal;
    }
    // An answer proves that the request was written, even if `forward` did not
    // call before_first_byte.
    if (result.answer && !written)
      before_first_byte();
    this->Update([&](TimePoint now, UnixTime wall) {
      if (result.answer)
        this->journal.OnAnswer(handle, *result.answer, now, wall);
      else
        this->journal.OnConnectionLost(handle, result.code, now, wall);
    });
  }

  void RunStatusQuery(CallHandle handle, const QueryStatus& query_status) {
    ServiceCallStatus result;
    try {
      result = query_status();
    } catch (const std::exception& error) {
      VLOG(1) << "journal: status call failed: " << error.what();
    }
    this->Update([&](TimePoint now, UnixTime wall) {
      this->journal.OnServiceCallState(handle, result.state, result.answer, now,
                                       wall);
    });
  }

  void CountCall(ResultCode code) {
    const std::string name(common::InfoOf(code).name);
    this->counters.GetCounter("journal_calls_total", {{"code", name}}).Add();
  }

  // Sets the timer for the next wakeup. Requires the mutex.
  void ArmTimer() {
    const std::optional<TimePoint> wakeup = this->journal.NextWakeup();
    if (!wakeup || (this->armed_for && *this->armed_for <= *wakeup))
      return;
    this->armed_for = *wakeup;
    this->timer = this->timers.At(
        *wakeup, [weak = this->weak_from_this(), due = *wakeup](TimePoint) {
          if (auto self = weak.lock())
            self->OnTimer(due);
        });
  }

  void OnTimer(TimePoint due) {
    const OperationGuard operation(this->operations);
    this->Update([&](TimePoint now, UnixTime wall) {
      if (this->armed_for == due)
        this->armed_for.reset();
      this->journal.OnTick(now, wall);
    });
  }

  const Options options;
  Store& store;
  Transport& transport;
  common::TimerService& timers;
  common::MetricRegistry& counters;
  common::DurationHistogram& permit_wait;
  common::Gauge& owned_shards;
  common::Gauge& unconfirmed;
  common::Counter& lost_messages;

  common::RankedMutex mutex{common::LockRank::kJournal};
  HostJournal journal;
  std::map<CallHandle, std::shared_ptr<CallWaiter>> waiters;
  Waiters<PermitReply> permit_waiters;
  Waiters<OutcomeReply> outcome_waiters;
  ReplyTo next_reply = 1;
  common::TimerSubscription timer;
  std::optional<TimePoint> armed_for;
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
                 common::MetricRegistry& counters)
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
  // A call aborted by a stop may return after the service is destroyed.
  const std::shared_ptr<Impl> impl_copy = this->impl;
  return impl_copy->Execute(request, forward, query_status);
}

std::string Service::HandleMessage(std::string_view message,
                                   std::string_view body) {
  return this->impl->HandleMessage(message, body);
}

Service::MessageHandler Service::MakeMessageHandler() {
  return [impl = this->impl](std::string_view message, std::string_view body) {
    return impl->HandleMessage(message, body);
  };
}

void Service::Stop(common::Duration limit) {
  this->impl->Stop(limit);
}

}  // namespace jujuberock::journal
