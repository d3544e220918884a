#ifndef BENCH_FAKES_H_
#define BENCH_FAKES_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "core/runtime/http_server.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::bench {

// A server that responds from memory with almost no work, so that the overhead
// of a host is measurable. Each runs on its own worker.
class FakeServer {
 public:
  explicit FakeServer(runtime::HttpHandler handler)
      : server(this->pool,
               {"127.0.0.1", 0},
               {.body_limit_bytes = 64 * 1024 * 1024},
               std::move(handler),
               runtime::RenderPlainError) {}

  runtime::Address address() const { return this->server.address(); }

 private:
  runtime::WorkerPool pool{1};
  runtime::HttpServer server;
};

// An engine that returns `max_tokens` tokens immediately. For the prompt "hold"
// it sends one token and keeps the stream open until Release().
class FakeEngine {
 public:
  FakeEngine();

  runtime::Address address() const { return this->server->address(); }
  void Release() { this->released = true; }

 private:
  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer);
  void Generate(const std::string& body, runtime::ResponseWriter& writer);

  std::atomic<bool> released{false};
  std::unique_ptr<FakeServer> server;
};

// Returns the handler of a read-only platform with one team, one engine
// service, one plain service, and one endpoint for each service.
runtime::HttpHandler MakeFakePlatform(const std::string& engine,
                                      const std::string& plain,
                                      const std::string& key_digest);

}  // namespace jujuberock::bench

#endif  // BENCH_FAKES_H_
