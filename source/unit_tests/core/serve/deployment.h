#ifndef UNIT_TESTS_CORE_SERVE_DEPLOYMENT_H_
#define UNIT_TESTS_CORE_SERVE_DEPLOYMENT_H_

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

inline constexpr const char* kKey = "key-of-alfa";

// A stand-in behind a real server, on a worker of its own.
class Served {
 public:
  using Maker =
      std::function<std::unique_ptr<standin::Standin>(runtime::HttpClient&)>;

  explicit Served(const Maker& make);
  ~Served();

  std::string address() const { return this->bound.ToString(); }
  // Refuses connections from now on and breaks the open ones.
  void Kill();
  void SetFaults(const std::string& json);

 private:
  runtime::WorkerPool pool{1};
  runtime::HttpClient client{pool, {}};
  std::unique_ptr<standin::Standin> standin;
  std::unique_ptr<runtime::HttpServer> server;
  runtime::Address bound;
};

// A platform, two engines, a plain service and hosts in one zone, all in this
// process.
class Deployment {
 public:
  explicit Deployment(size_t hosts, const std::string& patience_ms = "5000");

  Host& host(size_t index) { return *this->hosts[index]; }
  void StopHost(size_t index) { this->hosts[index].reset(); }

  // One exchange with a host, on a connection of its own.
  runtime::HttpResponse Post(size_t host,
                             const std::string& path,
                             const std::string& body,
                             const runtime::HttpHeaders& headers = {});
  runtime::HttpResponse Get(const runtime::Address& address,
                            const std::string& path);
  // Writes an object of the platform on its present version.
  void PutObject(const std::string& kind,
                 const std::string& name,
                 const std::string& body);
  // The wall time as RFC 3339.
  static std::string Now();
  // A completion of `tokens` tokens.
  static std::string Prompt(const std::string& prompt,
                            int tokens,
                            bool stream = false);
  // What the stand-ins answer.
  static std::string Answer(const std::string& prompt, int tokens);
  // Texts of the events of a stream, joined, and the id of each.
  struct Events {
    std::string text;
    std::vector<std::string> ids;
    bool done = false;
  };
  static Events ParseEvents(const std::string& body);

  std::unique_ptr<Served> platform;
  std::vector<std::unique_ptr<Served>> engines;
  std::unique_ptr<Served> plain;

 private:
  void WaitReady();

  runtime::WorkerPool pool{1};
  runtime::HttpClient client{pool, {}};
  std::vector<std::unique_ptr<Host>> hosts;
};

}  // namespace jujuberock::serve

#endif  // UNIT_TESTS_CORE_SERVE_DEPLOYMENT_H_
