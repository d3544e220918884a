#include "platform/store_answer.h"

#include <string>

#include <catch2/catch.hpp>

#include "core/common/error.h"
#include "core/common/json_slices.h"
#include "core/common/nesting.h"
#include "unit_tests/core/fuzz/mutation.h"

namespace jujuberock::platform_adapter {
namespace {

using catalog::ObjectFault;

constexpr size_t kMiB = 1024 * 1024;

std::string MakeEntry(const std::string& name,
                      const std::string& revision,
                      const std::string& spec) {
  return R"({"metadata":{"name":)" + name + R"(,"rev":)" + revision +
         R"(},"spec":)" + spec + "}";
}

const std::string kSound = MakeEntry(R"("a")", "3", R"({"x": 1})");
const std::string kLast = MakeEntry(R"("z")", "4", "null");

std::string MakeList(const std::string& items) {
  return R"({"items":[)" + items + R"(],"more":true,"storeRevision":9})";
}

std::string MakeWatch(const std::string& events) {
  return R"({"events":[)" + events + R"(],"storeRevision":9})";
}

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

struct OddEntry {
  std::string text;
  ObjectFault fault;
  std::string name;
};

std::vector<OddEntry> OddEntries() {
  const auto with_spec = [](const std::string& spec) {
    return MakeEntry(R"("odd")", "7", spec);
  };
  const auto with_name = [](const std::string& name) {
    return MakeEntry(name, "7", "{}");
  };
  const auto with_revision = [](const std::string& revision) {
    return MakeEntry(R"("odd")", revision, "{}");
  };
  return {
      {with_spec(Nested(200000)), ObjectFault::kTooDeep, "odd"},
      {with_spec(R"({"x":)" + Nested(common::kNestingLimit) + "}"),
       ObjectFault::kTooDeep, "odd"},
      {with_spec("\"" + std::string(4 * kMiB, 'x') + "\""),
       ObjectFault::kTooLarge, "odd"},
      {with_spec(R"({"x":1e400})"), ObjectFault::kMalformed, "odd"},
      {with_spec(R"({"x":NaN})"), ObjectFault::kMalformed, "odd"},
      {with_spec("{\"x\":\"\xff\xfe\"}"), ObjectFault::kMalformed, "odd"},
      {with_spec(R"({"x":"\ud800"})"), ObjectFault::kMalformed, "odd"},
      {with_spec("\xff"), ObjectFault::kMalformed, "odd"},
      {with_spec(""), ObjectFault::kMalformed, "odd"},
      {with_revision("\"abc\""), ObjectFault::kNoRevision, "odd"},
      {with_revision("-1"), ObjectFault::kNoRevision, "odd"},
      {with_revision("1.5"), ObjectFault::kNoRevision, "odd"},
      {with_revision("1e400"), ObjectFault::kNoRevision, "odd"},
      {with_revision("1" + std::string(30, '0')), ObjectFault::kNoRevision,
       "odd"},
      {with_name("5"), ObjectFault::kNoName, ""},
      {with_name("null"), ObjectFault::kNoName, ""},
      {with_name("\"\""), ObjectFault::kNoName, ""},
      {with_name("\"\xff\""), ObjectFault::kNoName, ""},
      {with_name(R"("a\r\nb")"), ObjectFault::kNoName, ""},
      {with_name(Nested(200000)), ObjectFault::kNoName, ""},
      {with_name("\"" + std::string(100000, 'x') + "\""), ObjectFault::kNoName,
       ""},
      {"{}", ObjectFault::kNoName, ""},
      {R"({"metadata":5})", ObjectFault::kNoName, ""},
      {R"({"metadata":{}})", ObjectFault::kNoName, ""},
      {"5", ObjectFault::kNoName, ""},
      {"\xff", ObjectFault::kNoName, ""},
  };
}

TEST_CASE("a page of a list is decoded") {
  const ListPage page = DecodeListPage(MakeList(kSound + "," + kLast));
  REQUIRE(page.objects.size() == 2);
  CHECK(page.objects[0].name == "a");
  CHECK(page.objects[0].revision == 3);
  // As it was written: printing a parsed value would recurse.
  CHECK(page.objects[0].content == R"({"x": 1})");
  CHECK(page.objects[1].content == "null");
  CHECK(page.revision == 9);
  CHECK(page.more);
  CHECK(page.LastName() == "z");
  CHECK_FALSE(DecodeListPage(R"({"items":[],"storeRevision":1})").more);
}

// Guards against one writer's entry that makes a list unreadable, so that the
// entries of the others are not followed any more.
TEST_CASE("an odd entry of a list leaves the others readable") {
  for (const OddEntry& odd : OddEntries()) {
    INFO(odd.text.substr(0, 80));
    const ListPage page =
        DecodeListPage(MakeList(kSound + "," + odd.text + "," + kLast));
    REQUIRE(page.objects.size() == 3);
    CHECK(page.objects[0].fault == ObjectFault::kNone);
    CHECK(page.objects[1].fault == odd.fault);
    CHECK(page.objects[1].name == odd.name);
    CHECK(page.objects[1].content.empty());
    CHECK(page.objects[2].fault == ObjectFault::kNone);
    CHECK(page.objects[2].name == "z");
    CHECK(page.revision == 9);
  }
}

// Guards against one writer's entry that stops a watch.
TEST_CASE("an odd entry of a watch leaves the others readable") {
  const auto event = [](const std::string& object) {
    return R"({"object":)" + object + R"(,"deleted":false})";
  };
  for (const OddEntry& odd : OddEntries()) {
    INFO(odd.text.substr(0, 80));
    const auto changes = DecodeWatchAnswer(
        MakeWatch(event(kSound) + "," + event(odd.text) + "," + event(kLast)));
    REQUIRE(changes.changes.size() == 3);
    CHECK(changes.changes[0].object.name == "a");
    CHECK(changes.changes[1].object.fault == odd.fault);
    CHECK(changes.changes[1].object.name == odd.name);
    CHECK_FALSE(changes.changes[1].deleted);
    CHECK(changes.changes[2].object.name == "z");
    CHECK(changes.revision == 9);
  }
}

// Guards against keeping an endpoint whose odd entry was deleted, and against
// removing one for an event that can't be read.
TEST_CASE("the deletion of an odd entry is decoded") {
  const auto changes = DecodeWatchAnswer(MakeWatch(
      R"({"deleted":true,"object":)" + MakeEntry("\"odd\"", "8", "NaN") +
      R"(},{"deleted":1e400,"object":)" + kSound + R"(},5,{"deleted":true})"));
  REQUIRE(changes.changes.size() == 4);
  CHECK(changes.changes[0].deleted);
  CHECK(changes.changes[0].object.name == "odd");
  CHECK(changes.changes[0].object.revision == 8);
  CHECK_FALSE(changes.changes[1].deleted);
  CHECK(changes.changes[1].object.fault == ObjectFault::kMalformed);
  CHECK(changes.changes[2].object.fault == ObjectFault::kNoName);
  CHECK(changes.changes[3].object.fault == ObjectFault::kNoName);
}

// Guards against an endless list, or one that ends early: the next page begins
// behind the last name that can be read.
TEST_CASE("the last readable name of a page is found") {
  const std::string nameless = MakeEntry("5", "3", "{}");
  CHECK(DecodeListPage(MakeList(kSound + "," + nameless)).LastName() == "a");
  CHECK(DecodeListPage(MakeList(nameless)).LastName().empty());
  CHECK(
      DecodeListPage(MakeList(kSound + "," + MakeEntry("\"odd\"", "3", "NaN")))
          .LastName() == "odd");
}

TEST_CASE("metadata that is not used may be odd") {
  const auto object = DecodeStoredObject(
      R"({"metadata":{"name":"a","rev":3,"createRev":1e400,"finalizers":)" +
      Nested(100000) + "},\"status\":\"\xff\",\"spec\":{\"x\":1}}");
  CHECK(object.fault == ObjectFault::kNone);
  CHECK(object.content == R"({"x":1})");
}

TEST_CASE("an answer that is not whole is an error") {
  for (const char* body :
       {"", "[]", "5", "{", "{}", R"({"items":[]})",
        R"({"items":5,"storeRevision":1})",
        R"({"items":[],"storeRevision":-1})",
        R"({"items":[],"storeRevision":1e400})",
        R"({"items":[],"storeRevision":"1"})",
        R"({"items":[],"more":5,"storeRevision":1})",
        R"({"items":[{"metadata":{"name":"a"}},"storeRevision":1)",
        R"({"items":[{"metadata":{"name":"a"}])"}) {
    INFO(body);
    CHECK_THROWS_AS(DecodeListPage(body), common::Error);
    CHECK_THROWS_AS(DecodeWatchAnswer(body), common::Error);
  }
  CHECK_THROWS_AS(DecodeWatchAnswer(R"({"events":[]})"), common::Error);
}

// Guards against crashes on mutated answers. A mutated entry that still has the
// outline of an object must not touch its neighbours.
TEST_CASE("mutated entries are decoded or left out") {
  common::Random random(20261205);
  const std::string entry = MakeEntry(
      R"("i-1")", "17",
      R"({"service":"s","address":"10.0.0.1:80","slots":48,"models":[{"name":"m","version":1}]})");
  int outlined = 0;
  for (int i = 0; i < 20000; ++i) {
    const std::string odd = fuzz::Mutate(entry, random);
    INFO(odd);
    CHECK_NOTHROW(DecodeStoredObject(odd));
    const std::string list = MakeList(kSound + "," + odd + "," + kLast);
    if (!common::SplitMalformedObject(odd)) {
      try {
        DecodeListPage(list);
      } catch (const common::Error&) {
        // Rejecting a list without its outline is correct.
      }
      continue;
    }
    ++outlined;
    const ListPage page = DecodeListPage(list);
    REQUIRE(page.objects.size() == 3);
    CHECK(page.objects[0].name == "a");
    CHECK(page.objects[2].name == "z");
  }
  CHECK(outlined > 100);
}

}  // namespace
}  // namespace jujuberock::platform_adapter
