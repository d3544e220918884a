#ifndef CORE_OPERATOR_API_SERVER_H_
#define CORE_OPERATOR_API_SERVER_H_

#include <functional>
#include <optional>
#include <string>

#include "core/common/metrics.h"
#include "core/runtime/http_server.h"

namespace jujuberock::operator_api {

// Callbacks that implement the operator API. Each may be called on any worker.
struct Hooks {
  // Returns why the host is not ready for callers; nullopt if it is ready.
  std::function<std::optional<std::string>()> not_ready;
  // Returns the status of the host as a JSON document.
  std::function<std::string()> status;
  // Returns the error budget burn of the service levels as a JSON document.
  std::function<std::string()> burn;
  // Starts a planned stop and returns immediately.
  std::function<void()> stop;
};

// HTTP server of the operator API: GET /healthz, /readyz, /metrics, /status and
// /burn; POST /stop. The last three require the operator key as bearer token,
// unless the key is empty.
class Server {
 public:
  Server(runtime::WorkerPool& pool,
         const runtime::Address& address,
         const common::MetricRegistry& counters,
         std::string operator_key,
         Hooks hooks);

  runtime::Address address() const { return this->http.address(); }

 private:
  struct Route;
  static const Route kRoutes[];

  runtime::HttpResponse Health();
  runtime::HttpResponse Ready();
  runtime::HttpResponse Metrics();
  runtime::HttpResponse Status();
  runtime::HttpResponse Burn();
  runtime::HttpResponse Stop();
  void RequireOperatorKey(const runtime::HttpRequest& request) const;
  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer);

  const common::MetricRegistry& counters;
  std::string operator_key;
  Hooks hooks;
  // Must be the last member: its handlers use the members above.
  runtime::HttpServer http;
};

}  // namespace jujuberock::operator_api

#endif  // CORE_OPERATOR_API_SERVER_H_
