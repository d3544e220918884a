#include "core/platform/object_json.h"

#include <nlohmann/json.hpp>

#include "core/common/error.h"

namespace jujuberock::platform {

namespace {

using nlohmann::json;

template <typename Parse>
auto Parsed(std::string_view text, Parse parse) {
  try {
    return parse(json::parse(text));
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
  return Parsed(text, FromJson);
}

ObjectList ParseObjectList(std::string_view text) {
  return Parsed(text, [](const json& value) {
    ObjectList list;
    list.version = value.at("version").get<Version>();
    for (const json& item : value.at("objects"))
      list.objects.push_back(FromJson(item));
    return list;
  });
}

std::string RenderWrite(std::string_view body, std::string_view token) {
  // The body is JSON text already, so it is embedded without being parsed.
  return "{\"token\":" + json(token).dump() + ",\"body\":" + std::string(body) +
         "}";
}

Version ParseWrittenVersion(std::string_view text) {
  return Parsed(text, [](const json& value) {
    return value.at("version").get<Version>();
  });
}

}  // namespace jujuberock::platform
