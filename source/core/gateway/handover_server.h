#ifndef CORE_GATEWAY_HANDOVER_SERVER_H_
#define CORE_GATEWAY_HANDOVER_SERVER_H_

#include <functional>
#include <memory>

#include "core/common/metrics.h"
#include "core/gateway/request_task.h"
#include "core/handover/peer_codec.h"
#include "core/runtime/http_server.h"

namespace jujuberock::gateway {

// Serves the requests that hosts hand over which do not reach the endpoints.
// Used on one worker.
class HandoverServer {
 public:
  // Throws common::Error kInvalidSettings when the address cannot be bound.
  // `check_accepting` throws RefusedError if this host takes no more requests.
  HandoverServer(RequestDependencies& requests,
                 runtime::WorkerPool& pool,
                 const runtime::Address& address,
                 runtime::HttpServerOptions options,
                 std::function<void()> check_accepting,
                 runtime::ErrorRenderer render_error,
                 common::MetricRegistry& counters);

  runtime::HttpServer& server() { return *this->http; }

 private:
  void Serve(runtime::HttpRequest& request, runtime::ResponseWriter& writer);
  void ServeHandedOver(handover::HandedOver handed_over,
                       handover::ReplyWriter& writer);

  RequestDependencies& requests;
  handover::PeerCodec codec;
  std::function<void()> check_accepting;
  runtime::ErrorRenderer render_error;
  common::Counter& served;
  common::Counter& refused;
  common::Counter& malformed;
  // Destroyed first, which ends the handlers.
  std::unique_ptr<runtime::HttpServer> http;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_HANDOVER_SERVER_H_
