#include "platform/store_answer.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/json_slices.h"
#include "core/common/nesting.h"

namespace jujuberock::platform_adapter {

namespace {

using catalog::ObjectFault;
using catalog::StoredObject;
using common::Error;
using common::FindMember;
using common::JsonMembers;
using common::ResultCode;
using Json = nlohmann::json;

// The store holds values of at most 1 MiB. Escapes make a value at most three
// times as long in an answer; the metadata comes on top.
constexpr size_t kMaxObjectBytes = 4 * 1024 * 1024;
// Names are sent as header fields and in paths.
constexpr size_t kMaxNameBytes = 1024;

[[noreturn]] void ThrowMalformed(const char* what) {
  throw Error(ResultCode::kProtocolError, what);
}

std::optional<uint64_t> ParseRevision(std::string_view text) {
  uint64_t revision = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, revision);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return revision;
}

bool IsControlCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte == 0x7f;
}

// Returns an empty name if it can't be read.
std::string ParseName(std::string_view text) {
  if (text.empty() || text.front() != '"')
    return {};
  const Json value = Json::parse(text, nullptr, false);
  if (!value.is_string())
    return {};
  auto name = value.get<std::string>();
  const bool is_usable =
      name.size() <= kMaxNameBytes &&
      std::none_of(name.begin(), name.end(), IsControlCharacter);
  return is_usable ? name : std::string();
}

ObjectFault FaultOfContent(std::string_view content) {
  if (common::ExceedsNesting(content))
    return ObjectFault::kTooDeep;
  return Json::accept(content) ? ObjectFault::kNone : ObjectFault::kMalformed;
}

// Reads the name and the revision.
ObjectFault DecodeMetadata(std::string_view text, StoredObject& object) {
  const auto members = common::SplitMalformedObject(text);
  if (!members)
    return ObjectFault::kNoName;
  const auto name = FindMember(*members, "name");
  object.name = ParseName(name.value_or(""));
  const auto revision =
      ParseRevision(FindMember(*members, "rev").value_or("0"));
  object.revision = revision.value_or(0);
  if (object.name.empty())
    return ObjectFault::kNoName;
  return revision ? ObjectFault::kNone : ObjectFault::kNoRevision;
}

JsonMembers SplitAnswer(std::string_view body) {
  auto members = common::SplitObject(body);
  if (!members)
    ThrowMalformed("store response is not a JSON object");
  return std::move(*members);
}

std::vector<std::string_view> SplitList(const JsonMembers& answer,
                                        const char* name) {
  const auto elements =
      common::SplitArray(FindMember(answer, name).value_or(""));
  if (!elements)
    ThrowMalformed("store response has no list of objects");
  return *elements;
}

uint64_t RevisionOf(const JsonMembers& answer) {
  const auto revision =
      ParseRevision(FindMember(answer, "storeRevision").value_or(""));
  if (!revision)
    ThrowMalformed("store response has no revision");
  return *revision;
}

// Returns std::nullopt if the member is neither `true` nor `false`. A missing
// one counts as `false`.
std::optional<bool> FindFlag(const JsonMembers& members,
                             std::string_view name) {
  const auto value = FindMember(members, name).value_or("false");
  if (value != "true" && value != "false")
    return std::nullopt;
  return value == "true";
}

catalog::ObjectChange DecodeEvent(std::string_view text) {
  const auto members = common::SplitMalformedObject(text);
  if (!members)
    return {DecodeStoredObject(""), false};
  catalog::ObjectChange change;
  change.object =
      DecodeStoredObject(FindMember(*members, "object").value_or(""));
  const auto deleted = FindFlag(*members, "deleted");
  change.deleted = deleted.value_or(false);
  if (!deleted && change.object.fault == ObjectFault::kNone) {
    change.object.fault = ObjectFault::kMalformed;
    change.object.content.clear();
  }
  return change;
}

}  // namespace

std::string_view ListPage::LastName() const {
  const auto last =
      std::find_if(this->objects.rbegin(), this->objects.rend(),
                   [](const StoredObject& o) { return !o.name.empty(); });
  return last == this->objects.rend() ? std::string_view() : last->name;
}

StoredObject DecodeStoredObject(std::string_view text) {
  StoredObject object;
  object.fault = ObjectFault::kNoName;
  const auto members = common::SplitMalformedObject(text);
  if (!members)
    return object;
  const auto metadata = FindMember(*members, "metadata");
  object.fault = DecodeMetadata(metadata.value_or(""), object);
  if (object.fault != ObjectFault::kNone)
    return object;
  if (text.size() > kMaxObjectBytes) {
    object.fault = ObjectFault::kTooLarge;
    return object;
  }
  const auto content = FindMember(*members, "spec");
  if (!content)
    return object;
  object.fault = FaultOfContent(*content);
  if (object.fault == ObjectFault::kNone)
    object.content = std::string(*content);
  return object;
}

ListPage DecodeListPage(std::string_view body) {
  const JsonMembers answer = SplitAnswer(body);
  ListPage page;
  for (const std::string_view item : SplitList(answer, "items"))
    page.objects.push_back(DecodeStoredObject(item));
  page.revision = RevisionOf(answer);
  const auto more = FindFlag(answer, "more");
  if (!more)
    ThrowMalformed("store response does not say whether the list continues");
  page.more = *more;
  return page;
}

catalog::ObjectChanges DecodeWatchAnswer(std::string_view body) {
  const JsonMembers answer = SplitAnswer(body);
  catalog::ObjectChanges changes;
  for (const std::string_view event : SplitList(answer, "events"))
    changes.changes.push_back(DecodeEvent(event));
  changes.revision = RevisionOf(answer);
  return changes;
}

}  // namespace jujuberock::platform_adapter
