#ifndef CORE_PLATFORM_OBJECT_JSON_H_
#define CORE_PLATFORM_OBJECT_JSON_H_

#include <string>
#include <string_view>

#include "core/platform/object.h"

namespace jujuberock::platform {

// Parses one object, or a list, as the platform sends it. Throws common::Error
// kProtocolError when the text is malformed.
Object ParseObject(std::string_view text);
ObjectList ParseObjectList(std::string_view text);

// The body of a conditional write.
std::string RenderWrite(std::string_view body, std::string_view token);

// The version in the answer to a write that took effect.
Version ParseWrittenVersion(std::string_view text);

}  // namespace jujuberock::platform

#endif  // CORE_PLATFORM_OBJECT_JSON_H_
