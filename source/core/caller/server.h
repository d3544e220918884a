#ifndef CORE_CALLER_SERVER_H_
#define CORE_CALLER_SERVER_H_

#include <atomic>
#include <string>
#include <string_view>

#include "core/caller/api_key_registry.h"
#include "core/caller/completion_writer.h"
#include "core/caller/event_id.h"
#include "core/caller/handler.h"
#include "core/common/metrics.h"
#include "core/runtime/http_server.h"

namespace jujuberock::caller {

struct ServerOptions {
  runtime::HttpServerOptions http;
  int64_t max_tokens_limit = 32768;
  // Prefix of response ids; must differ between hosts and between restarts.
  std::string response_id_prefix;
};

// HTTP server for callers. Authenticates and parses requests, passes them to
// the handler, and renders responses and problem details.
class Server {
 public:
  Server(runtime::WorkerPool& pool,
         const runtime::Address& address,
         ServerOptions options,
         const ApiKeyRegistry& keys,
         const EventIdSealer& sealer,
         Handler& handler,
         common::MetricRegistry& counters);

  runtime::Address address() const { return this->http.address(); }
  void Drain() { this->http.Drain(); }
  bool IsDrained() const { return this->http.IsDrained(); }
  void EndUnanswered(const common::Error& error) {
    this->http.EndUnanswered(error);
  }
  size_t ActiveRequests() const { return this->http.ActiveRequests(); }
  size_t OpenConnections() const { return this->http.OpenConnections(); }

 private:
  using RouteHandler = void (Server::*)(const runtime::HttpRequest&,
                                        runtime::ResponseWriter&);
  struct PathRoute {
    std::string_view path;
    RouteHandler handle;
  };
  static const PathRoute kRoutes[];

  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer);
  void HandleTextCompletion(const runtime::HttpRequest& request,
                            runtime::ResponseWriter& writer);
  void HandleChatCompletion(const runtime::HttpRequest& request,
                            runtime::ResponseWriter& writer);
  void HandleService(const runtime::HttpRequest& request,
                     runtime::ResponseWriter& writer);
  void HandleCompletion(CompletionKind kind,
                        const runtime::HttpRequest& request,
                        runtime::ResponseWriter& writer);
  void HandleResume(ResponseMetadata metadata,
                    const CallHeaders& headers,
                    runtime::ResponseWriter& writer);
  std::string Authenticate(const runtime::HttpRequest& request) const;
  std::string NextResponseId(CompletionKind kind);

  ServerOptions options;
  const ApiKeyRegistry& keys;
  const EventIdSealer& sealer;
  Handler& handler;
  common::MetricRegistry& counters;
  std::atomic<uint64_t> response_count{0};
  // Declared last, because its request handlers use all members above.
  runtime::HttpServer http;
};

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_SERVER_H_
