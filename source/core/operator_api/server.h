#ifndef CORE_OPERATOR_API_SERVER_H_
#define CORE_OPERATOR_API_SERVER_H_

#include <functional>
#include <optional>
#include <string>

#include "core/common/counters.h"
#include "core/runtime/http_server.h"

namespace jujuberock::operator_api {

// What the operator address shows and does; each may be called on any worker.
struct Hooks {
  // Why the host is not ready for callers; nothing when it is.
  std::function<std::optional<std::string>()> not_ready;
  // The host's status as a JSON document.
  std::function<std::string()> status;
  // Starts the planned stop and returns at once.
  std::function<void()> stop;
};

// GET /healthz, /readyz, /metrics and /status; POST /stop.
class Server {
 public:
  Server(runtime::WorkerPool& pool,
         const runtime::Address& address,
         const common::CounterRegistry& counters,
         Hooks hooks);

  runtime::Address address() const { return this->http.address(); }

 private:
  struct Route;
  static const Route kRoutes[];

  runtime::HttpResponse Health();
  runtime::HttpResponse Ready();
  runtime::HttpResponse Metrics();
  runtime::HttpResponse Status();
  runtime::HttpResponse Stop();
  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer);

  const common::CounterRegistry& counters;
  Hooks hooks;
  // Last: its handlers use everything above.
  runtime::HttpServer http;
};

}  // namespace jujuberock::operator_api

#endif  // CORE_OPERATOR_API_SERVER_H_
