#include "core/events/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace jujuberock::events {

namespace {

// A pipe that is writable takes this much without blocking (PIPE_BUF).
constexpr size_t kAtomicWriteBytes = 4096;
constexpr size_t kTypicalLineBytes = 240;

void AppendEscaped(std::string& out, std::string_view text) {
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      // Bytes beyond ASCII come from untrusted input and may be no UTF-8.
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
  if (event <= Event::kCrashMarked)
    return Level::kBeliefs;
  return Level::kRequests;
}

size_t StandardOutput::Write(std::string_view bytes) {
  pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&descriptor, 1, 0) <= 0 || !(descriptor.revents & POLLOUT))
    return 0;
  const ssize_t taken = ::write(STDOUT_FILENO, bytes.data(),
                                std::min(bytes.size(), kAtomicWriteBytes));
  return taken > 0 ? static_cast<size_t>(taken) : 0;
}

EventLog::EventLog(Sink& sink,
                   std::string host,
                   std::function<common::UnixTime()> wall_now,
                   common::CounterRegistry& counters,
                   size_t queue_bytes)
    : sink(sink),
      host(std::move(host)),
      wall_now(std::move(wall_now)),
      written(counters.GetCounter("log_lines_total")),
      queue_limit(queue_bytes) {
  for (size_t i = 0; i < this->dropped.size(); ++i) {
    this->dropped[i] = &counters.GetCounter(
        "log_lines_dropped_total",
        {{"level", std::string(kLevelNames.NameOf(static_cast<Level>(i)))}});
  }
}

bool EventLog::MakeRoom(Level level, size_t bytes) {
  // The first entry may be half written, so it stays.
  for (Level victim = Level::kRequests; victim > level;
       victim = static_cast<Level>(static_cast<int>(victim) - 1)) {
    auto it = this->queue.begin() + (this->queue.empty() ? 0 : 1);
    while (it != this->queue.end() &&
           this->queue_size + bytes > this->queue_limit) {
      if (it->level != victim) {
        ++it;
        continue;
      }
      this->queue_size -= it->text.size();
      this->dropped[static_cast<size_t>(victim)]->Add();
      ++this->drops_not_stated;
      it = this->queue.erase(it);
    }
  }
  return this->queue_size + bytes <= this->queue_limit;
}

void EventLog::Append(Level level, std::string text) {
  if (this->queue_size + text.size() > this->queue_limit &&
      !this->MakeRoom(level, text.size())) {
    this->dropped[static_cast<size_t>(level)]->Add();
    ++this->drops_not_stated;
    return;
  }
  this->queue_size += text.size();
  this->written.Add();
  this->queue.push_back({level, std::move(text)});
}

void EventLog::Flush() {
  this->StateDrops();
  while (!this->queue.empty()) {
    // Lines are joined, since each call of the sink costs a system call.
    std::string batch = this->queue.front().text.substr(this->front_taken);
    for (size_t i = 1;
         i < this->queue.size() && batch.size() < kAtomicWriteBytes; ++i)
      batch += this->queue[i].text;
    size_t taken = this->sink.Write(batch);
    if (taken == 0)
      return;
    while (taken > 0) {
      Entry& front = this->queue.front();
      const size_t left = front.text.size() - this->front_taken;
      if (taken < left) {
        this->front_taken += taken;
        break;
      }
      taken -= left;
      this->queue_size -= front.text.size();
      this->front_taken = 0;
      this->queue.pop_front();
    }
  }
}

void EventLog::StateDrops() {
  // Stated once there is room again.
  if (this->drops_not_stated == 0 || this->queue_size > this->queue_limit / 2)
    return;
  const uint64_t drops = std::exchange(this->drops_not_stated, 0);
  Line(*this, Event::kLinesDropped).Add(Field::kCount, drops);
}

Line::Line(EventLog& log, Event event)
    : log(log), level(LevelOf(event)), enabled(log.Logs(event)) {
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

Line::~Line() {
  if (!this->enabled)
    return;
  this->text += "}\n";
  this->log.Append(this->level, std::move(this->text));
}

void Line::AddName(Field field) {
  this->text += ",\"";
  this->text += kFieldNames.NameOf(field);
  this->text += "\":";
}

Line& Line::Add(Field field, std::string_view value) {
  if (!this->enabled)
    return *this;
  this->AddName(field);
  this->text += '"';
  AppendEscaped(this->text, value);
  this->text += '"';
  return *this;
}

Line& Line::Add(Field field, int64_t value) {
  if (!this->enabled)
    return *this;
  this->AddName(field);
  this->text += std::to_string(value);
  return *this;
}

Line& Line::Add(Field field, uint64_t value) {
  if (!this->enabled)
    return *this;
  this->AddName(field);
  this->text += std::to_string(value);
  return *this;
}

Line& Line::Add(Field field, double value) {
  if (!this->enabled)
    return *this;
  this->AddName(field);
  char number[32];
  std::snprintf(number, sizeof(number), "%.3f", value);
  this->text += number;
  return *this;
}

Line& Line::Add(Field field, common::Duration value) {
  if (!this->enabled)
    return *this;
  this->AddName(field);
  char number[32];
  std::snprintf(number, sizeof(number), "%.1f", common::ToMilliseconds(value));
  this->text += number;
  return *this;
}

std::string RenderEventsPage() {
  std::string page =
      "# Log lines\n\n"
      "`jujuberock gateway` writes one JSON object a line to standard output. "
      "Each has `time_ms` (Unix time), `host` and\n`event`, and fields of the "
      "second table that depend on the event. The setting `log_level` names "
      "the last level that\nis written. This page is the output of `jujuberock "
      "events`.\n\n| event | level |\n| --- | --- |\n";
  for (size_t i = 0; i < kEvents; ++i) {
    const auto event = static_cast<Event>(i);
    page += "| `" + std::string(kEventNames.NameOf(event)) + "` | " +
            std::string(kLevelNames.NameOf(LevelOf(event))) + " |\n";
  }
  page += "\n| field |\n| --- |\n";
  for (size_t i = 0; i < kFields; ++i)
    page += "| `" + std::string(kFieldNames.NameOf(static_cast<Field>(i))) +
            "` |\n";
  return page;
}

}  // namespace jujuberock::events
