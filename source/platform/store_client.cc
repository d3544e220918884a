#include "platform/store_client.h"

#include <array>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/runtime/boot_clock.h"
#include "platform/store_answer.h"
#include "platform/wire_names.h"

namespace jujuberock::platform_adapter {

namespace {

using common::Duration;
using common::Error;
using common::ResultCode;
using Json = nlohmann::json;

constexpr Duration kReadTimeout = std::chrono::milliseconds(900);
constexpr Duration kWriteTimeout = std::chrono::milliseconds(900);
// A page of a list has about a megabyte, an object a little more at most. A
// watch may return many objects at once.
constexpr size_t kMaxPageBytes = 8 * 1024 * 1024;
constexpr size_t kMaxWatchBytes = 16 * 1024 * 1024;
// Added to the wait of a watch before it times out.
constexpr Duration kWatchTimeoutMargin = std::chrono::milliseconds(700);
// An empty watch response counts as sent at the end of the wait if it arrives
// at most this much earlier. Otherwise it may have been sent at any time after
// the request.
constexpr Duration kWatchTolerance = std::chrono::milliseconds(5);

// Indexed by catalog::ObjectKind.
constexpr std::array kKindNames = {wire::kConfigKind,   wire::kEndpointsKind,
                                   wire::kVersionsKind, wire::kHostsKind,
                                   wire::kStreamsKind,  wire::kEvacuationsKind};

std::string KindPath(catalog::ObjectKind kind) {
  std::string path(wire::kObjectsPath);
  path += kKindNames[static_cast<size_t>(kind)];
  return path;
}

runtime::HttpRequest MakeRequest(std::string method, std::string target) {
  runtime::HttpRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  return request;
}

std::optional<uint64_t> ParseEra(std::string_view text) {
  uint64_t era = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, era);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return era;
}

// Escapes all but the unreserved characters of a URI (RFC 3986, section 2.3),
// since any text may be the name of an object.
std::string EscapeForUri(std::string_view text) {
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      escaped += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    escaped += {'%', kDigits[byte / 16], kDigits[byte % 16]};
  }
  return escaped;
}

[[noreturn]] void ThrowForStatus(const runtime::HttpResponse& response) {
  if (response.status == 429)
    throw Error(ResultCode::kPlatformRateLimited, "store rate limit exceeded");
  throw Error(ResultCode::kPlatformUnavailable,
              "store returned HTTP status " + std::to_string(response.status));
}

std::string RenderWriteBody(std::string_view name,
                            std::optional<uint64_t> revision,
                            std::string_view content) {
  Json body;
  body["metadata"]["name"] = std::string(name);
  body["metadata"]["finalizers"] = Json::array();
  if (revision)
    body["metadata"]["rev"] = *revision;
  body["spec"] = Json::parse(content);
  return body.dump();
}

}  // namespace

StoreClient::StoreClient(runtime::HttpClient& http,
                         runtime::Address address,
                         common::MetricRegistry& counters)
    : http(http),
      address(std::move(address)),
      reads(counters.GetCounter("store_calls_total", {{"call", "read"}})),
      writes(counters.GetCounter("store_calls_total", {{"call", "write"}})) {
  for (size_t i = 0; i < this->unreadable.size(); ++i) {
    const std::string kind(
        catalog::kObjectKindNames.NameOf(static_cast<catalog::ObjectKind>(i)));
    this->lists[i] = &counters.GetCounter("store_calls_total",
                                          {{"call", "list"}, {"kind", kind}});
    this->watches[i] = &counters.GetCounter(
        "store_calls_total", {{"call", "watch"}, {"kind", kind}});
    this->unreadable[i] = &counters.GetCounter("store_entries_unreadable_total",
                                               {{"kind", kind}});
  }
}

void StoreClient::CountUnreadable(catalog::ObjectKind kind,
                                  const catalog::StoredObject& object) {
  if (object.fault != catalog::ObjectFault::kNone)
    this->unreadable[static_cast<size_t>(kind)]->Add();
}

runtime::HttpResponse StoreClient::Fetch(const runtime::HttpRequest& request,
                                         Duration timeout,
                                         size_t body_limit_bytes) {
  runtime::HttpCallOptions options;
  options.body_limit_bytes = body_limit_bytes;
  options.header_timeout = timeout;
  options.read_timeout = kReadTimeout;
  try {
    auto response = this->http.Fetch(this->address, request, options);
    this->CheckEra(response);
    return response;
  } catch (const runtime::HttpError& error) {
    throw Error(
        ResultCode::kPlatformUnavailable, error.what(),
        error.sent() ? common::Outcome::kUnknown : common::Outcome::kNotRun);
  }
}

void StoreClient::CheckEra(const runtime::HttpResponse& response) {
  const auto text = response.headers.Find(wire::kStoreEra);
  const auto era = text ? ParseEra(*text) : std::nullopt;
  if (!era)
    return;
  if (*era < this->newest_era)
    throw Error(ResultCode::kPlatformUnavailable,
                "the store's answer is of a former era",
                common::Outcome::kUnknown);
  this->newest_era = *era;
}

