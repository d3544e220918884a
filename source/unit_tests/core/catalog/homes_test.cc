#include "core/catalog/homes.h"

#include <catch2/catch.hpp>

namespace jujuberock::catalog {
namespace {

TEST_CASE("regions of zones are parsed") {
  const auto regions = ZoneRegions::Parse("a=north,b=south");
  REQUIRE(regions);
  CHECK(regions->RegionOf("a") == "north");
  CHECK(regions->RegionOf("b") == "south");
  CHECK(regions->RegionOf("c").empty());
  CHECK(ZoneRegions::Parse(""));
  for (const char* text :
       {"a", "a=", "=north", "a=north,,b=south", ",", "a=n,b"})
    CHECK_FALSE(ZoneRegions::Parse(text));
}

// Guards against requests that a region sees which only one of route and team
// names, or whose region is not known.
TEST_CASE("the homes of the route and of the team both bind") {
  const auto regions = *ZoneRegions::Parse("a=north,b=south,c=west");
  const std::vector<std::string> any;
  const std::vector<std::string> route = {"north", "south"};
  const std::vector<std::string> team = {"south", "west"};
  CHECK(Homes().Allow("unknown"));
  CHECK(Homes(regions, any, any).Allow("unknown"));
  const Homes both(regions, route, team);
  CHECK_FALSE(both.Allow("a"));
  CHECK(both.Allow("b"));
  CHECK_FALSE(both.Allow("c"));
  CHECK_FALSE(both.Allow("unknown"));
  CHECK(Homes(regions, any, team).Allow("c"));
}

}  // namespace
}  // namespace jujuberock::catalog
