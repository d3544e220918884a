#include <catch2/catch.hpp>

#include "core/caller/event_id.h"
#include "core/common/error.h"

namespace jujuberock::caller {
namespace {

const StreamPosition kPosition{"w1", "h1-7-3", "model-a", "h1", 42};

TEST_CASE("a host with the same deployment key opens an id for the same team") {
  const EventIdSealer here("0123456789abcdef");
  const EventIdSealer there("0123456789abcdef");
  const StreamPosition opened =
      there.Open(here.Seal(kPosition, "alfa"), "alfa");
  REQUIRE(opened.endpoint == "w1");
  REQUIRE(opened.engine_request_id == "h1-7-3");
  REQUIRE(opened.model == "model-a");
  REQUIRE(opened.host == "h1");
  REQUIRE(opened.offset == 42);
}

TEST_CASE(
    "an id of another team, of another key or with a changed byte is "
    "rejected") {
  const EventIdSealer sealer("0123456789abcdef");
  const EventIdSealer other("fedcba9876543210");
  const std::string id = sealer.Seal(kPosition, "alfa");
  REQUIRE_THROWS_AS(sealer.Open(id, "beta"), common::Error);
  REQUIRE_THROWS_AS(other.Open(id, "alfa"), common::Error);
  REQUIRE_THROWS_AS(sealer.Open("", "alfa"), common::Error);
  for (size_t i = 0; i + 1 < id.size(); ++i) {
    std::string changed = id;
    changed[i] = changed[i] == 'A' ? 'B' : 'A';
    REQUIRE_THROWS_AS(sealer.Open(changed, "alfa"), common::Error);
  }
}

}  // namespace
}  // namespace jujuberock::caller
