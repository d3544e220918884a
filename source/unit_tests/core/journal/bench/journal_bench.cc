// Measures the journal's state machines in virtual time. Run by
// tools/bench-journal.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/common/random.h"
#include "core/common/timer_service.h"
#include "core/journal/host_journal.h"

namespace jujuberock::journal {
namespace {

using common::Duration;
using common::TimePoint;
using common::UnixTime;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 4;
constexpr Duration kLoadTime = seconds(20);
// One-way delay between hosts, as between availability zones.
constexpr Duration kOneWayDelay{700};
// Mean platform response time (3 to 5 ms), the unit of reported latencies.
constexpr double kRoundTripMs = 4.0;
constexpr Duration kServiceTime = milliseconds(10);

struct Workload {
  Options journal_options;
  double calls_per_second = 0;
  // Duration of a platform outage that starts after one second.
  Duration outage{0};
  Duration timeout = seconds(60);
};

struct Measurements {
  double median = 0;  // added latency in platform round trips
  double p99 = 0;
  double writes_per_second = 0;
  double kilobytes_per_second = 0;
  size_t finished = 0;
};

// Simulates four hosts; the only fault is the platform outage.
class BenchSimulation {
 public:
  explicit BenchSimulation(const Workload& workload)
      : workload(workload), timers(UnixTime(hours(24 * 365 * 50))), random(7) {
    for (size_t i = 0; i < kHosts; ++i) {
      this->journals.push_back(std::make_unique<HostJournal>(
          this->workload.journal_options, std::to_string(i), "1",
          [](ShardId shard) { return HostOrderOf(shard); }));
      this->armed_for.emplace_back();
    }
  }

  size_t unconfirmed() const {
    size_t total = 0;
    for (const auto& journal : this->journals)
      total += journal->unconfirmed_outcomes();
    return total;
  }
  size_t largest_head() const { return this->largest_write; }

  Measurements Measure() {
    this->TakeOverAll();
    const TimePoint start = this->now();
    this->writes = 0;
    this->written_bytes = 0;
    this->ScheduleCall();
    this->end = start + kLoadTime;
    this->outage_start = start + seconds(1);
    this->timers.AdvanceTo(this->end + seconds(10));
    Measurements measurements;
    std::sort(this->permit_waits_ms.begin(), this->permit_waits_ms.end());
    measurements.finished = this->permit_waits_ms.size();
    if (this->permit_waits_ms.empty())
      return measurements;
    measurements.median =
        this->permit_waits_ms[this->permit_waits_ms.size() / 2] / kRoundTripMs;
    measurements.p99 =
        this->permit_waits_ms[this->permit_waits_ms.size() * 99 / 100] /
        kRoundTripMs;
    const double span = common::ToSeconds(kLoadTime);
    measurements.writes_per_second = static_cast<double>(this->writes) / span;
    measurements.kilobytes_per_second =
        static_cast<double>(this->written_bytes) / 1000 / span;
    return measurements;
  }

 private:
  static std::vector<HostId> HostOrderOf(ShardId shard) {
    std::vector<HostId> order;
    for (size_t i = 0; i < kHosts; ++i)
      order.push_back(std::to_string((shard + i) % kHosts));
    return order;
  }

  TimePoint now() const { return this->timers.Now(); }

  void After(Duration delay, std::function<void()> run) {
    this->pending.push_back(this->timers.At(
        this->now() + delay, [run = std::move(run)](TimePoint) { run(); }));
  }

  Duration PlatformTime() {
    return Duration(3000 + static_cast<int64_t>(this->random.NextBelow(2000)));
  }

  // Gives every shard an owner before the load starts.
  void TakeOverAll() {
    std::map<ShardId, bool> seen;
    for (int i = 0; seen.size() < this->workload.journal_options.shards; ++i) {
      const CallKey key{"team", "first-" + std::to_string(i)};
      if (!seen.emplace(ShardOf(key, this->workload.journal_options.shards),
                        true)
               .second)
        continue;
      this->StartCall(key, 0);
    }
    this->timers.Advance(seconds(5));
    this->permit_waits_ms.clear();
  }

  void ScheduleCall() {
    const Duration gap = Duration(static_cast<int64_t>(
        this->random.Exponential(1e6 / this->workload.calls_per_second)));
    this->After(gap, [this] {
      if (this->now() >= this->end)
        return;
      this->StartCall({"team", "key-" + std::to_string(this->next_key++)},
                      this->random.NextBelow(kHosts));
      this->ScheduleCall();
    });
  }

