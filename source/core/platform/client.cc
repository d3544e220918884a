#include "core/platform/client.h"

#include <glog/logging.h>

#include <charconv>
#include <utility>

#include "core/common/error.h"
#include "core/platform/era_token.h"
#include "core/platform/object_json.h"

namespace jujuberock::platform {

using common::Error;
using common::ResultCode;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

constexpr common::Duration kCallTimeout = std::chrono::seconds(2);
// Largest list of objects, and largest object in a watch.
constexpr size_t kMaxListBytes = 16 * 1024 * 1024;
constexpr size_t kMaxLineBytes = 8 * 1024 * 1024;
constexpr std::string_view kEraField = "Store-Era";

std::string ObjectPath(std::string_view kind, std::string_view name) {
  return "/objects/" + std::string(kind) + "/" + std::string(name);
}

common::Counter& CallCounter(common::MetricRegistry& counters,
                             const char* call) {
  return counters.GetCounter("platform_calls_total", {{"call", call}});
}

Object ParseStoredObject(std::string_view text, uint64_t newest_era) {
  Object object = ParseObject(text);
  TakeEra(object, newest_era);
  return object;
}

[[noreturn]] void ThrowForStatus(int status) {
  if (status == 429)
    throw Error(ResultCode::kPlatformRateLimited,
                "platform rate limit exceeded");
  throw Error(ResultCode::kPlatformUnavailable,
              "platform returned HTTP status " + std::to_string(status));
}

}  // namespace

Client::Client(runtime::HttpClient& http,
               runtime::Address address,
               common::MetricRegistry& counters)
    : http(http),
      address(std::move(address)),
      counters(counters),
      reads(CallCounter(counters, "read")),
      writes(CallCounter(counters, "write")),
      lists(CallCounter(counters, "list")),
      watches(CallCounter(counters, "watch")) {}

HttpResponse Client::Fetch(const HttpRequest& request) {
  try {
    HttpResponse response = this->http.Fetch(this->address, request,
                                             {.body_limit_bytes = kMaxListBytes,
                                              .header_timeout = kCallTimeout,
                                              .read_timeout = kCallTimeout,
                                              .body_timeout = kCallTimeout});
    this->CheckEra(response.headers);
    return response;
  } catch (const runtime::HttpError& error) {
    throw Error(ResultCode::kPlatformUnavailable, error.what(),
                error.outcome());
  }
}

uint64_t Client::CheckEra(const runtime::HttpHeaders& headers) {
  uint64_t known = this->newest_era;
  const auto text = headers.Find(kEraField);
  uint64_t era = 0;
  const bool is_stated =
      text &&
      std::from_chars(text->data(), text->data() + text->size(), era).ec ==
          std::errc();
  if (!is_stated)
    return known;
  while (era > known && !this->newest_era.compare_exchange_weak(known, era)) {
  }
  if (era < known)
    throw Error(ResultCode::kPlatformUnavailable,
                "the platform's answer is of a former era",
                common::Outcome::kUnknown);
  return era;
}

std::optional<Object> Client::Read(std::string_view kind,
                                   std::string_view name) {
  this->reads.Add();
  const HttpResponse response =
      this->Fetch({"GET", ObjectPath(kind, name), {}, ""});
  if (response.status == 404)
    return std::nullopt;
  if (response.status != 200)
    ThrowForStatus(response.status);
  return ParseStoredObject(response.body, this->newest_era);
}

WriteResult Client::SendWrite(const HttpRequest& request) {
  this->writes.Add();
  WriteResult result;
  try {
    const HttpResponse response = this->Fetch(request);
    if (response.status == 200) {
      result.state = WriteState::kWritten;
      result.version =
          MakeVersion(this->newest_era, ParseWrittenVersion(response.body));
      return result;
    }
    result.detail =
        "platform returned HTTP status " + std::to_string(response.status);
    if (response.status == 409) {
      result.state = WriteState::kConflict;
      if (!response.body.empty())
        result.current = ParseStoredObject(response.body, this->newest_era);
      return result;
    }
    // After any other 5xx status the write may still have taken effect.
    const bool refused = response.status < 500 || response.status == 503;
    result.state = refused ? WriteState::kRejected : WriteState::kUnknown;
  } catch (const Error& error) {
    const bool not_sent = error.outcome() == common::Outcome::kNotRun;
    result.state = not_sent ? WriteState::kRejected : WriteState::kUnknown;
    result.detail = error.what();
  }
  return result;
}

WriteResult Client::Write(std::string_view kind,
                          std::string_view name,
                          Version expected,
                          std::string_view body,
                          std::string_view token) {
  const auto make_request = [&](uint64_t era) {
    HttpRequest request{"PUT", ObjectPath(kind, name), {}, {}};
    request.headers.Add("Content-Type", "application/json");
    request.body = RenderWriteBody(body, AddEra(era, token));
    return request;
  };
  const uint64_t era = this->newest_era;
  const WriteResult result = this->WriteAt(kind, name, expected, make_request);
  if (result.state != WriteState::kWritten || EraOf(result.version) == era)
    return result;
  // The store came back from a copy meanwhile, so the object names a former
  // era.
  return this->WriteAt(kind, name, result.version, make_request);
}

