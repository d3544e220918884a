#include "core/platform/object_json.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/nesting.h"
#include "core/platform/json_slices.h"

namespace jujuberock::platform {

namespace {

using nlohmann::json;

[[noreturn]] void ThrowMalformed(const std::string& what) {
  throw common::Error(common::ResultCode::kProtocolError, "platform: " + what);
}

// The members of an object, each of which is parsed only when it is read.
class Members {
 public:
  explicit Members(std::string_view text) {
    auto members = SplitObject(text);
    if (!members)
      ThrowMalformed("not a JSON object");
    this->members = std::move(*members);
  }

  // Returns the text of the member, or nullopt if there is none. The last one
  // counts, as in other readers of JSON.
  std::optional<std::string_view> Find(std::string_view name) const {
    const auto found =
        std::find_if(this->members.rbegin(), this->members.rend(),
                     [&](const auto& member) { return member.name == name; });
    if (found == this->members.rend())
      return std::nullopt;
    return found->value;
  }

  std::string_view At(std::string_view name) const {
    const auto value = this->Find(name);
    if (!value)
      ThrowMalformed("missing field " + std::string(name));
    return *value;
  }

  std::string String(std::string_view name) const {
    const json value = Parse(this->At(name));
    if (!value.is_string())
      ThrowMalformed("no string in field " + std::string(name));
    return value.get<std::string>();
  }

  // Returns `fallback` if the member is absent or no string.
  std::string StringOr(std::string_view name, std::string fallback) const {
    const auto text = this->Find(name);
    const json value = text ? Parse(*text) : json();
    return value.is_string() ? value.get<std::string>() : std::move(fallback);
  }

  Version VersionIn(std::string_view name) const {
    const json value = Parse(this->At(name));
    if (!value.is_number_unsigned())
      ThrowMalformed("no version in field " + std::string(name));
    return value.get<Version>();
  }

  bool BoolOr(std::string_view name, bool fallback) const {
    const auto text = this->Find(name);
    if (!text)
      return fallback;
    const json value = Parse(*text);
    if (!value.is_boolean())
      ThrowMalformed("neither true nor false in field " + std::string(name));
    return value.get<bool>();
  }

 private:
  // Returns a discarded value, which is of no type, for malformed text.
  static json Parse(std::string_view text) {
    if (common::ExceedsNesting(text))
      return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
  }

  std::vector<JsonMember> members;
};

}  // namespace

Object ParseObject(std::string_view text) {
  const Members members(text);
  Object object;
  object.kind = members.String("kind");
  object.name = members.String("name");
  object.version = members.VersionIn("version");
  object.deleted = members.BoolOr("deleted", false);
  // An odd token is not one of this system's writes, but its object counts.
  object.token = members.StringOr("token", "");
  if (const auto body = members.Find("body"))
    object.body = std::string(*body);
  return object;
}

ObjectList ParseObjectList(std::string_view text) {
  const Members members(text);
  ObjectList list;
  list.version = members.VersionIn("version");
  const auto entries = SplitArray(members.At("objects"));
  if (!entries)
    ThrowMalformed("no array in field objects");
  for (const std::string_view entry : *entries) {
    try {
      list.objects.push_back(ParseObject(entry));
    } catch (const common::Error& error) {
      if (++list.malformed == 1)
        list.problem = error.what();
    }
  }
  return list;
}

std::string RenderWriteBody(std::string_view body, std::string_view token) {
  // `body` is already JSON text, so it is embedded without parsing it.
  return "{\"token\":" + json(token).dump() + ",\"body\":" + std::string(body) +
         "}";
}

Version ParseWrittenVersion(std::string_view text) {
  return Members(text).VersionIn("version");
}

}  // namespace jujuberock::platform
