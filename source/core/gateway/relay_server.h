#ifndef CORE_GATEWAY_RELAY_SERVER_H_
#define CORE_GATEWAY_RELAY_SERVER_H_

#include <cstddef>
#include <memory>

#include <boost/fiber/condition_variable.hpp>

#include "core/common/metrics.h"
#include "core/gateway/relayed_store.h"
#include "core/runtime/http_server.h"

namespace jujuberock::gateway {

// Answers the reads of hosts that follow this one. Used on one worker.
class RelayServer {
 public:
  // Requests that wait at the same time; others are told that there is no view.
  static constexpr size_t kMaxWaiting = 4096;

  // Throws common::Error kInvalidSettings when the address cannot be bound.
  RelayServer(RelayedStore& store,
              runtime::WorkerPool& pool,
              const runtime::Address& address,
              common::MetricRegistry& counters);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

 private:
  void Serve(const runtime::HttpRequest& request,
             runtime::ResponseWriter& writer);
  relay::RelayAnswer AwaitAnswer(const relay::RelayRequest& request);

  RelayedStore& store;
  common::Counter& served;
  common::Counter& refused;
  common::Counter& malformed;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  size_t waiting = 0;
  // Destroyed first, which ends the handlers.
  std::unique_ptr<runtime::HttpServer> server;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_RELAY_SERVER_H_