WriteResult Client::WriteAt(
    std::string_view kind,
    std::string_view name,
    Version expected,
    const std::function<HttpRequest(uint64_t era)>& make_request) {
  const uint64_t era = this->newest_era;
  if (expected != 0 && EraOf(expected) < era) {
    // The revision may have been given out again since.
    try {
      const std::optional<Object> found = this->Read(kind, name);
      if (!found || found->version != expected)
        return {WriteState::kConflict, 0, found, "written in a later era"};
    } catch (const Error& error) {
      return {WriteState::kRejected, 0, std::nullopt, error.what()};
    }
  }
  HttpRequest request = make_request(era);
  request.headers.Add("If-Version", std::to_string(RevisionOf(expected)));
  return this->SendWrite(request);
}

WriteResult Client::Delete(std::string_view kind,
                           std::string_view name,
                           Version expected) {
  return this->WriteAt(kind, name, expected, [&](uint64_t) {
    return HttpRequest{"DELETE", ObjectPath(kind, name), {}, {}};
  });
}

ObjectList Client::List(std::string_view kind) {
  this->lists.Add();
  const HttpResponse response =
      this->Fetch({"GET", "/objects/" + std::string(kind), {}, ""});
  const uint64_t era = this->CheckEra(response.headers);
  if (response.status != 200)
    ThrowForStatus(response.status);
  ObjectList list = ParseObjectList(response.body);
  this->OnMalformed(kind, list.malformed, list.problem);
  list.version = MakeVersion(era, list.version);
  for (Object& object : list.objects)
    TakeEra(object, era);
  return list;
}

void Client::OnMalformed(std::string_view kind,
                         size_t entries,
                         std::string_view problem) {
  if (entries == 0)
    return;
  common::Counter& malformed = this->counters.GetCounter(
      "platform_malformed_entries_total", {{"kind", std::string(kind)}});
  if (malformed.value() == 0)
    LOG(WARNING) << "left out an entry of kind " << kind << ": " << problem;
  malformed.Add(entries);
}

std::optional<Object> Client::TakeChange(std::string_view kind,
                                         std::string_view line,
                                         uint64_t era) {
  try {
    Object object = ParseStoredObject(line, era);
    object.version = MakeVersion(era, RevisionOf(object.version));
    return object;
  } catch (const Error& error) {
    this->OnMalformed(kind, 1, error.what());
    return std::nullopt;
  }
}

WatchEnd Client::Watch(std::string_view kind,
                       Version since,
                       common::Duration idle_timeout,
                       const std::function<bool(const Object&)>& on_change,
                       common::Duration max_age,
                       const std::function<bool()>& should_stop) {
  this->watches.Add();
  const std::string target = "/watch/" + std::string(kind) +
                             "?since=" + std::to_string(RevisionOf(since));
  const auto opened_at = std::chrono::steady_clock::now();
  std::string buffer;
  try {
    auto stream =
        this->http.Open(this->address, {"GET", target, {}, ""},
                        {.body_limit_bytes = runtime::kStreamLimitBytes,
                         .header_timeout = kCallTimeout,
                         .read_timeout = idle_timeout,
                         .fresh_connection = true});
    if (stream->status() != 200)
      ThrowForStatus(stream->status());
    // Revisions of a former era mean nothing, even if the store accepts them.
    if (this->CheckEra(stream->headers()) != EraOf(since))
      return WatchEnd::kRestored;
    while (auto bytes = stream->Read()) {
      buffer += *bytes;
      size_t end;
      while ((end = buffer.find('\n')) != std::string::npos) {
        const std::string line = buffer.substr(0, end);
        buffer.erase(0, end + 1);
        // The platform sends empty lines as keep-alives.
        if (line.empty())
          continue;
        const auto change = this->TakeChange(kind, line, EraOf(since));
        if (change && !on_change(*change))
          return WatchEnd::kStopped;
      }
      if (buffer.size() > kMaxLineBytes)
        return WatchEnd::kEnded;
      if (should_stop && should_stop())
        return WatchEnd::kStopped;
      // Compared in microseconds: Duration::max() overflows the clock's
      // nanoseconds.
      const auto open_for = std::chrono::duration_cast<common::Duration>(
          std::chrono::steady_clock::now() - opened_at);
      if (open_for >= max_age)
        return WatchEnd::kExpired;
    }
  } catch (const runtime::HttpError& error) {
    if (!error.sent())
      throw Error(ResultCode::kPlatformUnavailable, error.what());
    // A watch that was open has ended; the caller opens a new one from the last
    // version that it has seen.
    if (error.code() == ResultCode::kEndpointSilent)
      return WatchEnd::kSilent;
  }
  return WatchEnd::kEnded;
}

}  // namespace jujuberock::platform
