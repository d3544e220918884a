#include "core/caller/server.h"

#include <strings.h>

#include <array>
#include <utility>

#include "core/caller/completion_request.h"
#include "core/caller/normal_path.h"
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
constexpr std::string_view kOwnHeaderPrefix = "jujuberock-";

// Fields that belong to one connection (RFC 9110, section 7.6.1) or that the
// host sets itself.
constexpr std::array<std::string_view, 12> kDroppedFields = {
    "connection", "keep-alive",        "proxy-connection",
    "te",         "transfer-encoding", "upgrade",
    "trailer",    "content-length",    "host",
    "expect",     "authorization",     "idempotency-key"};

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         strncasecmp(text.data(), prefix.data(), prefix.size()) == 0;
}

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && StartsWith(a, b);
}

bool IsDropped(std::string_view name) {
  if (StartsWith(name, kOwnHeaderPrefix))
    return true;
  for (const std::string_view dropped : kDroppedFields) {
    if (SameName(name, dropped))
      return true;
  }
  return false;
}

// Also removes what the caller's Connection field declares as its own.
HttpHeaders CleanHeaders(const HttpHeaders& headers) {
  HttpHeaders clean;
  for (const runtime::HttpHeader& field : headers.all()) {
    if (!IsDropped(field.name))
      clean.Add(field.name, field.value);
  }
  std::string_view listed = headers.Find("Connection").value_or("");
  while (!listed.empty()) {
    const size_t comma = listed.find(',');
    std::string_view name = listed.substr(0, comma);
    while (!name.empty() && name.front() == ' ')
      name.remove_prefix(1);
    while (!name.empty() && name.back() == ' ')
      name.remove_suffix(1);
    clean.Remove(name);
    listed.remove_prefix(comma == std::string_view::npos ? listed.size()
                                                         : comma + 1);
  }
  return clean;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

const Server::FixedRoute Server::kRoutes[] = {
    {"/v1/completions", &Server::HandleText},
    {"/v1/chat/completions", &Server::HandleChat},
};

Server::Server(runtime::WorkerPool& pool,
               const runtime::Address& address,
               ServerOptions options,
               const KeyDirectory& keys,
               const EventIdSealer& sealer,
               Handler& handler,
               common::CounterRegistry& counters)
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
            return RenderProblem(error);
          }) {}

void Server::Handle(const HttpRequest& request, ResponseWriter& writer) {
  const std::string_view path = PathOf(request.target);
  for (const FixedRoute& fixed : kRoutes) {
    if (path == fixed.path)
      return (this->*fixed.route)(request, writer);
  }
  if (path.rfind(kServicePrefix, 0) == 0)
    return this->HandleService(request, writer);
  throw Error(ResultCode::kUnknownPath, "no such path");
}

void Server::HandleText(const HttpRequest& request, ResponseWriter& writer) {
  this->HandleCompletion(CompletionKind::kText, request, writer);
}

void Server::HandleChat(const HttpRequest& request, ResponseWriter& writer) {
  this->HandleCompletion(CompletionKind::kChat, request, writer);
}

void Server::HandleCompletion(CompletionKind kind,
                              const HttpRequest& request,
                              ResponseWriter& writer) {
  const CallHeaders headers = ParseCallHeaders(request.headers);
  const bool resumes = !headers.last_event_id.empty();
  // Browsers reconnect to an event stream with GET.
  const bool method_fits =
      request.method == "POST" || (resumes && request.method == "GET");
  if (!method_fits)
    throw Error(ResultCode::kMethodNotAllowed, "use POST");
  AnswerHead head{kind, this->Authenticate(request), this->NextAnswerId(kind),
                  ""};
  if (resumes)
    return this->HandleResume(std::move(head), headers, writer);
  CompletionCall call{
      head.team, headers,
      ParseCompletion(kind, request.body, this->options.max_tokens_limit)};
  head.model = call.request.model;
  if (!call.request.stream) {
    WholeCompletion answer(std::move(head), writer);
    this->handler.Complete(call, answer);
    return;
  }
  StreamedCompletion answer(std::move(head), this->sealer, writer);
  try {
    this->handler.Complete(call, answer);
  } catch (const Error& error) {
    if (!answer.started() || error.code() == ResultCode::kCanceled)
      throw;
    answer.Fail(error);
  }
}

void Server::HandleResume(AnswerHead head,
                          const CallHeaders& headers,
                          ResponseWriter& writer) {
  ResumeCall call{head.team,
                  this->sealer.Open(headers.last_event_id, head.team)};
  head.model = call.position.model;
  StreamedCompletion answer(std::move(head), this->sealer, writer);
  try {
    this->handler.Resume(call, answer);
  } catch (const Error& error) {
    if (!answer.started() || error.code() == ResultCode::kCanceled)
      throw;
    answer.Fail(error);
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
  if (const auto problem = PathProblem(call.request.target))
    throw Error(ResultCode::kMalformedRequest, *problem);
  call.request.headers = CleanHeaders(request.headers);
  call.request.body = request.body;
  HttpResponse response = this->handler.CallService(call);
  response.headers = CleanHeaders(response.headers);
  writer.Send(std::move(response));
}

std::string Server::Authenticate(const HttpRequest& request) const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value =
      request.headers.Find("Authorization").value_or("");
  if (!StartsWith(value, kScheme) || value.size() == kScheme.size())
    throw Error(ResultCode::kUnauthenticated,
                "the Authorization header must be: Bearer KEY");
  return this->keys.TeamOf(value.substr(kScheme.size()));
}

std::string Server::NextAnswerId(CompletionKind kind) {
  const char* prefix = kind == CompletionKind::kChat ? "chatcmpl-" : "cmpl-";
  return prefix + this->options.answer_id_prefix + "-" +
         std::to_string(this->answers.fetch_add(1));
}

}  // namespace jujuberock::caller
