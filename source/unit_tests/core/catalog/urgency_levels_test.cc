#include "core/catalog/urgency_levels.h"

#include <string>

#include <catch2/catch.hpp>

namespace jujuberock::catalog {
namespace {

Route WithPriority(int64_t priority) {
  Route route;
  route.name = "r" + std::to_string(priority);
  route.priority = priority;
  return route;
}

Team MakeTeam(const char* name, std::optional<int64_t> priority) {
  return {name, {}, priority, false};
}

// Load pattern: teams with a priority send long prompts of a route that is not
// urgent beside short ones of one that is. Guards against engines that see no
// difference between the two.
TEST_CASE("requests of equal teams are ordered by the priorities of routes") {
  Config config;
  config.routes = {WithPriority(0), WithPriority(2)};
  config.teams = {MakeTeam("a", 1), MakeTeam("b", 1)};
  const UrgencyLevels levels(config);
  const int urgent = levels.LevelOf(config.routes[0], &config.teams[0]);
  CHECK(urgent < levels.LevelOf(config.routes[1], &config.teams[0]));
  CHECK(urgent == levels.LevelOf(config.routes[0], &config.teams[1]));
}

TEST_CASE("the priority of a team comes before that of a route") {
  Config config;
  config.routes = {WithPriority(0), WithPriority(2)};
  config.teams = {MakeTeam("first", 0), MakeTeam("second", 1),
                  MakeTeam("other", std::nullopt)};
  const UrgencyLevels levels(config);
  CHECK(levels.LevelOf(config.routes[1], &config.teams[0]) <
        levels.LevelOf(config.routes[0], &config.teams[1]));
  // Without a priority of its own a team has that of the route.
  CHECK(levels.LevelOf(config.routes[0], &config.teams[2]) ==
        levels.LevelOf(config.routes[0], nullptr));
  CHECK(levels.LevelOf(config.routes[1], &config.teams[1]) <
        levels.LevelOf(config.routes[1], &config.teams[2]));
}

// Guards against another urgency on the wire where no team has a priority.
TEST_CASE("without priorities of teams the levels are those of the routes") {
  Config config;
  config.routes = {WithPriority(2), WithPriority(7), WithPriority(40)};
  config.teams = {MakeTeam("a", std::nullopt)};
  const UrgencyLevels levels(config);
  CHECK(levels.LevelOf(config.routes[0], &config.teams[0]) == 2);
  CHECK(levels.LevelOf(config.routes[1], nullptr) == 7);
  CHECK(levels.LevelOf(config.routes[2], nullptr) == kUrgencyLevels - 1);
}

// Guards against urgencies outside the range of the protocol.
TEST_CASE("many priorities share the levels in order") {
  Config config;
  for (int64_t i = 0; i < 8; ++i) {
    config.routes.push_back(WithPriority(i));
    config.teams.push_back(MakeTeam("t", i));
  }
  const UrgencyLevels levels(config);
  int last = 0;
  for (const Team& team : config.teams) {
    for (const Route& route : config.routes) {
      const int level = levels.LevelOf(route, &team);
      CHECK(level >= last);
      CHECK(level < kUrgencyLevels);
      last = level;
    }
  }
  CHECK(last == kUrgencyLevels - 1);
}

}  // namespace
}  // namespace jujuberock::catalog
