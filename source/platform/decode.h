#ifndef PLATFORM_DECODE_H_
#define PLATFORM_DECODE_H_

#include <optional>
#include <string_view>

#include "core/catalog/object_store.h"
#include "core/catalog/types.h"

namespace jujuberock::platform_adapter {

// Decodes the operator's configuration. Throws common::Error kProtocolError if
// it is malformed.
catalog::Config DecodeConfig(const catalog::StoredObject& object);

// Decodes the entry that an endpoint registers for itself. Returns std::nullopt
// if the entry is forged or truncated: a required field is missing, a field has
// the wrong type, or the state is unknown.
std::optional<catalog::Endpoint> DecodeEndpoint(
    const catalog::StoredObject& object);

// Decodes the weight version that the operator most recently selected for a
// model. Throws common::Error kProtocolError if the object is malformed.
catalog::ModelVersion DecodeModelVersion(const catalog::StoredObject& object);

}  // namespace jujuberock::platform_adapter

#endif  // PLATFORM_DECODE_H_
