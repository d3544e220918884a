#ifndef CORE_PLATFORM_OBJECT_JSON_H_
#define CORE_PLATFORM_OBJECT_JSON_H_

#include <string>
#include <string_view>

#include "core/platform/object.h"

namespace jujuberock::platform {

// Parses an object from the platform's JSON. Throws common::Error
// kProtocolError if the text is malformed. Only the fields that the platform
// itself sets are checked: what a writer chose, body and token, can not hide
// the object. The body is taken as it is, and a token that is no string as an
// empty one.
Object ParseObject(std::string_view text);

// Parses a list of objects. Malformed entries are left out and counted, so that
// one of them does not hide the others. Throws common::Error kProtocolError if
// the list itself is malformed.
ObjectList ParseObjectList(std::string_view text);

// Renders the request body of a conditional write. `body` must be JSON text.
std::string RenderWriteBody(std::string_view body, std::string_view token);

// Parses the object's new version from the response to a successful write.
Version ParseWrittenVersion(std::string_view text);

}  // namespace jujuberock::platform

#endif  // CORE_PLATFORM_OBJECT_JSON_H_
