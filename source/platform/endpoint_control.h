#ifndef PLATFORM_ENDPOINT_CONTROL_H_
#define PLATFORM_ENDPOINT_CONTROL_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "core/gateway/endpoint_control.h"
#include "core/runtime/http_client.h"

namespace jujuberock::platform_adapter {

// Implements gateway::EndpointControl over the platform's HTTP API: engine
// reports, version orders, cache events and freeing of cached parts.
class PlatformEndpointControl : public gateway::EndpointControl {
 public:
  explicit PlatformEndpointControl(runtime::HttpClient& http) : http(http) {}

  void OnNotice(NoticeCallback callback) override {
    this->on_notice = std::move(callback);
  }
  std::optional<gateway::EngineReport> Report(
      const catalog::Endpoint& endpoint) override;
  gateway::OrderReply Order(const catalog::Endpoint& endpoint,
                            const gateway::VersionOrder& order,
                            std::function<bool()> may_send) override;
  std::optional<reuse::StoreEvents> CacheEvents(const std::string& address,
                                                uint64_t next,
                                                common::Duration wait) override;
  bool Free(const std::string& address,
            const gateway::FreeOrder& order) override;

 private:
  // Returns std::nullopt if the address is malformed or no response arrives.
  std::optional<runtime::HttpResponse> Fetch(
      const std::string& address,
      const runtime::HttpRequest& request,
      runtime::HttpCallOptions options);

  // The same for a call to an engine; reports what the response says about it.
  std::optional<runtime::HttpResponse> Call(const catalog::Endpoint& endpoint,
                                            runtime::HttpRequest request,
                                            runtime::HttpCallOptions options);

  runtime::HttpClient& http;
  NoticeCallback on_notice;
};

}  // namespace jujuberock::platform_adapter

#endif  // PLATFORM_ENDPOINT_CONTROL_H_