  void StartCall(const CallKey& key, size_t host) {
    CallRequest request;
    request.key = key;
    request.issued = this->timers.WallNow();
    request.request_hash = HashRequest("POST", "/pay", key.key, request.issued);
    request.deadline = this->now() + this->workload.timeout;
    const TimePoint start = this->now();
    this->OnHost(host, [&](HostJournal& journal) {
      const CallHandle handle = journal.StartCall(request, false, this->now(),
                                                  this->timers.WallNow());
      this->started[{host, handle}] = start;
    });
  }

  void OnHost(size_t host, const std::function<void(HostJournal&)>& action) {
    HostJournal& journal = *this->journals[host];
    action(journal);
    while (!journal.HasNoActions()) {
      HostActions actions = journal.TakeActions();
      for (auto& write : actions.writes)
        this->Write(host, std::move(write));
      for (auto& read : actions.reads)
        this->Read(host, read.name);
      for (auto& send : actions.permits)
        this->SendPermit(host, std::move(send));
      for (auto& send : actions.outcomes)
        this->SendOutcomes(host, std::move(send));
      for (auto& reply : actions.permit_replies)
        this->ReplyLater(this->permit_replies, reply.to, reply.reply);
      for (auto& reply : actions.outcome_replies)
        this->ReplyLater(this->outcome_replies, reply.to, reply.reply);
      for (CallHandle handle : actions.forwards)
        this->Forward(host, handle);
    }
    this->ArmTimer(host);
  }

  template <typename Waiters, typename Reply>
  void ReplyLater(Waiters& waiters, ReplyTo to, const Reply& reply) {
    auto waiter = waiters.extract(to);
    this->After(kOneWayDelay, [run = waiter.mapped(), reply] { run(reply); });
  }

  void ArmTimer(size_t host) {
    const auto wakeup = this->journals[host]->NextWakeup();
    if (!wakeup || (this->armed_for[host] && *this->armed_for[host] <= *wakeup))
      return;
    this->armed_for[host] = *wakeup;
    const Duration delay = std::max(Duration(1), *wakeup - this->now());
    this->After(delay, [this, host, due = *wakeup] {
      if (this->armed_for[host] == due)
        this->armed_for[host].reset();
      this->OnHost(host, [this](HostJournal& journal) {
        journal.OnTick(this->now(), this->timers.WallNow());
      });
    });
  }

  void SendPermit(size_t from, SendPermitAction send) {
    this->After(kOneWayDelay, [this, from, send] {
      const auto to = static_cast<size_t>(std::stoul(send.to));
      const ReplyTo id = this->next_reply++;
      this->permit_replies[id] = [this, from, send](const PermitReply& reply) {
        this->OnHost(from, [&](HostJournal& journal) {
          journal.OnPermitReply(send.message_id, reply, this->now(),
                                this->timers.WallNow());
        });
      };
      this->OnHost(to, [&](HostJournal& journal) {
        journal.OnPermitMessage(send.request, id, this->now(),
                                this->timers.WallNow());
      });
    });
  }

  void SendOutcomes(size_t from, SendOutcomesAction send) {
    this->After(kOneWayDelay, [this, from, send] {
      const auto to = static_cast<size_t>(std::stoul(send.to));
      const ReplyTo id = this->next_reply++;
      this->outcome_replies[id] = [this, from,
                                   send](const OutcomeReply& reply) {
        this->OnHost(from, [&](HostJournal& journal) {
          journal.OnOutcomeReply(send.message_id, reply, this->now(),
                                 this->timers.WallNow());
        });
      };
      this->OnHost(to, [&](HostJournal& journal) {
        journal.OnOutcomeMessage(send.request, id, this->now(),
                                 this->timers.WallNow());
      });
    });
  }

  bool PlatformDown() const {
    return this->now() >= this->outage_start &&
           this->now() < this->outage_start + this->workload.outage;
  }

  void Write(size_t host, WriteAction write) {
    if (this->PlatformDown()) {
      platform::WriteResult refused;
      refused.state = platform::WriteState::kRejected;
      this->AnswerWrite(host, write, refused);
      return;
    }
    this->largest_write = std::max(this->largest_write, write.body.size());
    ++this->writes;
    this->written_bytes += write.body.size();
    platform::WriteResult result;
    platform::Object& object = this->objects[write.name];
    result.state = platform::WriteState::kConflict;
    if (object.version == write.expected) {
      result.state = platform::WriteState::kWritten;
      object = {"journal", write.name, ++this->last_version,
                false,     write.body, write.token};
      result.version = object.version;
    } else {
      result.current = object;
    }
    this->AnswerWrite(host, write, result);
  }

