// Measures the journal in virtual time with the real decision objects. Run it
// by tools/bench-journal.

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
#include "core/journal/node.h"

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
// One way between hosts, as between zones of the deployments.
constexpr Duration kHop{700};
// Mean answer time of the platform, 3 to 5 ms: the unit of the figures.
constexpr double kRoundTripMs = 4.0;
constexpr Duration kServiceTime = milliseconds(10);

struct Load {
  Options journal;
  double calls_per_second = 0;
  // The platform refuses everything for so long from the second second on.
  Duration outage{0};
  Duration patience = seconds(60);
};

struct Figures {
  double median = 0;  // platform round trips added
  double p99 = 0;
  double writes_per_second = 0;
  double kilobytes_per_second = 0;
  size_t finished = 0;
};

// Four hosts without faults.
class BenchWorld {
 public:
  explicit BenchWorld(const Load& load)
      : load(load), timers(UnixTime(hours(24 * 365 * 50))), random(7) {
    for (size_t i = 0; i < kHosts; ++i) {
      this->nodes.push_back(
          std::make_unique<Node>(this->load.journal, std::to_string(i), "1",
                                 [](ShardId shard) { return Order(shard); }));
      this->armed.emplace_back();
    }
  }

  size_t unconfirmed() const {
    size_t total = 0;
    for (const auto& node : this->nodes)
      total += node->unconfirmed_outcomes();
    return total;
  }
  size_t largest_head() const { return this->largest_write; }

  Figures Measure() {
    this->TakeOverAll();
    const TimePoint start = this->now();
    this->writes = 0;
    this->written_bytes = 0;
    this->ScheduleCall();
    this->end = start + kLoadTime;
    this->outage_start = start + seconds(1);
    this->timers.AdvanceTo(this->end + seconds(10));
    Figures figures;
    std::sort(this->waits.begin(), this->waits.end());
    figures.finished = this->waits.size();
    if (this->waits.empty())
      return figures;
    figures.median = this->waits[this->waits.size() / 2] / kRoundTripMs;
    figures.p99 = this->waits[this->waits.size() * 99 / 100] / kRoundTripMs;
    const double span = common::ToSeconds(kLoadTime);
    figures.writes_per_second = static_cast<double>(this->writes) / span;
    figures.kilobytes_per_second =
        static_cast<double>(this->written_bytes) / 1000 / span;
    return figures;
  }

 private:
  static std::vector<HostId> Order(ShardId shard) {
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
    return Duration(3000 + static_cast<int64_t>(this->random.Below(2000)));
  }

  // Every shard has an owner before the load starts.
  void TakeOverAll() {
    std::map<ShardId, bool> seen;
    for (int i = 0; seen.size() < this->load.journal.shards; ++i) {
      const CallKey key{"team", "first-" + std::to_string(i)};
      if (!seen.emplace(ShardOf(key, this->load.journal.shards), true).second)
        continue;
      this->StartCall(key, 0);
    }
    this->timers.Advance(seconds(5));
    this->waits.clear();
  }

  void ScheduleCall() {
    const Duration gap = Duration(static_cast<int64_t>(
        this->random.Exponential(1e6 / this->load.calls_per_second)));
    this->After(gap, [this] {
      if (this->now() >= this->end)
        return;
      this->StartCall({"team", "key-" + std::to_string(this->next_key++)},
                      this->random.Below(kHosts));
      this->ScheduleCall();
    });
  }

  void StartCall(const CallKey& key, size_t host) {
    CallRequest request;
    request.key = key;
    request.issued = this->timers.WallNow();
    request.request_hash = HashRequest("POST", "/pay", key.key, request.issued);
    request.deadline = this->now() + this->load.patience;
    const TimePoint start = this->now();
    this->On(host, [&](Node& node) {
      const CallHandle handle =
          node.StartCall(request, false, this->now(), this->timers.WallNow());
      this->started[{host, handle}] = start;
    });
  }

