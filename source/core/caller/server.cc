#include "core/caller/server.h"

#include <strings.h>

#include <array>
#include <utility>

#include "core/caller/completion_request.h"
#include "core/caller/path_validation.h"
#include "core/caller/problem.h"
#include "core/common/error.h"

namespace jujuberock::caller {

using common::Error;
using common::ResultCode;
using runtime::HttpHeaders;
using runtime::HttpRequest;
using runtime::HttpResponse;
using runtime::ResponseWriter;

namespace {

constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kReservedHeaderPrefix = "jujuberock-";

// Hop-by-hop fields (RFC 9110, section 7.6.1) and fields that the host sets
// itself.
constexpr std::array<std::string_view, 12> kStrippedFields = {
    "connection", "keep-alive",        "proxy-connection",
    "te",         "transfer-encoding", "upgrade",
    "trailer",    "content-length",    "host",
    "expect",     "authorization",     "idempotency-key"};

bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         strncasecmp(text.data(), prefix.data(), prefix.size()) == 0;
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && StartsWithIgnoreCase(a, b);
}

bool IsStripped(std::string_view name) {
  if (StartsWithIgnoreCase(name, kReservedHeaderPrefix))
    return true;
  for (const std::string_view stripped : kStrippedFields) {
    if (EqualsIgnoreCase(name, stripped))
      return true;
  }
  return false;
}

// Removes hop-by-hop and reserved fields, including those that the Connection
// field lists.
HttpHeaders StripHeaders(const HttpHeaders& headers) {
  HttpHeaders kept;
  for (const runtime::HttpHeader& field : headers.all()) {
    if (!IsStripped(field.name))
      kept.Add(field.name, field.value);
  }
  std::string_view listed = headers.Find("Connection").value_or("");
  while (!listed.empty()) {
    const size_t comma = listed.find(',');
    std::string_view name = listed.substr(0, comma);
    while (!name.empty() && name.front() == ' ')
      name.remove_prefix(1);
    while (!name.empty() && name.back() == ' ')
      name.remove_suffix(1);
    kept.Remove(name);
    listed.remove_prefix(comma == std::string_view::npos ? listed.size()
                                                         : comma + 1);
  }
  return kept;
}

std::string_view PathWithoutQuery(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

const Server::PathRoute Server::kRoutes[] = {
    {"/v1/completions", &Server::HandleTextCompletion},
    {"/v1/chat/completions", &Server::HandleChatCompletion},
};

Server::Server(runtime::WorkerPool& pool,
               const runtime::Address& address,
               ServerOptions options,
               const ApiKeyRegistry& keys,
               const EventIdSealer& sealer,
               Handler& handler,
               common::MetricRegistry& counters)
    : options(std::move(options)),
      keys(keys),
      sealer(sealer),
      handler(handler),
      counters(counters),
      http(
          pool,
          address,
          this->options.http,
          [this](const HttpRequest& request, ResponseWriter& writer) {
            this->Handle(request, writer);
          },
          [this](const Error& error) {
            const std::string name(common::InfoOf(error.code()).name);
            this->counters.GetCounter("caller_errors_total", {{"code", name}})
                .Add();
            return RenderProblemResponse(error);
          }) {}

void Server::Handle(const HttpRequest& request, ResponseWriter& writer) {
  const std::string_view path = PathWithoutQuery(request.target);
  for (const PathRoute& route : kRoutes) {
    if (path == route.path)
      return (this->*route.handle)(request, writer);
  }
  if (path.rfind(kServicePrefix, 0) == 0)
    return this->HandleService(request, writer);
  throw Error(ResultCode::kUnknownPath, "no such path");
}

void Server::HandleTextCompletion(const HttpRequest& request,
                                  ResponseWriter& writer) {
  this->HandleCompletion(CompletionKind::kText, request, writer);
}

void Server::HandleChatCompletion(const HttpRequest& request,
                                  ResponseWriter& writer) {
  this->HandleCompletion(CompletionKind::kChat, request, writer);
}

void Server::HandleCompletion(CompletionKind kind,
                              const HttpRequest& request,
                              ResponseWriter& writer) {
  const CallHeaders headers = ParseCallHeaders(request.headers);
  const bool is_resume = !headers.last_event_id.empty();
  // Browsers reconnect to an event stream with a GET request.
  const bool method_allowed =
      request.method == "POST" || (is_resume && request.method == "GET");
  if (!method_allowed)
    throw Error(ResultCode::kMethodNotAllowed, "this path requires POST");
  ResponseMetadata metadata{kind, this->Authenticate(request),
                            this->NextResponseId(kind), ""};
  if (is_resume)
    return this->HandleResume(std::move(metadata), headers, writer);
  CompletionCall call{
      metadata.team, headers,
      ParseCompletion(kind, request.body, this->options.max_tokens_limit)};
  metadata.model = call.request.model;
  if (!call.request.stream) {
    BufferedCompletion completion(std::move(metadata), writer);
    this->handler.Complete(call, completion);
    return;
  }
  StreamedCompletion completion(std::move(metadata), this->sealer, writer);
  try {
    this->handler.Complete(call, completion);
  } catch (const Error& error) {
    if (!completion.started() || error.code() == ResultCode::kCanceled)
      throw;
    completion.Fail(error);
  }
}

void Server::HandleResume(ResponseMetadata metadata,
                          const CallHeaders& headers,
                          ResponseWriter& writer) {
  ResumeCall call{metadata.team,
                  this->sealer.Open(headers.last_event_id, metadata.team)};
  metadata.model = call.position.model;
  StreamedCompletion completion(std::move(metadata), this->sealer, writer);
  try {
    this->handler.Resume(call, completion);
  } catch (const Error& error) {
    if (!completion.started() || error.code() == ResultCode::kCanceled)
      throw;
    completion.Fail(error);
  }
}

void Server::HandleService(const HttpRequest& request, ResponseWriter& writer) {
  ServiceCall call;
  call.headers = ParseCallHeaders(request.headers);
  call.team = this->Authenticate(request);
  const std::string rest = request.target.substr(kServicePrefix.size());
  const size_t end = rest.find_first_of("/?");
  call.service = rest.substr(0, end);
  call.request.method = request.method;
  call.request.target = end == std::string::npos ? "/" : rest.substr(end);
  if (call.request.target.front() == '?')
    call.request.target.insert(0, "/");
  if (const auto path_error = FindPathError(call.request.target))
    throw Error(ResultCode::kMalformedRequest, *path_error);
  call.request.headers = StripHeaders(request.headers);
  call.request.body = request.body;
  HttpResponse response = this->handler.CallService(call);
  response.headers = StripHeaders(response.headers);
  writer.Send(std::move(response));
}

std::string Server::Authenticate(const HttpRequest& request) const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value =
      request.headers.Find("Authorization").value_or("");
  if (!StartsWithIgnoreCase(value, kScheme) || value.size() == kScheme.size())
    throw Error(ResultCode::kUnauthenticated,
                "the Authorization header must be: Bearer KEY");
  return this->keys.TeamOf(value.substr(kScheme.size()));
}

std::string Server::NextResponseId(CompletionKind kind) {
  const char* prefix = kind == CompletionKind::kChat ? "chatcmpl-" : "cmpl-";
  return prefix + this->options.response_id_prefix + "-" +
         std::to_string(this->response_count.fetch_add(1));
}

}  // namespace jujuberock::caller
