#include "core/gateway/relay_server.h"

#include <chrono>
#include <mutex>
#include <utility>

#include "core/common/error.h"
#include "core/gateway/relay_client.h"
#include "core/runtime/boot_clock.h"

namespace jujuberock::gateway {

namespace {

using relay::RelayAnswer;
using relay::RelayRequest;
using relay::RelayStatus;

runtime::HttpServerOptions ServerOptions() {
  runtime::HttpServerOptions options;
  options.header_limit_bytes = 4 * 1024;
  options.body_limit_bytes = 4 * 1024;
  options.header_timeout = std::chrono::seconds(2);
  options.body_timeout = std::chrono::seconds(2);
  options.write_timeout = std::chrono::seconds(2);
  return options;
}

}  // namespace

RelayServer::RelayServer(RelayedStore& store,
                         runtime::WorkerPool& pool,
                         const runtime::Address& address,
                         common::MetricRegistry& counters)
    : store(store),
      served(
          counters.GetCounter("relay_requests_total", {{"result", "served"}})),
      refused(
          counters.GetCounter("relay_requests_total", {{"result", "refused"}})),
      malformed(counters.GetCounter("relay_requests_total",
                                    {{"result", "malformed"}})) {
  this->store.OnMirrorChanged([this] { this->changed.notify_all(); });
  this->server = std::make_unique<runtime::HttpServer>(
      pool, address, ServerOptions(),
      [this](const auto& request, auto& writer) {
        this->Serve(request, writer);
      },
      runtime::RenderPlainError);
}

RelayServer::~RelayServer() {
  this->store.OnMirrorChanged({});
}

void RelayServer::Serve(const runtime::HttpRequest& request,
                        runtime::ResponseWriter& writer) {
  runtime::HttpResponse response;
  if (request.target != kRelayPath || request.method != "POST") {
    response.status = 404;
    writer.Send(std::move(response));
    return;
  }
  RelayRequest asked;
  try {
    asked = relay::DecodeRequest(request.body);
  } catch (const common::Error&) {
    this->malformed.Add();
    throw;
  }
  const RelayAnswer answer = this->AwaitAnswer(asked);
  (answer.status == RelayStatus::kView ? this->served : this->refused).Add();
  response.body = relay::Encode(answer);
  writer.Send(std::move(response));
}

RelayAnswer RelayServer::AwaitAnswer(const RelayRequest& request) {
  const common::TimePoint arrived_at = runtime::BootNow();
  const auto limit = std::chrono::steady_clock::now() + request.wait;
  const auto answer = [&] {
    return this->store.Answer(request, arrived_at, runtime::BootNow());
  };
  if (auto ready = answer())
    return std::move(*ready);
  if (this->waiting >= kMaxWaiting)
    return {};
  ++this->waiting;
  std::optional<RelayAnswer> found;
  std::unique_lock<boost::fibers::mutex> lock(this->mutex);
  while (!found) {
    // The clocks may differ by a little, so that the wait is not over yet.
    const auto until = std::max(
        limit, std::chrono::steady_clock::now() + std::chrono::milliseconds(1));
    this->changed.wait_until(lock, until);
    found = answer();
  }
  --this->waiting;
  return std::move(*found);
}

}  // namespace jujuberock::gateway
