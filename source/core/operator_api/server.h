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
  // The host's service-level burn as a JSON document.
  std::function<std::string()> burn;
  // Starts the planned stop and returns at once.
  std::function<void()> stop;
};

// GET /healthz, /readyz, /metrics, /status and /burn; POST /stop. The last
// three need the operator's bearer key, unless it is empty.
class Server {
 public:
  Server(runtime::WorkerPool& pool,
         const runtime::Address& address,
         const common::CounterRegistry& counters,
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
  void RequireOperator(const runtime::HttpRequest& request) const;
  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer);

  const common::CounterRegistry& counters;
  std::string operator_key;
  Hooks hooks;
  // Last: its handlers use everything above.
  runtime::HttpServer http;
};

}  // namespace jujuberock::operator_api

#endif  // CORE_OPERATOR_API_SERVER_H_