  void AnswerWrite(size_t host,
                   const WriteAction& write,
                   const platform::WriteResult& result) {
    const auto answer = [this, host, name = write.name, token = write.token,
                         result] {
      this->OnHost(host, [&](HostJournal& journal) {
        journal.OnWriteReply(name, token, result, this->now(),
                             this->timers.WallNow());
      });
    };
    this->After(this->PlatformTime(), answer);
  }

  void Read(size_t host, const std::string& name) {
    std::optional<platform::Object> object;
    auto found = this->objects.find(name);
    const bool ok = !this->PlatformDown();
    if (ok && found != this->objects.end())
      object = found->second;
    this->After(this->PlatformTime(), [this, host, name, object, ok] {
      this->OnHost(host, [&](HostJournal& journal) {
        journal.OnReadReply(name, ok, object, this->now(),
                            this->timers.WallNow());
      });
    });
  }

  void Forward(size_t host, CallHandle handle) {
    const TimePoint start = this->started.at({host, handle});
    this->permit_waits_ms.push_back(
        common::ToMilliseconds(this->now() - start));
    this->started.erase({host, handle});
    (void)this->journals[host]->OnFirstByteWritten(handle);
    this->After(kServiceTime, [this, host, handle] {
      this->OnHost(host, [&](HostJournal& journal) {
        journal.OnAnswer(
            handle, MakeAnswer(200, "application/json", std::string(120, 'x')),
            this->now(), this->timers.WallNow());
      });
    });
  }

