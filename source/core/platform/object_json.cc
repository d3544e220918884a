#include "core/platform/object_json.h"

#include <nlohmann/json.hpp>

#include "core/common/error.h"

namespace jujuberock::platform {

namespace {

using nlohmann::json;

// Applies `decode` to the parsed text. Throws common::Error kProtocolError if
// the text is not JSON or `decode` rejects it.
template <typename Decode>
auto ParseJson(std::string_view text, Decode decode) {
  try {
    return decode(json::parse(text));
  } catch (const json::exception& error) {
    throw common::Error(common::ResultCode::kProtocolError,
                        std::string("platform: ") + error.what());
  }
}

Object FromJson(const json& value) {
  Object object;
  object.kind = value.at("kind").get<std::string>();
  object.name = value.at("name").get<std::string>();
  object.version = value.at("version").get<Version>();
  object.deleted = value.value("deleted", false);
  object.token = value.value("token", std::string());
  if (value.contains("body"))
    object.body = value["body"].dump();
  return object;
}

}  // namespace

Object ParseObject(std::string_view text) {
  return ParseJson(text, FromJson);
}

ObjectList ParseObjectList(std::string_view text) {
  return ParseJson(text, [](const json& value) {
    ObjectList list;
    list.version = value.at("version").get<Version>();
    for (const json& item : value.at("objects"))
      list.objects.push_back(FromJson(item));
    return list;
  });
}

std::string RenderWriteBody(std::string_view body, std::string_view token) {
  // `body` is already JSON text, so it is embedded without parsing it.
  return "{\"token\":" + json(token).dump() + ",\"body\":" + std::string(body) +
         "}";
}

Version ParseWrittenVersion(std::string_view text) {
  return ParseJson(text, [](const json& value) {
    return value.at("version").get<Version>();
  });
}

}  // namespace jujuberock::platform
