#include "core/table/view.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "core/common/random.h"
#include "core/table/sync_message.h"
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

// A host that missed the deletion still sends the old row; it must not
// reappear.
TEST_CASE("a deleted row stays deleted when an old copy arrives") {
  View view({.max_tombstones = 2});
  view.Apply(TeamRow("a", 1, 100));
  view.Apply(Tombstone("a", 4));
  CHECK_FALSE(view.Apply(TeamRow("a", 1, 100)));
  CHECK(PatienceOf(view, "a") == milliseconds(0));
  // Newer tombstones evict this one; the row must stay deleted.
  view.Apply(Tombstone("b", 5));
  view.Apply(Tombstone("c", 6));
  CHECK(view.Find("team", "a") == nullptr);
  CHECK_FALSE(view.Apply(TeamRow("a", 1, 100)));
  CHECK(view.Apply(TeamRow("a", 8, 800)));
}

// Deletions made while no watch was open show only as objects missing from a
// list.
TEST_CASE("a list deletes missing objects unless they are newer") {
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

// Guards against a row that other hosts refuse: they would refuse each message
// that contains it, with all other rows.
TEST_CASE("a row whose name is not valid is not passed on") {
  View view;
  view.Apply(TeamRow("a", 3, 300));
  for (const char* name : {"", "Odd", "o d", "a/b", "-a", "\xff"})
    CHECK_FALSE(view.Apply(TeamRow(name, 4, 400)));
  SyncMessage message;
  message.objects = view.DeltaSince({}).objects;
  CHECK(DecodeSyncMessage(Encode(message)).objects.size() == 1);
}

// Guards against dropping rows of other writers because one entry of the list
// could not be read.
TEST_CASE("a list with malformed entries deletes nothing") {
  View view;
  view.Apply(TeamRow("old", 3, 300));
  platform::ObjectList list{10, {TeamRow("kept", 9, 90)}};
  list.malformed = 1;
  CHECK(view.ApplyList(Kind::kTeam, list, false).size() == 1);
  CHECK(PatienceOf(view, "old") == milliseconds(300));
  CHECK(PatienceOf(view, "kept") == milliseconds(90));
  list = {11, {TeamRow("kept", 9, 90)}};
  CHECK(view.ApplyList(Kind::kTeam, list, false).size() == 1);
  CHECK(view.Find("team", "old")->deleted);
}

// Guards against dropping accepted rows because a store that came back from an
// older copy does not have them yet, and against taking its older ones.
TEST_CASE("a list of a later era reverts nothing") {
  const auto later = [](uint64_t revision) {
    return platform::MakeVersion(1, revision);
  };
  View view;
  view.Apply(TeamRow("lost", 60, 600));
  view.Apply(TeamRow("older", 61, 610));
  view.Apply(Tombstone("back", 62));
  view.Apply(TeamRow("written", 63, 630));
  const platform::ObjectList copy = {
      later(45),
      {TeamRow("older", 40, 400), TeamRow("back", 41, 410),
       TeamRow("written", later(44), 440)}};
  view.ApplyList(Kind::kTeam, copy, true);
  CHECK(PatienceOf(view, "lost") == milliseconds(600));
  CHECK(PatienceOf(view, "older") == milliseconds(610));
  CHECK(PatienceOf(view, "back") == milliseconds(0));
  CHECK(PatienceOf(view, "written") == milliseconds(440));
  // It was not written again.
  view.ApplyList(Kind::kTeam, copy);
  CHECK(view.Find("team", "lost")->deleted);
}

// An invalid object must not remove the valid row, and must still be
// replicated.
TEST_CASE("an invalid row is reported and the last valid one stays in effect") {
  View view;
  view.Apply(TeamRow("a", 1, 100));
  view.Apply({"team", "a", 2, false, R"({"keys":[]})", ""});
  CHECK(PatienceOf(view, "a") == milliseconds(100));
  REQUIRE(view.InvalidObjects().size() == 1);
  CHECK(view.InvalidObjects().front().version == 2);
  CHECK(view.DeltaSince({}).objects.front().version == 2);
  view.Apply(TeamRow("a", 3, 300));
  CHECK(view.InvalidObjects().empty());
  CHECK(PatienceOf(view, "a") == milliseconds(300));
}

TEST_CASE("a key maps to its team only while the team lists it") {
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
  // A request in progress keeps the snapshot it started with.
  CHECK(before->FindTeamByKeyDigest(key)->version == 1);
}

// Views must converge regardless of reordered, lost and duplicated objects.
TEST_CASE("views with different objects converge by exchanging deltas") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    common::Random random(seed);
    View all;
    std::vector<View> views(3, View({.max_delta_bytes = 2000}));
    for (Version version = 1; version <= 400; ++version) {
      const std::string name = "t" + std::to_string(random.NextBelow(60));
      const Object object = random.NextBelow(5) == 0
                                ? Tombstone(name, version)
                                : TeamRow(name, version, version);
      all.Apply(object);
      for (View& view : views) {
        if (random.NextBelow(2) == 0)
          view.Apply(object);
      }
    }
    // Make the first view complete, so that the others can catch up with it.
    for (const Object& object : all.DeltaSince({}).objects)
      views[0].Apply(object);
    for (int round = 0; round < 60; ++round) {
      View& from = views[random.NextBelow(3)];
      View& to = views[random.NextBelow(3)];
      auto objects = from.DeltaSince(to.digest()).objects;
      if (random.NextBelow(3) == 0)
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
