#ifndef CORE_PLATFORM_CLIENT_H_
#define CORE_PLATFORM_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/common/counters.h"
#include "core/platform/object.h"
#include "core/runtime/http_client.h"

namespace jujuberock::platform {

// The platform's object API over HTTP. Every method suspends the calling
// fiber. Calls are counted in `platform_calls_total{call}`.
class Client {
 public:
  Client(runtime::HttpClient& http,
         runtime::Address address,
         common::CounterRegistry& counters);

  // The object, or nothing when it does not exist. Throws common::Error
  // kPlatformUnavailable or kPlatformRateLimited.
  std::optional<Object> Read(std::string_view kind, std::string_view name);

  // Writes `body` when the object's version is `expected` (0: must not exist).
  // Never throws for a failed exchange; see WriteState.
  WriteResult Write(std::string_view kind,
                    std::string_view name,
                    Version expected,
                    std::string_view body,
                    std::string_view token);

  WriteResult Delete(std::string_view kind,
                     std::string_view name,
                     Version expected);

  // Throws as Read.
  ObjectList List(std::string_view kind);

  // Calls `on_change` for every change of the kind after version `since` until
  // it returns false, the connection ends, nothing arrives for `idle`, or the
  // watch has been open for `lifetime` or `stopped` returns true (both are
  // checked when something arrives, a keep-alive line at the latest). Opens
  // a connection of its own, since a kept one may have gone silent. Throws as
  // Read when the watch can not be opened.
  WatchEnd Watch(std::string_view kind,
                 Version since,
                 common::Duration idle,
                 const std::function<bool(const Object&)>& on_change,
                 common::Duration lifetime = common::Duration::max(),
                 const std::function<bool()>& stopped = nullptr);

 private:
  runtime::HttpResponse Fetch(const runtime::HttpRequest& request);
  WriteResult Change(const runtime::HttpRequest& request);

  runtime::HttpClient& http;
  runtime::Address address;
  common::Counter& reads;
  common::Counter& writes;
  common::Counter& lists;
  common::Counter& watches;
};

}  // namespace jujuberock::platform

#endif  // CORE_PLATFORM_CLIENT_H_
