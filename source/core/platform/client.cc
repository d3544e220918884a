#include "core/platform/client.h"

#include <utility>

#include "core/common/error.h"
#include "core/platform/object_json.h"

namespace jujuberock::platform {

using common::Error;
using common::ResultCode;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

constexpr common::Duration kCallTimeout = std::chrono::seconds(2);

std::string ObjectPath(std::string_view kind, std::string_view name) {
  return "/objects/" + std::string(kind) + "/" + std::string(name);
}

common::Counter& CallCounter(common::MetricRegistry& counters,
                             const char* call) {
  return counters.GetCounter("platform_calls_total", {{"call", call}});
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
      reads(CallCounter(counters, "read")),
      writes(CallCounter(counters, "write")),
      lists(CallCounter(counters, "list")),
      watches(CallCounter(counters, "watch")) {}

HttpResponse Client::Fetch(const HttpRequest& request) {
  try {
    return this->http.Fetch(
        this->address, request,
        {.header_timeout = kCallTimeout, .read_timeout = kCallTimeout});
  } catch (const runtime::HttpError& error) {
    throw Error(ResultCode::kPlatformUnavailable, error.what(),
                error.outcome());
  }
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
  return ParseObject(response.body);
}

WriteResult Client::SendWrite(const HttpRequest& request) {
  this->writes.Add();
  WriteResult result;
  try {
    const HttpResponse response = this->Fetch(request);
    if (response.status == 200) {
      result.state = WriteState::kWritten;
      result.version = ParseWrittenVersion(response.body);
      return result;
    }
    result.detail =
        "platform returned HTTP status " + std::to_string(response.status);
    if (response.status == 409) {
      result.state = WriteState::kConflict;
      if (!response.body.empty())
        result.current = ParseObject(response.body);
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
  HttpRequest request{"PUT", ObjectPath(kind, name), {}, {}};
  request.headers.Add("If-Version", std::to_string(expected));
  request.headers.Add("Content-Type", "application/json");
  request.body = RenderWriteBody(body, token);
  return this->SendWrite(request);
}

WriteResult Client::Delete(std::string_view kind,
                           std::string_view name,
                           Version expected) {
  HttpRequest request{"DELETE", ObjectPath(kind, name), {}, {}};
  request.headers.Add("If-Version", std::to_string(expected));
  return this->SendWrite(request);
}

ObjectList Client::List(std::string_view kind) {
  this->lists.Add();
  const HttpResponse response =
      this->Fetch({"GET", "/objects/" + std::string(kind), {}, ""});
  if (response.status != 200)
    ThrowForStatus(response.status);
  return ParseObjectList(response.body);
}

WatchEnd Client::Watch(std::string_view kind,
                       Version since,
                       common::Duration idle_timeout,
                       const std::function<bool(const Object&)>& on_change,
                       common::Duration max_age,
                       const std::function<bool()>& should_stop) {
  this->watches.Add();
  const std::string target =
      "/watch/" + std::string(kind) + "?since=" + std::to_string(since);
  const auto opened_at = std::chrono::steady_clock::now();
  std::string buffer;
  try {
    auto stream = this->http.Open(this->address, {"GET", target, {}, ""},
                                  {.header_timeout = kCallTimeout,
                                   .read_timeout = idle_timeout,
                                   .fresh_connection = true});
    if (stream->status() != 200)
      ThrowForStatus(stream->status());
    while (auto bytes = stream->Read()) {
      buffer += *bytes;
      size_t end;
      while ((end = buffer.find('\n')) != std::string::npos) {
        const std::string line = buffer.substr(0, end);
        buffer.erase(0, end + 1);
        // The platform sends empty lines as keep-alives.
        if (!line.empty() && !on_change(ParseObject(line)))
          return WatchEnd::kStopped;
      }
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
