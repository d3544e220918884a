#include "core/dispatch/host_ranking.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

// Guards against two hosts that hold the same share.
TEST_CASE("hosts with the same view have different places") {
  const std::set<std::string> names = {"a", "b", "c", "d"};
  std::set<size_t> ranks;
  for (const std::string& name : names) {
    HostRanking ranking;
    ranking.SetHosts(names, name);
    ranks.insert(*ranking.RankFor("key"));
    CHECK(ranking.RankFor("key") == ranking.RankFor("key"));
  }
  CHECK(ranks == std::set<size_t>{0, 1, 2, 3});
}

TEST_CASE("a host that is not on the list has no place") {
  HostRanking ranking;
  CHECK_FALSE(ranking.RankFor("key"));
  ranking.SetHosts({"a", "b"}, "c");
  CHECK_FALSE(ranking.RankFor("key"));
  ranking.SetHosts({"c"}, "c");
  CHECK(ranking.RankFor("key") == 0);
}

// Guards against places that belong to a former view.
TEST_CASE("a host more changes the places by one at most") {
  std::set<std::string> names;
  for (int i = 0; i < 40; ++i)
    names.insert("host" + std::to_string(i));
  HostRanking ranking;
  for (int key = 0; key < 50; ++key) {
    const std::string text = std::to_string(key);
    ranking.SetHosts(names, "host7");
    const size_t before = *ranking.RankFor(text);
    std::set<std::string> more = names;
    more.insert("another");
    ranking.SetHosts(more, "host7");
    const size_t after = *ranking.RankFor(text);
    CHECK((after == before || after == before + 1));
  }
}

}  // namespace
}  // namespace jujuberock::dispatch
