#include "core/journal/host_journal.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "core/common/error.h"
#include "core/journal/codec.h"

namespace jujuberock::journal {
namespace {

using common::Duration;
using common::Outcome;
using common::ResultCode;
using common::TimePoint;
using common::UnixTime;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Objects = std::map<std::string, platform::Object>;

// One host with a platform and a service that answer immediately.
class SingleHost {
 public:
  SingleHost(const Options& options, Objects& objects, const HostId& host)
      : options(options),
        objects(objects),
        journal(this->options, host, "1", [host](ShardId) {
          return std::vector<HostId>{host};
        }) {}

  CallResult Call(const std::string& key,
                  const std::string& body = "answer",
                  Duration age = Duration(0)) {
    CallRequest request;
    request.key = {"team", key};
    request.issued = this->wall - std::chrono::duration_cast<milliseconds>(age);
    request.request_hash = "hash of " + key;
    request.deadline = this->now + seconds(2);
    this->answer = MakeAnswer(200, "text/plain", body);
    this->result = {};
    this->journal.StartCall(request, false, this->now, this->wall);
    this->PerformActions();
    for (int i = 0; i < 5 && this->result.code == ResultCode::kInternal; ++i)
      this->Advance(seconds(1));
    return this->result;
  }

  void Advance(Duration by) {
    this->now += by;
    this->wall += std::chrono::duration_cast<milliseconds>(by);
    this->journal.OnTick(this->now, this->wall);
    this->PerformActions();
  }

  size_t forwards = 0;
  size_t reads = 0;

 private:
  void PerformActions() {
    while (!this->journal.HasNoActions()) {
      const HostActions actions = this->journal.TakeActions();
      for (const WriteAction& write : actions.writes)
        this->Write(write);
      for (const ReadAction& read : actions.reads)
        this->Read(read.name);
      for (const std::string& name : actions.deletes)
        this->objects.erase(name);
      for (CallHandle handle : actions.forwards) {
        ++this->forwards;
        REQUIRE(this->journal.OnFirstByteWritten(handle));
        this->journal.OnAnswer(handle, this->answer, this->now, this->wall);
      }
      for (const auto& [handle, call_result] : actions.answers)
        this->result = call_result;
    }
  }

  void Write(const WriteAction& write) {
    platform::Object& object = this->objects[write.name];
    REQUIRE(object.version == write.expected);
    REQUIRE(write.body.size() < 1'000'000);
    object = {"journal", write.name, ++this->last_version,
              false,     write.body, write.token};
    platform::WriteResult written;
    written.state = platform::WriteState::kWritten;
    written.version = object.version;
    this->journal.OnWriteReply(write.name, write.token, written, this->now,
                               this->wall);
  }

  void Read(const std::string& name) {
    ++this->reads;
    std::optional<platform::Object> object;
    auto found = this->objects.find(name);
    if (found != this->objects.end())
      object = found->second;
    this->journal.OnReadReply(name, true, object, this->now, this->wall);
  }

