#ifndef CORE_GATEWAY_DECODER_H_
#define CORE_GATEWAY_DECODER_H_

#include <optional>

#include "core/catalog/object_store.h"
#include "core/catalog/types.h"

namespace jujuberock::gateway {

// Decodes objects that other parties write to the platform's store. Implemented
// by the platform adapter.
class ObjectDecoder {
 public:
  virtual ~ObjectDecoder() = default;

  // Throws common::Error kProtocolError.
  virtual catalog::Config Config(const catalog::StoredObject& object) const = 0;
  virtual catalog::ModelVersion Version(
      const catalog::StoredObject& object) const = 0;
  // Returns nullopt if the entry is forged or incomplete.
  virtual std::optional<catalog::Endpoint> Endpoint(
      const catalog::StoredObject& object) const = 0;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_DECODER_H_
