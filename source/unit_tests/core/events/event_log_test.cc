#include "core/events/event_log.h"

#include <catch2/catch.hpp>

namespace jujuberock::events {
namespace {

common::UnixTime Now() {
  return common::UnixTime(std::chrono::milliseconds(1700000000000));
}

// Accepts `capacity` bytes in total.
class LimitedSink : public Sink {
 public:
  explicit LimitedSink(size_t capacity) : capacity(capacity) {}

  size_t Write(std::string_view bytes) override {
    const size_t accepted = std::min(bytes.size(), this->capacity);
    this->text += bytes.substr(0, accepted);
    this->capacity -= accepted;
    return accepted;
  }

  size_t capacity;
  std::string text;
};

// Guards against a name table with fewer entries than its enumeration, which
// shifted the names of all events after the missing one.
TEST_CASE("every event and field has a unique name") {
  for (size_t i = 0; i < kEventCount; ++i) {
    const auto name = kEventNames.NameOf(static_cast<Event>(i));
    CHECK_FALSE(name.empty());
    CHECK(kEventNames.ValueOf(name) == static_cast<Event>(i));
  }
  for (size_t i = 0; i < kFieldCount; ++i) {
    const auto name = kFieldNames.NameOf(static_cast<Field>(i));
    CHECK_FALSE(name.empty());
    CHECK(kFieldNames.ValueOf(name) == static_cast<Field>(i));
  }
  CHECK(kEventNames.NameOf(Event::kRequestAnswered) == "request_answered");
  CHECK(kFieldNames.NameOf(Field::kDetail) == "detail");
}

TEST_CASE("a line is one JSON object with its fields in order") {
  common::MetricRegistry counters;
  LimitedSink sink(10000);
  EventLog log(sink, "host-1", Now, counters);
  LogLine(log, Event::kRequestSent)
      .Add(Field::kRequest, "a\"\n\x01\xff")
      .Add(Field::kInFlight, 3)
      .Add(Field::kPredictedMs, common::Duration(1500));
  log.Flush();
  CHECK(sink.text ==
        "{\"time_ms\":1700000000000,\"host\":\"host-1\",\"event\":"
        "\"request_sent\",\"request\":\"a\\\"\\u000a\\u0001\\u00ff\","
        "\"in_flight\":3,\"predicted_ms\":1.5}\n");
}

TEST_CASE("the level decides which lines are written") {
  common::MetricRegistry counters;
  LimitedSink sink(10000);
  EventLog log(sink, "h", Now, counters);
  log.SetLevel(Level::kClusterState);
  { LogLine(log, Event::kRequestSent); }
  { LogLine(log, Event::kConfigInForce); }
  log.Flush();
  CHECK(sink.text.find("request_sent") == std::string::npos);
  CHECK(sink.text.find("config_in_force") != std::string::npos);
}

// Guards against a stalled log reader that blocks requests or lets the queue
// use up the memory, and against dropping cluster state lines in favor of
// request lines.
TEST_CASE("a stalled reader drops request lines first and drops are reported") {
  common::MetricRegistry counters;
  LimitedSink sink(0);
  EventLog log(sink, "h", Now, counters, 4000);
  for (int i = 0; i < 200; ++i) {
    LogLine(log, Event::kRequestSent).Add(Field::kCount, i);
    log.Flush();
  }
  for (int i = 0; i < 10; ++i)
    LogLine(log, Event::kConfigInForce).Add(Field::kConfigVersion, uint64_t{7});
  CHECK(log.queued_bytes() <= 4000);
  sink.capacity = 100000;
  log.Flush();
  log.Flush();
  size_t config_lines = 0;
  for (size_t at = 0;
       (at = sink.text.find("config_in_force", at)) != std::string::npos; ++at)
    ++config_lines;
  CHECK(config_lines == 10);
  CHECK(sink.text.find("lines_dropped") != std::string::npos);
}

// Guards against truncated lines when the sink accepts only part of a line.
TEST_CASE("a partially written line continues where it stopped") {
  common::MetricRegistry counters;
  LimitedSink sink(25);
  EventLog log(sink, "h", Now, counters);
  { LogLine(log, Event::kStarted); }
  { LogLine(log, Event::kStopped); }
  log.Flush();
  sink.capacity = 1000;
  log.Flush();
  CHECK(sink.text ==
        "{\"time_ms\":1700000000000,\"host\":\"h\",\"event\":\"started\"}\n"
        "{\"time_ms\":1700000000000,\"host\":\"h\",\"event\":\"stopped\"}\n");
}

}  // namespace
}  // namespace jujuberock::events