  Options options;
  Objects& objects;
  TimePoint now;
  UnixTime wall{hours(24 * 365 * 50)};
  // Shared by all hosts of a test, because versions only increase.
  static inline platform::Version last_version = 0;
  SavedAnswer answer;
  CallResult result;
  HostJournal journal;
};

Options SmallSegments() {
  Options options;
  options.seal_threshold_bytes = 2000;
  options.segments_per_index = 4;
  return options;
}

std::string KeyOf(int number) {
  return "key-" + std::to_string(number);
}

// Guards against losing keys when their records are sealed.
TEST_CASE("sealed answers are replayed, also after a takeover") {
  Objects objects;
  SingleHost first(SmallSegments(), objects, "a");
  for (int i = 0; i < 150; ++i) {
    REQUIRE(first.Call(KeyOf(i), "answer " + KeyOf(i)).code == ResultCode::kOk);
    first.Advance(milliseconds(100));
  }
  first.Advance(seconds(3));
  const Head head = ParseHead(objects.at(HeadName(0)).body).head;
  CHECK(head.indexes.size() >= 2);
  SingleHost second(SmallSegments(), objects, "b");
  for (int i = 0; i < 150; ++i) {
    const CallResult result = second.Call(KeyOf(i), "another", seconds(0));
    CHECK(result.code == ResultCode::kOk);
    CHECK(result.answer.body == "answer " + KeyOf(i));
  }
  CHECK(second.forwards == 0);
}

// Guards against takeovers whose reads grow with the number of segments.
TEST_CASE("a takeover reads indexes instead of the segments they list") {
  Objects objects;
  SingleHost first(SmallSegments(), objects, "a");
  for (int i = 0; i < 600; ++i) {
    first.Call(KeyOf(i));
    first.Advance(milliseconds(100));
  }
  first.Advance(seconds(3));
  SingleHost second(SmallSegments(), objects, "b");
  second.Call("new");
  CHECK(objects.size() > 40);
  CHECK(second.reads < objects.size() / 2);
}

// Guards against objects that are never deleted and records that are dropped
// too early.
TEST_CASE("expired records are dropped with their objects") {
  Objects objects;
  SingleHost host(SmallSegments(), objects, "a");
  for (int i = 0; i < 250; ++i) {
    host.Call(KeyOf(i));
    host.Advance(milliseconds(100));
  }
  host.Advance(hours(23));
  host.Call("later");
  host.Advance(seconds(2));
  CHECK(objects.size() > 15);
  host.Advance(hours(2));
  host.Call("last");
  host.Advance(seconds(2));
  CHECK(objects.size() == 2);
  SingleHost other(SmallSegments(), objects, "b");
  other.Advance(hours(25));
  const CallResult refused = other.Call(KeyOf(3), "answer", hours(25));
  CHECK(refused.code == ResultCode::kIssueTimeTooOld);
  CHECK(refused.outcome == Outcome::kNotRun);
}

// Hosts that disagree on the number of shards would assign two owners to a key.
TEST_CASE("a host with a different number of shards refuses to serve") {
  Objects objects;
  Options options;
  SingleHost first(options, objects, "a");
  REQUIRE(first.Call("key").code == ResultCode::kOk);
  options.shards = 8;
  SingleHost second(options, objects, "b");
  const CallResult refused = second.Call("key");
  CHECK(refused.code == ResultCode::kJournalUnavailable);
  CHECK(second.forwards == 0);
}

TEST_CASE("an answer above the size limit is stored without its body") {
  Objects objects;
  SingleHost host(Options(), objects, "a");
  const std::string body(9000, 'x');
  const CallResult first = host.Call("key", body);
  CHECK(first.answer.body == body);
  host.Advance(seconds(2));
  SingleHost other(Options(), objects, "b");
  const CallResult again = other.Call("key");
  CHECK(again.code == ResultCode::kAnswerNotStored);
  CHECK(again.outcome == Outcome::kDone);
  CHECK(again.answer.digest == MakeAnswer(200, "text/plain", body).digest);
}

// Bytes that JSON strings can not represent would change the stored key.
TEST_CASE("a key that can not be stored unchanged is refused") {
  Objects objects;
  SingleHost host(Options(), objects, "a");
  CHECK(host.Call("k\xff").code == ResultCode::kMalformedRequest);
  CHECK(host.Call(std::string(300, 'k')).code == ResultCode::kMalformedRequest);
  CHECK(host.Call("").code == ResultCode::kIdempotencyKeyMissing);
  CHECK(host.forwards == 0);
}

TEST_CASE("a call issued in the future is refused") {
  Objects objects;
  SingleHost host(Options(), objects, "a");
  CHECK(host.Call("key", "answer", -hours(1)).code ==
        ResultCode::kMalformedRequest);
}

TEST_CASE("stored objects are parsed as they were rendered") {
  Record record;
  record.key = {"team", "key \"quoted\""};
  record.request_hash = "hash";
  record.issued = UnixTime(milliseconds(123456789));
  record.state = RecordState::kDone;
  record.host = "a";
  record.call_id = "a/1/2";
  record.term = 7;
  record.answer = MakeAnswer(201, "text/plain", std::string("\0\xff\n\"", 4));
  Head head;
  head.term = 8;
  head.owner = "b";
  head.floor = UnixTime(milliseconds(99));
  head.next_object = 3;
  head.segments = {{"s1", record.issued, 5}};
  head.indexes = {{"i1", record.issued, 50}};
  const HeadContent content = ParseHead(RenderHead(head, RenderRecord(record)));
  REQUIRE(content.records.size() == 1);
  CHECK(content.records[0].key == record.key);
  CHECK(content.records[0].issued == record.issued);
  CHECK(content.records[0].term == 7);
  CHECK(content.records[0].answer == record.answer);
  CHECK(content.head.floor == head.floor);
  CHECK(content.head.next_object == 3);
  CHECK(content.head.indexes.at(0).name == "i1");
  const auto index = ParseIndex(RenderIndex({{"s1", {1, ~uint64_t{0}}}}));
  REQUIRE(index.size() == 1);
  CHECK(index[0].hashes == std::vector<uint64_t>{1, ~uint64_t{0}});
  CHECK_THROWS_AS(ParseHead("{}"), common::Error);
  CHECK_THROWS_AS(ParseSegment("[1"), common::Error);
}

TEST_CASE("messages between hosts are decoded as they were encoded") {
  OutcomeReport report;
  report.shard = 3;
  report.key = {"team", "key"};
  report.call_id = "a/1/2";
  report.outcome = CallOutcome::kDone;
  report.answer = MakeAnswer(200, "text/\xff", std::string("\0\xff", 2));
  PermitRequest request;
  request.shard = 3;
  request.key = report.key;
  request.request_hash = "hash";
  request.issued = UnixTime(milliseconds(-5));
  request.host = "a";
  request.call_id = "a/1/3";
  request.timeout = milliseconds(900);
  request.outcomes = {report};
  const PermitRequest copy = DecodePermitRequest(Encode(request));
  CHECK(copy.issued == request.issued);
  CHECK(copy.timeout == request.timeout);
  CHECK(copy.outcomes.at(0).answer == report.answer);
  PermitReply reply;
  reply.decision = PermitDecision::kNotOwner;
  reply.term = 9;
  reply.owner = "b";
  CHECK(DecodePermitReply(Encode(reply)).owner == "b");
  CHECK(DecodePermitReply(Encode(reply)).term == 9);
  CHECK(DecodeOutcomeReply(Encode(OutcomeReply{true})).accepted);
  CHECK_THROWS_AS(DecodePermitRequest(Encode(reply)), common::Error);
}

}  // namespace
}  // namespace jujuberock::journal
