#include "core/table/view.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "core/common/random.h"
#include "unit_tests/core/table/rows.h"

namespace jujuberock::table {
namespace {

using std::chrono::milliseconds;

common::Duration PatienceOf(View& view, const std::string& team) {
  const Team* row = view.snapshot()->FindTeam(team);
  return row ? row->bands.front().patience : common::Duration(0);
}

TEST_CASE("an older row never replaces a newer one") {
  View view;
  CHECK(view.Apply(TeamRow("a", 7, 700)));
  CHECK_FALSE(view.Apply(TeamRow("a", 5, 500)));
  CHECK_FALSE(view.Apply(TeamRow("a", 7, 777)));
  CHECK(PatienceOf(view, "a") == milliseconds(700));
  view.ApplyList(Kind::kTeam, {6, {TeamRow("a", 5, 500)}});
  CHECK(PatienceOf(view, "a") == milliseconds(700));
}

// A row that was deleted must not come back from a host that missed that.
TEST_CASE("a deleted row stays deleted when an old copy arrives") {
  View view({.max_tombstones = 2});
  view.Apply(TeamRow("a", 1, 100));
  view.Apply(Tombstone("a", 4));
  CHECK_FALSE(view.Apply(TeamRow("a", 1, 100)));
  CHECK(PatienceOf(view, "a") == milliseconds(0));
  // The tombstone itself is dropped by later ones; the row stays deleted.
  view.Apply(Tombstone("b", 5));
  view.Apply(Tombstone("c", 6));
  CHECK(view.Find("team", "a") == nullptr);
  CHECK_FALSE(view.Apply(TeamRow("a", 1, 100)));
  CHECK(view.Apply(TeamRow("a", 8, 800)));
}

// A watcher that was away learns of deletions only from what a list lacks.
TEST_CASE("a list deletes what it lacks but not what came after it") {
  View view;
  view.Apply(TeamRow("old", 3, 300));
  view.Apply(TeamRow("new", 12, 120));
  const auto changed =
      view.ApplyList(Kind::kTeam, {10, {TeamRow("kept", 9, 90)}});
  CHECK(changed.size() == 2);
  CHECK(view.Find("team", "old")->deleted);
  CHECK(view.Find("team", "old")->version == 10);
  CHECK(PatienceOf(view, "new") == milliseconds(120));
  CHECK(PatienceOf(view, "kept") == milliseconds(90));
}

// One invalid object must not take away the row in force, nor be lost itself.
TEST_CASE("an invalid row is reported and the last valid one stays in force") {
  View view;
  view.Apply(TeamRow("a", 1, 100));
  view.Apply({"team", "a", 2, false, R"({"keys":[]})", ""});
  CHECK(PatienceOf(view, "a") == milliseconds(100));
  REQUIRE(view.Problems().size() == 1);
  CHECK(view.Problems().front().version == 2);
  CHECK(view.DeltaSince({}).objects.front().version == 2);
  view.Apply(TeamRow("a", 3, 300));
  CHECK(view.Problems().empty());
  CHECK(PatienceOf(view, "a") == milliseconds(300));
}

TEST_CASE("a key finds its team only while the team accepts it") {
  View view;
  const std::string key(64, 'a');
  const auto with_key = [&](Version version, const std::string& keys) {
    Object row = TeamRow("a", version, 1);
    row.body.replace(row.body.find("[]"), 2, keys);
    return row;
  };
  view.Apply(with_key(1, "[\"" + key + "\"]"));
  const SnapshotPtr before = view.snapshot();
  CHECK(before->FindTeamByKeyDigest(key)->name == "a");
  view.Apply(with_key(2, "[]"));
  CHECK(view.snapshot()->FindTeamByKeyDigest(key) == nullptr);
  // A request in progress keeps the rows it began with.
  CHECK(before->FindTeamByKeyDigest(key)->version == 1);
}

// Any order, any loss and any duplicate must end in the same view.
TEST_CASE("views that received different parts become equal by exchange") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    common::Random random(seed);
    View all;
    std::vector<View> views(3, View({.delta_bytes = 2000}));
    for (Version version = 1; version <= 400; ++version) {
      const std::string name = "t" + std::to_string(random.Below(60));
      const Object object = random.Below(5) == 0
                                ? Tombstone(name, version)
                                : TeamRow(name, version, version);
      all.Apply(object);
      for (View& view : views) {
        if (random.Below(2) == 0)
          view.Apply(object);
      }
    }
    // The first view has missed nothing, so the others can become complete.
    for (const Object& object : all.DeltaSince({}).objects)
      views[0].Apply(object);
    for (int round = 0; round < 60; ++round) {
      View& from = views[random.Below(3)];
      View& to = views[random.Below(3)];
      auto objects = from.DeltaSince(to.digest()).objects;
      if (random.Below(3) == 0)
        std::reverse(objects.begin(), objects.end());
      for (const Object& object : objects)
        to.Apply(object);
    }
    for (View& view : views)
      CHECK(view.digest() == all.digest());
  }
}

}  // namespace
}  // namespace jujuberock::table
