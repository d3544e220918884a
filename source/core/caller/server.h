#ifndef CORE_CALLER_SERVER_H_
#define CORE_CALLER_SERVER_H_

#include <atomic>
#include <string>
#include <string_view>

#include "core/caller/completion_writer.h"
#include "core/caller/event_id.h"
#include "core/caller/handler.h"
#include "core/caller/key_directory.h"
#include "core/common/counters.h"
#include "core/runtime/http_server.h"

namespace jujuberock::caller {

struct ServerOptions {
  runtime::HttpServerOptions http;
  int64_t max_tokens_limit = 32768;
  // Prefix of the ids of answers, different on every host and start.
  std::string answer_id_prefix;
};

// The callers' HTTP interface: authenticates, parses, hands requests to the
// handler and renders answers and problems.
class Server {
 public:
  Server(runtime::WorkerPool& pool,
         const runtime::Address& address,
         ServerOptions options,
         const KeyDirectory& keys,
         const EventIdSealer& sealer,
         Handler& handler,
         common::CounterRegistry& counters);

  runtime::Address address() const { return this->http.address(); }
  void Drain() { this->http.Drain(); }
  bool IsDrained() const { return this->http.IsDrained(); }
  size_t ActiveRequests() const { return this->http.ActiveRequests(); }
  size_t OpenConnections() const { return this->http.OpenConnections(); }

 private:
  using Route = void (Server::*)(const runtime::HttpRequest&,
                                 runtime::ResponseWriter&);
  struct FixedRoute {
    std::string_view path;
    Route route;
  };
  static const FixedRoute kRoutes[];

  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer);
  void HandleText(const runtime::HttpRequest& request,
                  runtime::ResponseWriter& writer);
  void HandleChat(const runtime::HttpRequest& request,
                  runtime::ResponseWriter& writer);
  void HandleService(const runtime::HttpRequest& request,
                     runtime::ResponseWriter& writer);
  void HandleCompletion(CompletionKind kind,
                        const runtime::HttpRequest& request,
                        runtime::ResponseWriter& writer);
  void HandleResume(AnswerHead head,
                    const CallHeaders& headers,
                    runtime::ResponseWriter& writer);
  std::string Authenticate(const runtime::HttpRequest& request) const;
  std::string NextAnswerId(CompletionKind kind);

  ServerOptions options;
  const KeyDirectory& keys;
  const EventIdSealer& sealer;
  Handler& handler;
  common::CounterRegistry& counters;
  std::atomic<uint64_t> answers{0};
  // Last: its handlers use everything above.
  runtime::HttpServer http;
};

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_SERVER_H_
