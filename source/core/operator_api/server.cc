#include "core/operator_api/server.h"

#include <openssl/crypto.h>

#include <string_view>
#include <utility>

#include "core/common/error.h"

namespace jujuberock::operator_api {

using common::Error;
using common::ResultCode;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

// Operator calls need no larger body.
constexpr size_t kBodyLimitBytes = 64 * 1024;
constexpr size_t kMaxConnections = 256;

HttpResponse MakeResponse(int status, const char* type, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", type);
  response.body = std::move(body);
  return response;
}

}  // namespace

struct Server::Route {
  std::string_view method;
  std::string_view path;
  HttpResponse (Server::*handler)();
  bool requires_operator_key;
};

const Server::Route Server::kRoutes[] = {
    {"GET", "/healthz", &Server::Health, false},
    {"GET", "/readyz", &Server::Ready, false},
    {"GET", "/metrics", &Server::Metrics, false},
    {"GET", "/status", &Server::Status, true},
    {"GET", "/burn", &Server::Burn, true},
    {"POST", "/stop", &Server::Stop, true},
};

Server::Server(runtime::WorkerPool& pool,
               const runtime::Address& address,
               const common::MetricRegistry& counters,
               std::string operator_key,
               Hooks hooks)
    : counters(counters),
      operator_key(std::move(operator_key)),
      hooks(std::move(hooks)),
      http(
          pool,
          address,
          {.body_limit_bytes = kBodyLimitBytes,
           .max_connections = kMaxConnections},
          [this](const HttpRequest& request, runtime::ResponseWriter& writer) {
            this->Handle(request, writer);
          },
          runtime::RenderPlainError) {}

void Server::Handle(const HttpRequest& request,
                    runtime::ResponseWriter& writer) {
  const std::string_view target = request.target;
  const std::string_view path = target.substr(0, target.find('?'));
  bool path_known = false;
  for (const Route& route : kRoutes) {
    if (route.path != path)
      continue;
    path_known = true;
    if (route.method != request.method)
      continue;
    if (route.requires_operator_key)
      this->RequireOperatorKey(request);
    return writer.Send((this->*route.handler)());
  }
  if (path_known)
    throw Error(ResultCode::kMethodNotAllowed, request.method);
  throw Error(ResultCode::kUnknownPath, "no such path");
}

void Server::RequireOperatorKey(const HttpRequest& request) const {
  if (this->operator_key.empty())
    return;
  const std::string expected = "Bearer " + this->operator_key;
  const std::string given(request.headers.Find("Authorization").value_or(""));
  // The length is not secret; the content is compared in constant time.
  const bool same =
      given.size() == expected.size() &&
      CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
  if (!same)
    throw Error(ResultCode::kUnauthenticated, "operator key required");
}

HttpResponse Server::Health() {
  return MakeResponse(200, "text/plain", "ok\n");
}

HttpResponse Server::Ready() {
  const std::optional<std::string> reason = this->hooks.not_ready();
  if (reason)
    return MakeResponse(503, "text/plain", *reason + "\n");
  return MakeResponse(200, "text/plain", "ready\n");
}

HttpResponse Server::Metrics() {
  return MakeResponse(200, "text/plain; version=0.0.4",
                      this->counters.RenderPrometheus());
}

HttpResponse Server::Status() {
  return MakeResponse(200, "application/json", this->hooks.status());
}

HttpResponse Server::Burn() {
  return MakeResponse(200, "application/json", this->hooks.burn());
}

HttpResponse Server::Stop() {
  this->hooks.stop();
  return MakeResponse(202, "text/plain", "stopping\n");
}

}  // namespace jujuberock::operator_api