  void On(size_t host, const std::function<void(Node&)>& use) {
    Node& node = *this->nodes[host];
    use(node);
    while (!node.Quiet()) {
      NodeActions actions = node.Take();
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
    this->Arm(host);
  }

  template <typename Waiters, typename Reply>
  void ReplyLater(Waiters& waiters, ReplyTo to, const Reply& reply) {
    auto waiter = waiters.extract(to);
    this->After(kHop, [run = waiter.mapped(), reply] { run(reply); });
  }

  void Arm(size_t host) {
    const auto wake = this->nodes[host]->NextWake();
    if (!wake || (this->armed[host] && *this->armed[host] <= *wake))
      return;
    this->armed[host] = *wake;
    const Duration delay = std::max(Duration(1), *wake - this->now());
    this->After(delay, [this, host, due = *wake] {
      if (this->armed[host] == due)
        this->armed[host].reset();
      this->On(host, [this](Node& node) {
        node.OnTick(this->now(), this->timers.WallNow());
      });
    });
  }

  void SendPermit(size_t from, SendPermitAction send) {
    this->After(kHop, [this, from, send] {
      const auto to = static_cast<size_t>(std::stoul(send.to));
      const ReplyTo id = this->next_reply++;
      this->permit_replies[id] = [this, from, send](const PermitReply& reply) {
        this->On(from, [&](Node& node) {
          node.OnPermitReply(send.ask, reply, this->now(),
                             this->timers.WallNow());
        });
      };
      this->On(to, [&](Node& node) {
        node.OnPermitMessage(send.request, id, this->now(),
                             this->timers.WallNow());
      });
    });
  }

  void SendOutcomes(size_t from, SendOutcomesAction send) {
    this->After(kHop, [this, from, send] {
      const auto to = static_cast<size_t>(std::stoul(send.to));
      const ReplyTo id = this->next_reply++;
      this->outcome_replies[id] = [this, from,
                                   send](const OutcomeReply& reply) {
        this->On(from, [&](Node& node) {
          node.OnOutcomeReply(send.ask, reply, this->now(),
                              this->timers.WallNow());
        });
      };
      this->On(to, [&](Node& node) {
        node.OnOutcomeMessage(send.request, id, this->now(),
                              this->timers.WallNow());
      });
    });
  }

  bool Down() const {
    return this->now() >= this->outage_start &&
           this->now() < this->outage_start + this->load.outage;
  }

  void Write(size_t host, WriteAction write) {
    if (this->Down()) {
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
      object = {"journal", write.name, ++this->counter,
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
      this->On(host, [&](Node& node) {
        node.OnWriteReply(name, token, result, this->now(),
                          this->timers.WallNow());
      });
    };
    this->After(this->PlatformTime(), answer);
  }

  void Read(size_t host, const std::string& name) {
    std::optional<platform::Object> object;
    auto found = this->objects.find(name);
    const bool ok = !this->Down();
    if (ok && found != this->objects.end())
      object = found->second;
    this->After(this->PlatformTime(), [this, host, name, object, ok] {
      this->On(host, [&](Node& node) {
        node.OnReadReply(name, ok, object, this->now(), this->timers.WallNow());
      });
    });
  }

  void Forward(size_t host, CallHandle handle) {
    const TimePoint start = this->started.at({host, handle});
    this->waits.push_back(common::ToMilliseconds(this->now() - start));
    this->started.erase({host, handle});
    (void)this->nodes[host]->OnFirstByteWritten(handle);
    this->After(kServiceTime, [this, host, handle] {
      this->On(host, [&](Node& node) {
        node.OnAnswer(
            handle, MakeAnswer(200, "application/json", std::string(120, 'x')),
            this->now(), this->timers.WallNow());
      });
    });
  }

  const Load load;
  common::ManualTimerService timers;
  std::deque<common::TimerSubscription> pending;
  common::Random random;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::optional<TimePoint>> armed;
  std::map<std::string, platform::Object> objects;
  platform::Version counter = 0;
  TimePoint end;
  TimePoint outage_start = TimePoint::max();
  size_t largest_write = 0;
  uint64_t next_key = 0;
  ReplyTo next_reply = 1;
  std::map<ReplyTo, std::function<void(const PermitReply&)>> permit_replies;
  std::map<ReplyTo, std::function<void(const OutcomeReply&)>> outcome_replies;
  std::map<std::pair<size_t, CallHandle>, TimePoint> started;
  std::vector<double> waits;
  size_t writes = 0;
  size_t written_bytes = 0;
};

void MeasureBatching() {
  std::printf(
      "shards window_ms spacing_ms calls_s  median_rtt p99_rtt writes_s "
      "kB_s calls\n");
  for (const uint32_t shards : {1U, 2U, 4U, 16U, 64U}) {
    for (const double window_ms : {0.0, 1.0, 2.0, 5.0, 20.0}) {
      // The spacing that keeps all shards together under 190 writes a second.
      const double capped_ms = 1000.0 * shards / Options().writes_per_second;
      for (const double spacing_ms : {0.0, capped_ms}) {
        if (window_ms > 0 && spacing_ms > 0)
          continue;
        for (const double rate : {10.0, 100.0, 1000.0}) {
          Load load;
          load.journal.shards = shards;
          load.journal.write_window = common::FromSeconds(window_ms / 1000);
          if (spacing_ms == 0)
            load.journal.writes_per_second = 1e9;
          load.calls_per_second = rate;
          const Figures figures = BenchWorld(load).Measure();
          std::printf("%6u %9.1f %10.2f %7.0f %11.2f %7.2f %8.1f %6.0f %zu\n",
                      shards, window_ms, spacing_ms, rate, figures.median,
                      figures.p99, figures.writes_per_second,
                      figures.kilobytes_per_second, figures.finished);
        }
      }
    }
  }
}

size_t HeapBytes() {
  return mallinfo2().uordblks;
}

// One owner takes over a shard that holds `records` sealed records.
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
  std::vector<IndexedSegment> unlisted;
  std::vector<uint64_t> hashes;
  auto seal = [&] {
    const std::string name = SegmentName(0, 1, head.next_object++);
    objects[name] = {"journal", name, ++version, false, RenderSegment(joined),
                     "token"};
    bytes += joined.size();
    head.segments.push_back({name, wall, hashes.size()});
    unlisted.push_back({name, std::move(hashes)});
    joined.clear();
    hashes.clear();
    if (head.segments.size() < options.index_segments)
      return;
    const std::string index = IndexName(0, 1, head.next_object++);
    objects[index] = {"journal", index, ++version, false, RenderIndex(unlisted),
                      "token"};
    head.indexes.push_back({index, wall, 0});
    head.segments.clear();
    unlisted.clear();
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
  unlisted.clear();
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
  request.patience = std::chrono::minutes(10);
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
    std::printf("the owner found %zu records only\n", owner.sealed_records());
}

void MeasureTakeovers() {
  std::printf(
      "\nrecords stored_B   listed   reads    cpu_ms platform_ms  memory_B "
      "head_bytes\n");
  for (const size_t records : {1000U, 10'000U, 100'000U, 400'000U})
    MeasureTakeover(records);
}

}  // namespace

// Guards the figures of an outage: neither time nor memory may grow with its
// length beyond the calls that wait.
void MeasureOutage() {
  std::printf("\n outage_s forwarded unconfirmed largest_write_B cpu_ms\n");
  for (const int outage_s : {0, 2, 5, 15}) {
    Load load;
    load.calls_per_second = 1000;
    load.outage = seconds(outage_s);
    load.patience = seconds(2);
    BenchWorld world(load);
    const auto started = std::chrono::steady_clock::now();
    const Figures figures = world.Measure();
    const double ms = std::chrono::duration<double, std::milli>(
                          std::chrono::steady_clock::now() - started)
                          .count();
    std::printf("%9d %9zu %11zu %15zu %6.0f\n", outage_s, figures.finished,
                world.unconfirmed(), world.largest_head(), ms);
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
