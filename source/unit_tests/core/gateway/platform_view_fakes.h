#ifndef UNIT_TESTS_CORE_GATEWAY_PLATFORM_VIEW_FAKES_H_
#define UNIT_TESTS_CORE_GATEWAY_PLATFORM_VIEW_FAKES_H_

#include <optional>
#include <string_view>

#include "core/catalog/object_store.h"
#include "core/events/event_log.h"
#include "core/gateway/decoder.h"

namespace jujuberock::gateway {

class NullSink : public events::Sink {
 public:
  size_t Write(std::string_view bytes) override { return bytes.size(); }
};

// Takes the revision of an object for its version, and knows no endpoints.
class RevisionDecoder : public ObjectDecoder {
 public:
  catalog::Config Config(const catalog::StoredObject& object) const override {
    catalog::Config config;
    config.version = object.revision;
    return config;
  }
  catalog::ModelVersion Version(
      const catalog::StoredObject& object) const override {
    return {object.name, object.revision};
  }
  std::optional<catalog::Endpoint> Endpoint(
      const catalog::StoredObject&) const override {
    return std::nullopt;
  }
};

// A store that is only listed and watched.
class ReadOnlyStore : public catalog::ObjectStore {
 public:
  uint64_t era() const override { return 1; }
  std::optional<catalog::StoredObject> Read(catalog::ObjectKind,
                                            std::string_view) override {
    return std::nullopt;
  }
  catalog::WriteReply Create(catalog::ObjectKind,
                             std::string_view,
                             std::string_view) override {
    return {};
  }
  catalog::WriteReply Replace(catalog::ObjectKind,
                              std::string_view,
                              uint64_t,
                              std::string_view) override {
    return {};
  }
};

}  // namespace jujuberock::gateway

#endif  // UNIT_TESTS_CORE_GATEWAY_PLATFORM_VIEW_FAKES_H_
