#include "core/events/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace jujuberock::events {

namespace {

// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr size_t kAtomicWriteBytes = 4096;
constexpr size_t kTypicalLineBytes = 240;

void AppendEscaped(std::string& out, std::string_view text) {
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      // Non-ASCII bytes come from untrusted input and may not be valid UTF-8.
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\u%04x", byte);
      out += escaped;
    } else {
      out += c;
    }
  }
}

}  // namespace

Level LevelOf(Event event) {
  if (event <= Event::kLinesDropped)
    return Level::kLifecycle;
  if (event <= Event::kPartsBlocked)
    return Level::kClusterState;
  return Level::kRequests;
}

size_t StdoutSink::Write(std::string_view bytes) {
  pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&descriptor, 1, 0) <= 0 || !(descriptor.revents & POLLOUT))
    return 0;
  const ssize_t accepted = ::write(STDOUT_FILENO, bytes.data(),
                                   std::min(bytes.size(), kAtomicWriteBytes));
  return accepted > 0 ? static_cast<size_t>(accepted) : 0;
}

EventLog::EventLog(Sink& sink,
                   std::string host,
                   std::function<common::UnixTime()> wall_now,
                   common::MetricRegistry& counters,
                   size_t queue_bytes)
    : sink(sink),
      host(std::move(host)),
      wall_now(std::move(wall_now)),
      lines_total(counters.GetCounter("log_lines_total")),
      queue_limit(queue_bytes) {
  for (size_t i = 0; i < this->lines_dropped.size(); ++i) {
    this->lines_dropped[i] = &counters.GetCounter(
        "log_lines_dropped_total",
        {{"level", std::string(kLevelNames.NameOf(static_cast<Level>(i)))}});
  }
}

bool EventLog::MakeRoom(Level level, size_t bytes) {
  // The first entry is kept, because it may be partially written.
  for (Level victim = Level::kRequests; victim > level;
       victim = static_cast<Level>(static_cast<int>(victim) - 1)) {
    auto it = this->queue.begin() + (this->queue.empty() ? 0 : 1);
    while (it != this->queue.end() &&
           this->queued + bytes > this->queue_limit) {
      if (it->level != victim) {
        ++it;
        continue;
      }
      this->queued -= it->text.size();
      this->lines_dropped[static_cast<size_t>(victim)]->Add();
      ++this->unreported_drops;
      it = this->queue.erase(it);
    }
  }
  return this->queued + bytes <= this->queue_limit;
}

void EventLog::Append(Level level, std::string text) {
  if (this->queued + text.size() > this->queue_limit &&
      !this->MakeRoom(level, text.size())) {
    this->lines_dropped[static_cast<size_t>(level)]->Add();
    ++this->unreported_drops;
    return;
  }
  this->queued += text.size();
  this->lines_total.Add();
  this->queue.push_back({level, std::move(text)});
}

void EventLog::Flush() {
  this->ReportDrops();
  while (!this->queue.empty()) {
    // Lines are batched, because each write to the sink is a system call.
    std::string batch = this->queue.front().text.substr(this->front_written);
    for (size_t i = 1;
         i < this->queue.size() && batch.size() < kAtomicWriteBytes; ++i)
      batch += this->queue[i].text;
    size_t accepted = this->sink.Write(batch);
    if (accepted == 0)
      return;
    while (accepted > 0) {
      Entry& front = this->queue.front();
      const size_t left = front.text.size() - this->front_written;
      if (accepted < left) {
        this->front_written += accepted;
        break;
      }
      accepted -= left;
      this->queued -= front.text.size();
      this->front_written = 0;
      this->queue.pop_front();
    }
  }
}

void EventLog::ReportDrops() {
  // Drops are reported only after the queue has drained to half of its limit,
  // so that there is room for the line.
  if (this->unreported_drops == 0 || this->queued > this->queue_limit / 2)
    return;
  const uint64_t drops = std::exchange(this->unreported_drops, 0);
  LogLine(*this, Event::kLinesDropped).Add(Field::kCount, drops);
}

LogLine::LogLine(EventLog& log, Event event)
    : log(log), level(LevelOf(event)), enabled(log.IsEnabled(event)) {
  if (!this->enabled)
    return;
  this->text.reserve(kTypicalLineBytes);
  this->text = "{\"time_ms\":";
  this->text += std::to_string(log.wall_now().time_since_epoch().count());
  this->text += ",\"host\":\"";
  AppendEscaped(this->text, log.host);
  this->text += "\",\"event\":\"";
  this->text += kEventNames.NameOf(event);
  this->text += '"';
}

LogLine::~LogLine() {
  if (!this->enabled)
    return;
  this->text += "}\n";
  this->log.Append(this->level, std::move(this->text));
}

void LogLine::AddFieldName(Field field) {
  this->text += ",\"";
  this->text += kFieldNames.NameOf(field);
  this->text += "\":";
}

LogLine& LogLine::Add(Field field, std::string_view value) {
  if (!this->enabled)
    return *this;
  this->AddFieldName(field);
  this->text += '"';
  AppendEscaped(this->text, value);
  this->text += '"';
  return *this;
}

LogLine& LogLine::Add(Field field, int64_t value) {
  if (!this->enabled)
    return *this;
  this->AddFieldName(field);
  this->text += std::to_string(value);
  return *this;
}

LogLine& LogLine::Add(Field field, uint64_t value) {
  if (!this->enabled)
    return *this;
  this->AddFieldName(field);
  this->text += std::to_string(value);
  return *this;
}

LogLine& LogLine::Add(Field field, double value) {
  if (!this->enabled)
    return *this;
  this->AddFieldName(field);
  char number[32];
  std::snprintf(number, sizeof(number), "%.3f", value);
  this->text += number;
  return *this;
}

LogLine& LogLine::Add(Field field, common::Duration value) {
  if (!this->enabled)
    return *this;
  this->AddFieldName(field);
  char number[32];
  std::snprintf(number, sizeof(number), "%.1f", common::ToMilliseconds(value));
  this->text += number;
  return *this;
}

std::string RenderEventsPage() {
  std::string page =
      "# Log lines\n\n"
      "`jujuberock gateway` writes one JSON object per line to standard "
      "output. Each\nhas `time_ms` (Unix time), `host` and `event`, and "
      "fields of the second table that\ndepend on the event. The setting "
      "`log_level` names the most detailed level that is\nwritten. This page "
      "is the output of `jujuberock events`.\n\n| event | level |\n| --- | --- "
      "|\n";
  for (size_t i = 0; i < kEventCount; ++i) {
    const auto event = static_cast<Event>(i);
    page += "| `" + std::string(kEventNames.NameOf(event)) + "` | " +
            std::string(kLevelNames.NameOf(LevelOf(event))) + " |\n";
  }
  page += "\n| field |\n| --- |\n";
  for (size_t i = 0; i < kFieldCount; ++i)
    page += "| `" + std::string(kFieldNames.NameOf(static_cast<Field>(i))) +
            "` |\n";
  return page;
}

}  // namespace jujuberock::events
