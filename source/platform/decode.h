#ifndef PLATFORM_DECODE_H_
#define PLATFORM_DECODE_H_

#include <optional>
#include <string_view>

#include "core/catalog/object_store.h"
#include "core/catalog/types.h"

namespace jujuberock::platform_adapter {

// The operator's configuration. Throws common::Error kProtocolError when the
// text is not one.
catalog::Config DecodeConfig(const catalog::StoredObject& object);

// An endpoint's entry of itself. Nothing when the entry is forged or torn:
// fields are missing or of another type, or a value is not known.
std::optional<catalog::Endpoint> DecodeEndpoint(
    const catalog::StoredObject& object);

// The version of a model's weights that the operator named last. Throws
// common::Error kProtocolError.
catalog::ModelVersion DecodeModelVersion(const catalog::StoredObject& object);

}  // namespace jujuberock::platform_adapter

#endif  // PLATFORM_DECODE_H_
