#ifndef UNIT_TESTS_CORE_SERVE_DEPLOYMENT_H_
#define UNIT_TESTS_CORE_SERVE_DEPLOYMENT_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/runtime/http_client.h"
#include "core/runtime/http_server.h"
#include "core/runtime/worker_pool.h"
#include "core/serve/host.h"
#include "standin/engine_standin.h"
#include "standin/plain_service_standin.h"
#include "standin/platform_standin.h"

namespace jujuberock::serve {

inline constexpr const char* kTeamKey = "key-of-alfa";

// A stand-in served by an HTTP server on its own worker thread.
class StandinServer {
 public:
  using Factory =
      std::function<std::unique_ptr<standin::Standin>(runtime::HttpClient&)>;

  explicit StandinServer(const Factory& factory);
  ~StandinServer();

  std::string address() const { return this->bound.ToString(); }
  // Stops listening and breaks the open connections.
  void Kill();
  // Listens again on the same address after Kill().
  void Restart() { this->Listen(this->bound); }
  // Listens again as a new process, which knows nothing of former requests.
  void RestartAnew();
  void SetFaults(const std::string& json);
  // Neither reads nor sends anything for this long. Returns at once.
  void Freeze(std::chrono::milliseconds length);

 private:
  void Listen(const runtime::Address& address);

  runtime::WorkerPool pool{1};
  runtime::HttpClient client{pool, {}};
  Factory factory;
  std::unique_ptr<standin::Standin> standin;
  std::unique_ptr<runtime::HttpServer> server;
  runtime::Address bound;
};

// Runs a platform, two engines, a plain service and hosts of one zone in this
// process.
class Deployment {
 public:
  explicit Deployment(size_t hosts,
                      const std::string& patience_ms = "5000",
                      common::Duration stop_limit = std::chrono::seconds(120));

  Host& host(size_t index) { return *this->hosts[index]; }
  void StopHost(size_t index) { this->hosts[index].reset(); }

  // Sends a request to a host over a new connection.
  runtime::HttpResponse Post(size_t host,
                             const std::string& path,
                             const std::string& body,
                             const runtime::HttpHeaders& headers = {});
  runtime::HttpResponse Get(const runtime::Address& address,
                            const std::string& path);
  // Writes an object to the platform on top of its current version.
  void PutObject(const std::string& kind,
                 const std::string& name,
                 const std::string& body);
  // Current wall time in RFC 3339 format.
  static std::string Now();
  // Body of a completion request for `tokens` tokens.
  static std::string CompletionBody(const std::string& prompt,
                                    int tokens,
                                    bool stream = false);
  // Text that the engine stand-ins generate for the prompt.
  static std::string ExpectedAnswer(const std::string& prompt, int tokens);
  // Concatenated text of the events of a stream, and the id of each event.
  struct Events {
    std::string text;
    std::vector<std::string> ids;
    bool done = false;
  };
  static Events ParseEvents(const std::string& body);

  std::unique_ptr<StandinServer> platform;
  std::vector<std::unique_ptr<StandinServer>> engines;
  std::unique_ptr<StandinServer> plain;

 private:
  void WaitReady();

  runtime::WorkerPool pool{1};
  runtime::HttpClient client{pool, {}};
  std::vector<std::unique_ptr<Host>> hosts;
};

}  // namespace jujuberock::serve

#endif  // UNIT_TESTS_CORE_SERVE_DEPLOYMENT_H_
