#include "core/platform/object_json.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::platform {
namespace {

std::string Arrays(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string Entry(const std::string& name,
                  const std::string& body,
                  const std::string& token = R"("t")") {
  return R"({"body":)" + body + R"(,"kind":"team","name":")" + name +
         R"(","token":)" + token + R"(,"version":3})";
}

std::string ListOf(const std::vector<std::string>& entries) {
  std::string text;
  for (const std::string& entry : entries)
    text += (text.empty() ? "" : ",") + entry;
  return R"({"objects":[)" + text + R"(],"version":9})";
}

std::vector<std::string> NamesIn(const ObjectList& list) {
  std::vector<std::string> names;
  for (const Object& object : list.objects)
    names.push_back(object.name);
  return names;
}

// Bodies that a writer can put into the store and that no parser accepts, or
// that overflow the stack of one that recurses.
std::vector<std::string> OddBodies() {
  return {Arrays(10'000),
          R"({"a":)" + Arrays(200'000) + "}",
          "1e400",
          R"({"weight":-1e400})",
          "\"\xff\xfe\"",
          R"({"a":"\ud800"})",
          R"({"a":1,"a":2})",
          R"(["]}\"",{"[":"{"}])",
          "nul",
          "null"};
}

// Guards against one object whose body hides the whole list, or ends the
// process, and against an odd body that hides its own object: the list would
// seem to say that the object was deleted.
TEST_CASE("a list with an odd body is read on a fiber") {
  runtime::WorkerPool workers(1);
  for (const std::string& body : OddBodies()) {
    INFO(body.substr(0, 40));
    workers.Run([&] {
      const ObjectList list = ParseObjectList(ListOf(
          {Entry("a", R"({"x":1})"), Entry("odd", body), Entry("z", "{}")}));
      CHECK(list.version == 9);
      CHECK(NamesIn(list) == std::vector<std::string>{"a", "odd", "z"});
      CHECK(list.objects[0].body == R"({"x":1})");
      CHECK(list.objects[1].body == body);
      CHECK(list.objects[1].version == 3);
    });
  }
}

// Guards against a token that hides its object. Any writer may choose one.
TEST_CASE("an object with an odd token is read") {
  for (const std::string& token :
       {std::string("5"), std::string("null"), std::string("1e400"),
        std::string("{}"), std::string("\"\xff\""), Arrays(10'000)}) {
    INFO(token.substr(0, 40));
    const Object object = ParseObject(Entry("a", "{}", token));
    CHECK(object.name == "a");
    CHECK(object.token.empty());
  }
  CHECK(ParseObject(Entry("a", "{}")).token == "t");
  CHECK(ParseObject(R"({"kind":"team","name":"a","version":3})").body.empty());
}

// Guards against one malformed entry that hides the others.
TEST_CASE("malformed entries of a list are left out and counted") {
  const std::vector<std::string> malformed = {
      "5",
      "null",
      "[]",
      "{}",
      R"({"kind":"team","version":3})",
      R"({"kind":"team","name":5,"version":3})",
      R"({"kind":"team","name":"b","version":"3"})",
      R"({"kind":"team","name":"b","version":-3})",
      R"({"kind":"team","name":"b","version":1e400})",
      R"({"kind":"team","name":"b","version":18446744073709551616})",
      R"({"kind":"team","name":"b","version":3,"deleted":1})",
      "{\"kind\":\"team\",\"name\":\"\xff\",\"version\":3}",
      R"({"kind":"team","name":)" + Arrays(10'000) + R"(,"version":3})",
      R"({"kind" "team"})"};
  for (const std::string& entry : malformed) {
    INFO(entry.substr(0, 60));
    const ObjectList list =
        ParseObjectList(ListOf({Entry("a", "{}"), entry, Entry("z", "{}")}));
    CHECK(NamesIn(list) == std::vector<std::string>{"a", "z"});
    CHECK(list.malformed == 1);
    CHECK_FALSE(list.problem.empty());
    CHECK_THROWS_AS(ParseObject(entry), common::Error);
  }
  CHECK(ParseObjectList(ListOf({})).malformed == 0);
  CHECK(ParseObjectList(ListOf({"1", "2"})).malformed == 2);
}

// Guards against taking a part of a list for the whole: objects that it lacks
// would count as deleted.
TEST_CASE("a list that is malformed itself is refused") {
  const std::string valid = ListOf({Entry("a", "{}"), Entry("b", "[]")});
  CHECK(ParseObjectList(valid).objects.size() == 2);
  for (size_t size = 0; size < valid.size(); ++size)
    CHECK_THROWS_AS(ParseObjectList(valid.substr(0, size)), common::Error);
  const std::vector<std::string> malformed = {
      valid + "x",
      valid + valid,
      R"({"objects":[1 2],"version":9})",
      R"({"objects":[1,],"version":9})",
      R"({"objects":{},"version":9})",
      R"({"objects":[]})",
      R"({"objects":[],"version":1e400})",
      "[]"};
  for (const std::string& text : malformed) {
    INFO(text);
    CHECK_THROWS_AS(ParseObjectList(text), common::Error);
  }
}

}  // namespace
}  // namespace jujuberock::platform
