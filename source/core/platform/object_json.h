#ifndef CORE_PLATFORM_OBJECT_JSON_H_
#define CORE_PLATFORM_OBJECT_JSON_H_

#include <string>
#include <string_view>

#include "core/platform/object.h"

namespace jujuberock::platform {

// Parse an object or a list of objects from the platform's JSON. Throw
// common::Error kProtocolError if the text is malformed.
Object ParseObject(std::string_view text);
ObjectList ParseObjectList(std::string_view text);

// Renders the request body of a conditional write. `body` must be JSON text.
std::string RenderWriteBody(std::string_view body, std::string_view token);

// Parses the object's new version from the response to a successful write.
Version ParseWrittenVersion(std::string_view text);

}  // namespace jujuberock::platform

#endif  // CORE_PLATFORM_OBJECT_JSON_H_
