#ifndef PLATFORM_DECODER_H_
#define PLATFORM_DECODER_H_

#include "core/gateway/decoder.h"
#include "platform/codec.h"
#include "platform/decode.h"

namespace jujuberock::platform_adapter {

// Decodes the objects that the operator and the endpoints write to the
// platform's store.
class PlatformDecoder : public gateway::ObjectDecoder {
 public:
  catalog::Config Config(const catalog::StoredObject& object) const override {
    return DecodeConfig(object);
  }
  catalog::ModelVersion Version(
      const catalog::StoredObject& object) const override {
    return DecodeModelVersion(object);
  }
  std::optional<catalog::Endpoint> Endpoint(
      const catalog::StoredObject& object) const override {
    return DecodeEndpoint(object);
  }
};

}  // namespace jujuberock::platform_adapter

#endif  // PLATFORM_DECODER_H_
