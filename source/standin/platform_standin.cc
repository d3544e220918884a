#include "standin/platform_standin.h"

#include <algorithm>
#include <fstream>
#include <utility>

#include "core/common/error.h"
#include "core/runtime/sleep.h"
#include "standin/field_writer.h"

namespace jujuberock::standin {

using common::Error;
using common::ResultCode;
using nlohmann::json;
using runtime::HttpRequest;
using runtime::ResponseWriter;

namespace {

constexpr size_t kMaxValueBytes = 1024 * 1024;
constexpr size_t kMaxNameLength = 63;
// Burst size of the rate limits, in seconds of the configured rate.
constexpr double kBurstSeconds = 1.0;

bool IsNameStart(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool IsValidName(const std::string& name) {
  if (name.empty() || name.size() > kMaxNameLength || !IsNameStart(name[0]))
    return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return IsNameStart(c) || c == '.' || c == '-';
  });
}

void ValidateName(const std::string& name) {
  if (!IsValidName(name))
    throw Error(ResultCode::kMalformedRequest, "invalid object name: " + name);
}

uint64_t ExpectedVersion(const HttpRequest& request) {
  const auto value = request.headers.Find("If-Version");
  if (!value)
    throw Error(ResultCode::kMalformedRequest, "If-Version header is missing");
  return ParseNumber(*value);
}

void SendStatus(ResponseWriter& writer, int status) {
  runtime::HttpResponse response;
  response.status = status;
  writer.Send(std::move(response));
}

}  // namespace

PlatformStandin::PlatformStandin(PlatformOptions options)
    : options(std::move(options)),
      write_limiter(this->options.writes_per_s,
                    this->options.writes_per_s * kBurstSeconds),
      read_limiter(this->options.reads_per_s,
                   this->options.reads_per_s * kBurstSeconds) {
  if (!this->options.objects_file.empty())
    this->LoadObjects();
}

void PlatformStandin::LoadObjects() {
  std::ifstream file(this->options.objects_file);
  const json content = json::parse(file, nullptr, false, true);
  if (!content.is_object() || !content.contains("objects"))
    throw Error(ResultCode::kInvalidSettings,
                "missing \"objects\" field or invalid JSON in " +
                    this->options.objects_file);
  for (const json& item : content["objects"]) {
    const std::string name = item.at("name");
    ValidateName(name);
    this->store.Write(item.at("kind"), name, 0, "initial",
                      item.at("body").dump());
  }
}

void PlatformStandin::Handle(const HttpRequest& request,
                             ResponseWriter& writer) {
  const Target target = ParseTarget(request.target);
  if (target.segments.size() < 2)
    return SendStatus(writer, 404);
  const std::string& area = target.segments[0];
  if (area == "control")
    return this->Control(request, target, writer);
  if (this->options.delay > common::Duration::zero())
    runtime::SleepFor(this->options.delay);
  if (this->InOutage()) {
    ++this->counts.refused_in_outage;
    return SendStatus(writer, 503);
  }
  const bool is_write = request.method != "GET";
  FieldWriter era_writer(writer, "Store-Era",
                         std::to_string(this->store.era()));
  TokenBucket& limiter = is_write ? this->write_limiter : this->read_limiter;
  if (!limiter.TryTake(Now())) {
    ++this->counts.limited;
    return SendStatus(era_writer, 429);
  }
  this->Serve(request, target, era_writer);
}

void PlatformStandin::Serve(const HttpRequest& request,
                            const Target& target,
                            ResponseWriter& writer) {
  const std::string& area = target.segments[0];
  const bool is_write = request.method != "GET";
  if (area == "watch" && !is_write && target.segments.size() == 2)
    return this->Watch(target, writer);
  if (area == "objects" && !is_write && target.segments.size() == 2)
    return this->List(target, writer);
  if (area == "objects" && target.segments.size() == 3) {
    ValidateName(target.segments[2]);
    if (!is_write)
      return this->Read(target, writer);
    return this->Change(request, target, writer);
  }
  SendStatus(writer, 404);
}

void PlatformStandin::Control(const HttpRequest& request,
                              const Target& target,
                              ResponseWriter& writer) {
  if (target.segments[1] == "faults") {
    this->SetFaults(ParseBody(request));
    return SendJson(writer, 200, json::object());
  }
  if (target.segments[1] == "objects" && target.segments.size() == 4) {
    this->store.WriteAny(target.segments[2], target.segments[3], request.body);
    this->change_signal.NotifyAll();
    return SendJson(writer, 200, json::object());
  }
  const Counts& c = this->counts;
  SendJson(writer, 200,
           {{"reads", c.reads},
            {"writes", c.writes},
            {"lists", c.lists},
            {"watches", c.watches},
            {"limited", c.limited},
            {"conflicts", c.conflicts},
            {"refused_in_outage", c.refused_in_outage},
            {"lost_answers", c.lost_answers},
            {"most_writes_in_a_second", c.most_writes_in_a_second},
            {"version", this->store.version()}});
}

