#include "core/catalog/config_view.h"

#include <catch2/catch.hpp>

namespace jujuberock::catalog {
namespace {

Route MakeRoute(const char* name, const char* host, const char* prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{"s", 1}};
  return route;
}

Config MakeConfig() {
  Config config;
  config.version = 7;
  config.routes = {MakeRoute("short", "a.example", "/x/"),
                   MakeRoute("long", "a.example", "/x/y/"),
                   MakeRoute("other", "b.example", "/x/")};
  config.teams = {{"team", {"key-1", "key-2"}, std::nullopt, false}};
  return config;
}

// Guards against routing a request to the service of a shorter prefix or of
// another host name.
TEST_CASE("the route with the longest prefix on the host is used") {
  const ConfigView view(MakeConfig());
  struct Case {
    const char* host;
    const char* path;
    const char* route;
  };
  const Case cases[] = {
      {"a.example", "/x/1", "short"},     {"a.example", "/x/y/1", "long"},
      {"a.example", "/x/y", "short"},     {"A.Example:80", "/x/y/", "long"},
      {"b.example", "/x/y/1", "other"},   {"a.example", "/x/y/?q=/z/", "long"},
      {"a.example", "/x?p=/x/", nullptr}, {"c.example", "/x/", nullptr},
      {"a.example", "/", nullptr},        {"", "/x/", nullptr},
  };
  for (const Case& c : cases) {
    INFO(c.host << c.path);
    const Route* found = view.FindRoute(c.host, c.path);
    REQUIRE((found != nullptr) == (c.route != nullptr));
    if (found)
      CHECK(found->name == c.route);
  }
}

TEST_CASE("only configured keys resolve to a team") {
  const ConfigView view(MakeConfig());
  REQUIRE(view.FindTeam("key-2"));
  CHECK(view.FindTeam("key-2")->name == "team");
  CHECK_FALSE(view.FindTeam("key-3"));
  CHECK_FALSE(view.FindTeam(""));
}

}  // namespace
}  // namespace jujuberock::catalog
