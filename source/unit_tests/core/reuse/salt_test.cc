#include "core/reuse/salt.h"

#include <catch2/catch.hpp>

namespace jujuberock::reuse {
namespace {

// Guards against sharing parts between models, versions or isolated teams whose
// salts have the same text.
TEST_CASE("each model, version and isolated team has a distinct text") {
  const Salt shared{"m0", 3, ""};
  const Salt team{"m0", 3, "pando"};
  CHECK(RenderSalt(shared) == "v3/m0");
  CHECK(RenderSalt(team) == "v3/m0/team=pando");
  CHECK(RenderSalt({"m1", 3, ""}) != RenderSalt(shared));
  CHECK(RenderSalt({"m0", 4, ""}) != RenderSalt(shared));
  CHECK(ParseSalt(RenderSalt(shared)) == shared);
  CHECK(ParseSalt(RenderSalt(team)) == team);
}

// Guards against freeing parts that another program stored.
TEST_CASE("texts in other formats are not parsed") {
  for (const char* text :
       {"", "v", "v/m", "v3", "vx/m", "v3x/m", "3/m", "v3/m/other", "w3/m"})
    CHECK_FALSE(ParseSalt(text));
}

}  // namespace
}  // namespace jujuberock::reuse
