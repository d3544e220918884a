#include "core/gateway/reported_entries.h"

#include <catch2/catch.hpp>

namespace jujuberock::gateway {
namespace {

using catalog::ObjectKind;

catalog::StoredObject MakeObject(const std::string& name, uint64_t revision) {
  return {name, revision, {}, catalog::ObjectFault::kMalformed};
}

// Guards against a log that repeats a line with each answer of the store.
TEST_CASE("each revision of an object is reported once") {
  ReportedEntries reported;
  CHECK(reported.Add(ObjectKind::kEndpoints, MakeObject("a", 1)));
  CHECK_FALSE(reported.Add(ObjectKind::kEndpoints, MakeObject("a", 1)));
  CHECK(reported.Add(ObjectKind::kEndpoints, MakeObject("a", 2)));
  CHECK(reported.Add(ObjectKind::kEndpoints, MakeObject("b", 1)));
  CHECK(reported.Add(ObjectKind::kHosts, MakeObject("a", 1)));
  CHECK_FALSE(reported.Add(ObjectKind::kEndpoints, MakeObject("a", 1)));
}

// Guards against a writer that fills the memory with new revisions.
TEST_CASE("the number of remembered objects is bounded") {
  ReportedEntries reported;
  for (size_t i = 0; i < ReportedEntries::kMaxEntries; ++i)
    REQUIRE(reported.Add(ObjectKind::kHosts, MakeObject("a", i)));
  CHECK(reported.Add(ObjectKind::kHosts, MakeObject("b", 1)));
  CHECK(reported.Add(ObjectKind::kHosts, MakeObject("a", 0)));
}

}  // namespace
}  // namespace jujuberock::gateway