  const Workload workload;
  common::ManualTimerService timers;
  std::deque<common::TimerSubscription> pending;
  common::Random random;
  std::vector<std::unique_ptr<HostJournal>> journals;
  std::vector<std::optional<TimePoint>> armed_for;
  std::map<std::string, platform::Object> objects;
  platform::Version last_version = 0;
  TimePoint end;
  TimePoint outage_start = TimePoint::max();
  size_t largest_write = 0;
  uint64_t next_key = 0;
  ReplyTo next_reply = 1;
  std::map<ReplyTo, std::function<void(const PermitReply&)>> permit_replies;
  std::map<ReplyTo, std::function<void(const OutcomeReply&)>> outcome_replies;
  std::map<std::pair<size_t, CallHandle>, TimePoint> started;
  std::vector<double> permit_waits_ms;
  size_t writes = 0;
  size_t written_bytes = 0;
};

void MeasureBatching() {
  std::printf(
      "shards window_ms spacing_ms calls_s  median_rtt p99_rtt writes_s "
      "kB_s calls\n");
  for (const uint32_t shards : {1U, 2U, 4U, 16U, 64U}) {
    for (const double window_ms : {0.0, 1.0, 2.0, 5.0, 20.0}) {
      // The spacing that keeps all shards together at the default write limit.
      const double capped_ms = 1000.0 * shards / Options().writes_per_second;
      for (const double spacing_ms : {0.0, capped_ms}) {
        if (window_ms > 0 && spacing_ms > 0)
          continue;
        for (const double rate : {10.0, 100.0, 1000.0}) {
          Workload workload;
          workload.journal_options.shards = shards;
          workload.journal_options.write_window =
              common::FromSeconds(window_ms / 1000);
          if (spacing_ms == 0)
            workload.journal_options.writes_per_second = 1e9;
          workload.calls_per_second = rate;
          const Measurements measurements = BenchSimulation(workload).Measure();
          std::printf("%6u %9.1f %10.2f %7.0f %11.2f %7.2f %8.1f %6.0f %zu\n",
                      shards, window_ms, spacing_ms, rate, measurements.median,
                      measurements.p99, measurements.writes_per_second,
                      measurements.kilobytes_per_second, measurements.finished);
        }
      }
    }
  }
}

size_t HeapBytes() {
  return mallinfo2().uordblks;
}

// Measures the takeover of a shard that holds `records` sealed records.
void MeasureTakeover(size_t records) {
  std::map<std::string, platform::Object> objects;
  Head head;
  head.term = 1;
  head.owner = "old";
  const UnixTime wall{hours(24 * 365 * 50)};
  std::string joined;
  size_t bytes = 0;
  platform::Version version = 0;
  const Options options;
  std::vector<IndexedSegment> unindexed;
  std::vector<uint64_t> hashes;
  auto seal = [&] {
    const std::string name = SegmentName(0, 1, head.next_object++);
    objects[name] = {"journal", name, ++version, false, RenderSegment(joined),
                     "token"};
    bytes += joined.size();
    head.segments.push_back({name, wall, hashes.size()});
    unindexed.push_back({name, std::move(hashes)});
    joined.clear();
    hashes.clear();
    if (head.segments.size() < options.segments_per_index)
      return;
    const std::string index = IndexName(0, 1, head.next_object++);
    objects[index] = {
        "journal", index, ++version, false, RenderIndex(unindexed), "token"};
    head.indexes.push_back({index, wall, 0});
    head.segments.clear();
    unindexed.clear();
  };
  for (size_t i = 0; i < records; ++i) {
    Record record;
    record.key = {"team-7", "0b6f1c52-9f5e-4d8e-" + std::to_string(100000 + i)};
    record.request_hash = std::string(32, 'f');
    record.issued = wall;
    record.state = RecordState::kDone;
    record.host = "host-12";
    record.call_id = "host-12/1234567890123456789/" + std::to_string(i);
    record.term = 1;
    record.answer = MakeAnswer(200, "application/json", std::string(120, 'x'));
    joined += (joined.empty() ? "" : ",") + RenderRecord(record);
    hashes.push_back(HashKey(record.key));
    if (joined.size() >= 64 * 1024)
      seal();
  }
  if (!joined.empty())
    seal();
  const std::string head_name = HeadName(0);
  objects[head_name] = {
      "journal", head_name, ++version, false, RenderHead(head, ""), "token"};
  const size_t head_bytes = objects[head_name].body.size();

  const size_t listed = head.segments.size() + head.indexes.size();
  unindexed.clear();
  uint64_t token = 0;
  const size_t before = HeapBytes();
  ShardOwner owner(
      options, 0, "new", [](const HostId&) { return true; },
      [&token] { return std::to_string(++token); });
  PermitRequest request;
  request.key = {"team-7", "new-key"};
  request.issued = wall;
  request.host = "new";
  request.call_id = "new/1/1";
  request.timeout = std::chrono::minutes(10);
  size_t reads = 0;
  size_t writes = 0;
  std::deque<std::string> to_read;
  const auto started = std::chrono::steady_clock::now();
  auto collect = [&](OwnerActions actions) {
    for (const ReadAction& read : actions.reads)
      to_read.push_back(read.name);
    for (const WriteAction& write : actions.writes) {
      ++writes;
      platform::WriteResult result;
      result.state = platform::WriteState::kWritten;
      result.version = ++version;
      for (const ReadAction& read :
           owner
               .OnWriteReply(write.name, write.token, result, TimePoint(), wall)
               .reads)
        to_read.push_back(read.name);
      if (owner.active())
        return;
    }
  };
  collect(owner.OnPermitRequest(request, 1, TimePoint(), wall));
  while (!to_read.empty()) {
    const std::string name = to_read.front();
    to_read.pop_front();
    ++reads;
    collect(owner.OnReadReply(name, true, objects[name], TimePoint(), wall));
  }
  const double ms = std::chrono::duration<double, std::milli>(
                        std::chrono::steady_clock::now() - started)
                        .count();
  const size_t after = HeapBytes();
  // One read of the head, one write, then rounds of parallel reads.
  const double rounds = 2.0 + static_cast<double>((reads - 1 + 15) / 16);
  std::printf(
      "%8zu %8.1f %8zu %7zu %9.1f %12.1f %10.0f %9zu\n", records,
      static_cast<double>(bytes) / static_cast<double>(records), listed, reads,
      ms, rounds * kRoundTripMs,
      static_cast<double>(after - before) / static_cast<double>(records),
      head_bytes);
  if (owner.sealed_records() != records)
    std::printf("the owner loaded only %zu records\n", owner.sealed_records());
}

void MeasureTakeovers() {
  std::printf(
      "\nrecords stored_B   listed   reads    cpu_ms platform_ms  memory_B "
      "head_bytes\n");
  for (const size_t records : {1000U, 10'000U, 100'000U, 400'000U})
    MeasureTakeover(records);
}

}  // namespace

// Measures an outage. Neither time nor memory may grow with its duration beyond
// the calls that wait.
void MeasureOutage() {
  std::printf("\n outage_s forwarded unconfirmed largest_write_B cpu_ms\n");
  for (const int outage_s : {0, 2, 5, 15}) {
    Workload workload;
    workload.calls_per_second = 1000;
    workload.outage = seconds(outage_s);
    workload.timeout = seconds(2);
    BenchSimulation simulation(workload);
    const auto started = std::chrono::steady_clock::now();
    const Measurements measurements = simulation.Measure();
    const double ms = std::chrono::duration<double, std::milli>(
                          std::chrono::steady_clock::now() - started)
                          .count();
    std::printf("%9d %9zu %11zu %15zu %6.0f\n", outage_s, measurements.finished,
                simulation.unconfirmed(), simulation.largest_head(), ms);
  }
}

void RunBench() {
  MeasureOutage();
  MeasureBatching();
  MeasureTakeovers();
}

}  // namespace jujuberock::journal

int main() {
  jujuberock::journal::RunBench();
  return 0;
}
