#ifndef PLATFORM_STORE_CLIENT_H_
#define PLATFORM_STORE_CLIENT_H_

#include <array>
#include <string>
#include <string_view>

#include "core/catalog/object_store.h"
#include "core/common/metrics.h"
#include "core/runtime/http_client.h"

namespace jujuberock::platform_adapter {

// HTTP client of the platform's metadata store. Counts its calls in
// `store_calls_total{call}`, those that list and watch
// also by kind, and the objects in its answers that can't be read
// in `store_entries_unreadable_total{kind}`.
class StoreClient : public catalog::ObjectStore {
 public:
  StoreClient(runtime::HttpClient& http,
              runtime::Address address,
              common::MetricRegistry& counters);

  uint64_t era() const override { return this->newest_era; }
  catalog::ObjectSnapshot List(catalog::ObjectKind kind) override;
  catalog::ObjectChanges Watch(catalog::ObjectKind kind,
                               uint64_t revision,
                               common::Duration wait) override;
  std::optional<catalog::StoredObject> Read(catalog::ObjectKind kind,
                                            std::string_view name) override;
  catalog::WriteReply Create(catalog::ObjectKind kind,
                             std::string_view name,
                             std::string_view content) override;
  catalog::WriteReply Replace(catalog::ObjectKind kind,
                              std::string_view name,
                              uint64_t expected,
                              std::string_view content) override;

 private:
  runtime::HttpResponse Fetch(const runtime::HttpRequest& request,
                              common::Duration timeout,
                              size_t body_limit_bytes);
  catalog::WriteReply Write(runtime::HttpRequest request);
  void CountUnreadable(catalog::ObjectKind kind,
                       const catalog::StoredObject& object);
  // Throws if the answer is of a former era.
  void CheckEra(const runtime::HttpResponse& response);

  runtime::HttpClient& http;
  runtime::Address address;
  uint64_t newest_era = 0;
  common::Counter& reads;
  common::Counter& writes;
  // Indexed by catalog::ObjectKind.
  std::array<common::Counter*, catalog::kObjectKindCount> lists;
  std::array<common::Counter*, catalog::kObjectKindCount> watches;
  std::array<common::Counter*, catalog::kObjectKindCount> unreadable;
};

}  // namespace jujuberock::platform_adapter

#endif  // PLATFORM_STORE_CLIENT_H_