void PlatformStandin::SetFaults(const json& faults) {
  if (faults.contains("outage_ms")) {
    const std::chrono::milliseconds length(faults["outage_ms"].get<int64_t>());
    this->outage_until = Now() + length;
  }
  if (faults.contains("delay_ms"))
    this->options.delay =
        std::chrono::milliseconds(faults["delay_ms"].get<int64_t>());
  if (faults.contains("lose_answers"))
    this->responses_to_drop = faults["lose_answers"].get<uint64_t>();
  if (faults.contains("silent_watches"))
    this->silent_watches = faults["silent_watches"].get<bool>();
  if (faults.value("copy", false))
    this->store.Copy();
  // Watches that wait are cut off, as in an outage.
  if (faults.value("restore", false))
    this->store.Restore();
  this->change_signal.NotifyAll();
}

void PlatformStandin::Read(const Target& target, ResponseWriter& writer) {
  ++this->counts.reads;
  const StoredObject* object =
      this->store.Find(target.segments[1], target.segments[2]);
  if (!object)
    return SendStatus(writer, 404);
  SendJsonText(writer, 200, object->ToJson());
}

void PlatformStandin::List(const Target& target, ResponseWriter& writer) {
  ++this->counts.lists;
  std::string objects;
  for (const StoredObject* object : this->store.List(target.segments[1]))
    objects += (objects.empty() ? "" : ",") + object->ToJson();
  SendJsonText(writer, 200,
               "{\"version\":" + std::to_string(this->store.version()) +
                   ",\"objects\":[" + objects + "]}");
}

void PlatformStandin::CountWrite() {
  ++this->counts.writes;
  const int64_t second = WallMilliseconds() / 1000;
  if (second != this->write_second) {
    this->write_second = second;
    this->writes_in_second = 0;
  }
  ++this->writes_in_second;
  this->counts.most_writes_in_a_second =
      std::max(this->counts.most_writes_in_a_second, this->writes_in_second);
}

void PlatformStandin::Change(const HttpRequest& request,
                             const Target& target,
                             ResponseWriter& writer) {
  this->CountWrite();
  const std::string& kind = target.segments[1];
  const std::string& name = target.segments[2];
  const uint64_t expected = ExpectedVersion(request);
  std::optional<uint64_t> version;
  if (request.method == "PUT") {
    if (request.body.size() > kMaxValueBytes)
      return SendStatus(writer, 413);
    const json body = ParseBody(request);
    if (!body.contains("body"))
      throw Error(ResultCode::kMalformedRequest, "missing field \"body\"");
    version = this->store.Write(kind, name, expected, body.value("token", ""),
                                body["body"].dump());
  } else if (request.method == "DELETE") {
    version = this->store.Delete(kind, name, expected);
  } else {
    return SendStatus(writer, 405);
  }
  if (version)
    this->change_signal.NotifyAll();
  if (version && this->responses_to_drop > 0) {
    --this->responses_to_drop;
    ++this->counts.lost_answers;
    DropConnection();
  }
  if (version)
    return SendJson(writer, 200, {{"version", *version}});
  ++this->counts.conflicts;
  const StoredObject* current = this->store.Find(kind, name);
  if (!current)
    return SendStatus(writer, 409);
  SendJsonText(writer, 409, current->ToJson());
}

void PlatformStandin::Watch(const Target& target, ResponseWriter& writer) {
  ++this->counts.watches;
  uint64_t since = target.NumberOr("since", 0);
  const uint64_t era = this->store.era();
  writer.StartStream(200, {{"Content-Type", "application/x-ndjson"}});
  common::TimePoint last_line = Now();
  while (!this->InOutage() && this->store.era() == era) {
    std::string lines;
    if (!this->silent_watches) {
      for (const StoredObject* object :
           this->store.ChangesSince(target.segments[1], since)) {
        lines += object->ToWatchJson() + "\n";
        since = object->version;
      }
      if (lines.empty() && Now() - last_line >= this->options.keep_alive)
        lines = "\n";
    }
    if (!lines.empty()) {
      writer.Write(lines);
      last_line = Now();
      continue;
    }
    this->change_signal.WaitFor(this->options.keep_alive);
  }
  DropConnection();
}

}  // namespace jujuberock::standin
