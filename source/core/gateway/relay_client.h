#ifndef CORE_GATEWAY_RELAY_CLIENT_H_
#define CORE_GATEWAY_RELAY_CLIENT_H_

#include <string>

#include "core/relay/message.h"
#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

// Path of the relay server.
inline constexpr std::string_view kRelayPath = "/view";

// Asks other hosts for their views of the store.
class RelayTransport {
 public:
  virtual ~RelayTransport() = default;

  // Suspends the calling fiber. Throws common::Error if there is no answer a
  // little after the request's wait, or none that can be read.
  virtual relay::RelayAnswer Ask(const std::string& address,
                                 const relay::RelayRequest& request) = 0;
};

// Asks over HTTP.
class RelayClient : public RelayTransport {
 public:
  explicit RelayClient(runtime::WorkerPool& pool);

  relay::RelayAnswer Ask(const std::string& address,
                         const relay::RelayRequest& request) override;

 private:
  runtime::HttpClient http;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_RELAY_CLIENT_H_