catalog::ObjectSnapshot StoreClient::List(catalog::ObjectKind kind) {
  catalog::ObjectSnapshot snapshot;
  std::string last_name;
  uint64_t first_page_era = 0;
  while (true) {
    this->lists[static_cast<size_t>(kind)]->Add();
    std::string target = KindPath(kind);
    if (!last_name.empty())
      target += "?after=" + EscapeForUri(last_name);
    const auto response =
        this->Fetch(MakeRequest("GET", target), kReadTimeout, kMaxPageBytes);
    if (response.status != 200)
      ThrowForStatus(response);
    if (last_name.empty())
      first_page_era = this->newest_era;
    else if (first_page_era != this->newest_era)
      throw Error(ResultCode::kPlatformUnavailable,
                  "the store came back from a copy between two pages");
    ListPage page = DecodeListPage(response.body);
    // The first page has the oldest revision. A watch that starts there also
    // sees the changes made while later pages were read.
    if (last_name.empty())
      snapshot.revision = page.revision;
    const std::string page_end(page.LastName());
    for (catalog::StoredObject& object : page.objects) {
      this->CountUnreadable(kind, object);
      snapshot.objects.push_back(std::move(object));
    }
    if (!page.more)
      return snapshot;
    if (page_end.empty() || page_end == last_name)
      throw Error(ResultCode::kProtocolError,
                  "the list continues after a page without new objects");
    last_name = page_end;
  }
}

catalog::ObjectChanges StoreClient::Watch(catalog::ObjectKind kind,
                                          uint64_t revision,
                                          Duration wait) {
  this->watches[static_cast<size_t>(kind)]->Add();
  const common::TimePoint sent_at = runtime::BootNow();
  const std::string target = KindPath(kind) +
                             "?watch=" + std::to_string(revision) +
                             "&waitMs=" + std::to_string(wait.count() / 1000);
  const auto response = this->Fetch(MakeRequest("GET", target),
                                    wait + kWatchTimeoutMargin, kMaxWatchBytes);
  catalog::ObjectChanges changes;
  changes.revision = revision;
  if (response.status == 410) {
    changes.history_gone = true;
    return changes;
  }
  if (response.status != 200)
    ThrowForStatus(response);
  changes = DecodeWatchAnswer(response.body);
  for (const catalog::ObjectChange& change : changes.changes)
    this->CountUnreadable(kind, change.object);
  // The store sends an empty response only when the wait has passed.
  const Duration took = runtime::BootNow() - sent_at;
  if (changes.changes.empty() && took >= wait - kWatchTolerance)
    changes.answer_age.age = -wait;
  return changes;
}

std::optional<catalog::StoredObject> StoreClient::Read(catalog::ObjectKind kind,
                                                       std::string_view name) {
  this->reads.Add();
  const auto response =
      this->Fetch(MakeRequest("GET", KindPath(kind) + "/" + EscapeForUri(name)),
                  kReadTimeout, kMaxPageBytes);
  if (response.status == 404)
    return std::nullopt;
  if (response.status != 200)
    ThrowForStatus(response);
  auto object = DecodeStoredObject(response.body);
  this->CountUnreadable(kind, object);
  return object;
}

catalog::WriteReply StoreClient::Write(runtime::HttpRequest request) {
  this->writes.Add();
  request.headers.Set("Content-Type", "application/json");
  catalog::WriteReply reply;
  try {
    const auto response = this->Fetch(request, kWriteTimeout, kMaxPageBytes);
    if (response.status == 429 || response.status == 503) {
      reply.state = catalog::WriteState::kRefused;
      return reply;
    }
    if (response.status == 404) {
      reply.state = catalog::WriteState::kMissing;
      return reply;
    }
    const bool written = response.status >= 200 && response.status < 300;
    if (!written && response.status != 409)
      return reply;
    reply.state = written ? catalog::WriteState::kWritten
                          : catalog::WriteState::kConflict;
    // The HTTP status already determines the result of the write. An object
    // without a revision tells nothing; the caller has to read it again.
    auto current = DecodeStoredObject(response.body);
    const bool has_revision =
        current.fault != catalog::ObjectFault::kNoName &&
        current.fault != catalog::ObjectFault::kNoRevision;
    if (has_revision)
      reply.current = std::move(current);
  } catch (const Error& error) {
    if (error.outcome() == common::Outcome::kNotRun)
      reply.state = catalog::WriteState::kRefused;
  }
  return reply;
}

catalog::WriteReply StoreClient::Create(catalog::ObjectKind kind,
                                        std::string_view name,
                                        std::string_view content) {
  auto request = MakeRequest("POST", KindPath(kind));
  request.body = RenderWriteBody(name, std::nullopt, content);
  return this->Write(std::move(request));
}

catalog::WriteReply StoreClient::Replace(catalog::ObjectKind kind,
                                         std::string_view name,
                                         uint64_t expected,
                                         std::string_view content) {
  auto request = MakeRequest("PUT", KindPath(kind) + "/" + EscapeForUri(name));
  request.body = RenderWriteBody(name, expected, content);
  return this->Write(std::move(request));
}

}  // namespace jujuberock::platform_adapter
