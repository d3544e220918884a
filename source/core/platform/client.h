#ifndef CORE_PLATFORM_CLIENT_H_
#define CORE_PLATFORM_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/common/metrics.h"
#include "core/platform/object.h"
#include "core/runtime/http_client.h"

namespace jujuberock::platform {

// HTTP client of the platform's object API. Every method suspends the calling
// fiber. Calls are counted in `platform_calls_total{call}`, and malformed
// entries of lists and lines of watches, which are left out, in
// `platform_malformed_entries_total{kind}`.
//
// The store states its era in all answers. The client adds the era to the token
// of each write, so that it can tell the version of an object that was written
// before the store came back from a copy from that of one written since. An
// answer of a former era, which arrives late, is an error. A store that states
// no era is in era 0 for ever.
class Client {
 public:
  Client(runtime::HttpClient& http,
         runtime::Address address,
         common::MetricRegistry& counters);

  // Returns the object, or std::nullopt if it does not exist. Throws
  // common::Error kPlatformUnavailable, kPlatformRateLimited or, for a
  // malformed response, kProtocolError.
  std::optional<Object> Read(std::string_view kind, std::string_view name);

  // The newest era that the store has stated.
  uint64_t era() const { return this->newest_era; }

  // Writes `body` if the object's version is `expected` (0: the object must not
  // exist). Failed calls are reported as a WriteState, not thrown.
  WriteResult Write(std::string_view kind,
                    std::string_view name,
                    Version expected,
                    std::string_view body,
                    std::string_view token);

  // Deletes the object if its version is `expected`. Reports failures as
  // Write().
  WriteResult Delete(std::string_view kind,
                     std::string_view name,
                     Version expected);

  // Lists all objects of a kind, without malformed entries. Throws the same
  // errors as Read().
  ObjectList List(std::string_view kind);

  // Calls `on_change` for every change of the kind after version `since`,
  // except for malformed lines. Ends when `on_change` returns false, the
  // connection ends, nothing arrives for `idle_timeout`, the watch has been
  // open for `max_age`, or `should_stop` returns true. The last two are checked
  // only when data arrives, which a keep-alive line is too. Opens a new
  // connection, because a pooled one may have gone silent. Throws the same
  // errors as Read() if the watch cannot be opened.
  WatchEnd Watch(std::string_view kind,
                 Version since,
                 common::Duration idle_timeout,
                 const std::function<bool(const Object&)>& on_change,
                 common::Duration max_age = common::Duration::max(),
                 const std::function<bool()>& should_stop = nullptr);

 private:
  runtime::HttpResponse Fetch(const runtime::HttpRequest& request);
  WriteResult SendWrite(const runtime::HttpRequest& request);
  // Sends the write that `make_request` builds for an era, if the object has
  // the version `expected`.
  WriteResult WriteAt(
      std::string_view kind,
      std::string_view name,
      Version expected,
      const std::function<runtime::HttpRequest(uint64_t era)>& make_request);
  // Returns the era that the response states. Throws common::Error
  // kPlatformUnavailable if it is a former one.
  uint64_t CheckEra(const runtime::HttpHeaders& headers);
  // Parses a line of a watch, whose changes are all of the given era. Returns
  // nullopt if it is malformed.
  std::optional<Object> TakeChange(std::string_view kind,
                                   std::string_view line,
                                   uint64_t era);
  // Counts malformed entries, and logs the first of each kind.
  void OnMalformed(std::string_view kind,
                   size_t entries,
                   std::string_view problem);

  runtime::HttpClient& http;
  runtime::Address address;
  common::MetricRegistry& counters;
  // Calls come from all workers.
  std::atomic<uint64_t> newest_era{0};
  common::Counter& reads;
  common::Counter& writes;
  common::Counter& lists;
  common::Counter& watches;
};

}  // namespace jujuberock::platform

#endif  // CORE_PLATFORM_CLIENT_H_
