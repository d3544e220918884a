#include "core/catalog/endpoint_directory.h"

#include <catch2/catch.hpp>

namespace jujuberock::catalog {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(ms));
}

Endpoint MakeEndpoint(const char* id) {
  Endpoint endpoint;
  endpoint.id = id;
  return endpoint;
}

EndpointDirectory DirectoryWithOneEndpoint() {
  EndpointDirectory directory;
  directory.Upsert(MakeEndpoint("e1"));
  return directory;
}

TEST_CASE("a removal takes effect immediately") {
  EndpointDirectory directory = DirectoryWithOneEndpoint();
  directory.Remove("e1", At(1));
  CHECK(directory.endpoints().empty());
}

// Guards against dropping live endpoints whose registrations expired because
// the store was down.
TEST_CASE(
    "removals after an outage are deferred until endpoints can re-register") {
  EndpointDirectory directory = DirectoryWithOneEndpoint();
  directory.OnStoreFailure(At(0));
  directory.OnStoreFailure(At(4000));
  directory.OnStoreAnswer(At(5000));
  directory.ReplaceAll({}, At(5000));
  CHECK(directory.endpoints().size() == 1);
  directory.Expire(At(6999));
  CHECK(directory.endpoints().size() == 1);
  SECTION("an endpoint that did not re-register is removed") {
    directory.Expire(At(7000));
    CHECK(directory.endpoints().empty());
  }
  SECTION("an endpoint that re-registered is kept") {
    directory.Upsert(MakeEndpoint("e1"));
    directory.Expire(At(8000));
    CHECK(directory.endpoints().size() == 1);
  }
}

// Guards against sends to a removed endpoint when a single response of the
// store was lost.
TEST_CASE("a short store failure does not defer removals") {
  EndpointDirectory directory = DirectoryWithOneEndpoint();
  directory.OnStoreFailure(At(0));
  directory.OnStoreAnswer(At(500));
  directory.Remove("e1", At(600));
  CHECK(directory.endpoints().empty());
}

TEST_CASE("the removal of a leaving endpoint is not deferred") {
  EndpointDirectory directory;
  Endpoint leaving = MakeEndpoint("e1");
  leaving.leaving = true;
  directory.Upsert(leaving);
  directory.OnStoreFailure(At(0));
  directory.OnStoreAnswer(At(5000));
  directory.Remove("e1", At(5000));
  CHECK(directory.endpoints().empty());
}

Endpoint MakeInstance(const char* id,
                      uint64_t started_at_ms,
                      bool leaving = false) {
  Endpoint endpoint = MakeEndpoint(id);
  endpoint.started_at_ms = started_at_ms;
  endpoint.leaving = leaving;
  return endpoint;
}

// Guards against requests to an endpoint that has said that it is leaving: a
// store that came back from a copy lists it as ready.
TEST_CASE("an instance that is leaving stays so") {
  EndpointDirectory directory;
  SECTION("by its registration") {
    directory.Upsert(MakeInstance("e1", 10, true));
  }
  SECTION("by one of its answers") {
    directory.Upsert(MakeInstance("e1", 10));
    directory.MarkLeaving("e1", 9);
    CHECK_FALSE(directory.endpoints().at("e1").leaving);
    directory.MarkLeaving("e1", 10);
  }
  REQUIRE(directory.endpoints().at("e1").leaving);
  directory.Upsert(MakeInstance("e1", 10));
  CHECK(directory.endpoints().at("e1").leaving);
  directory.ReplaceWithCopy({MakeInstance("e1", 10)}, At(100));
  CHECK(directory.endpoints().at("e1").leaving);
  directory.Remove("e1", At(200));
  directory.Upsert(MakeInstance("e1", 10));
  CHECK(directory.endpoints().at("e1").leaving);
  directory.Upsert(MakeInstance("e1", 11));
  CHECK_FALSE(directory.endpoints().at("e1").leaving);
}

// Guards against requests to an endpoint that said so while its registration
// had expired, once it registers again or a copy of the store has it.
TEST_CASE("an instance that says that it is leaving need not be registered") {
  EndpointDirectory directory{milliseconds(100)};
  directory.Upsert(MakeInstance("e1", 10));
  directory.Remove("e1", At(0));
  directory.MarkLeaving("e1", 10);
  directory.Upsert(MakeInstance("e1", 10));
  CHECK(directory.endpoints().at("e1").leaving);
  directory.Remove("e1", At(100));
  directory.ReplaceWithCopy({MakeInstance("e1", 10)}, At(200));
  directory.Expire(At(1000));
  CHECK(directory.endpoints().at("e1").leaving);
  directory.Upsert(MakeInstance("e1", 20));
  directory.MarkLeaving("e1", 10);
  CHECK_FALSE(directory.endpoints().at("e1").leaving);
}

// Guards against requests to an endpoint that is gone, whose address may belong
// to another by now.
TEST_CASE("an instance that was removed is held back when a copy has it") {
  EndpointDirectory directory{milliseconds(100)};
  directory.Upsert(MakeInstance("e1", 10));
  directory.Remove("e1", At(0));
  directory.ReplaceWithCopy({MakeInstance("e1", 10)}, At(1000));
  CHECK(directory.endpoints().empty());
  CHECK(directory.held_back() == 1);
  // A list for another reason changes nothing.
  directory.ReplaceAll({MakeInstance("e1", 10)}, At(1100));
  directory.Expire(At(1399));
  CHECK(directory.endpoints().empty());
  SECTION("the store finds that it is gone") {
    directory.Remove("e1", At(1399));
    directory.Expire(At(2000));
    CHECK(directory.endpoints().empty());
    CHECK(directory.held_back() == 0);
  }
  SECTION("it writes again") {
    directory.Upsert(MakeInstance("e1", 10));
    CHECK(directory.endpoints().size() == 1);
  }
  SECTION("the store keeps it, so it sends heartbeats") {
    directory.Expire(At(1400));
    CHECK(directory.endpoints().size() == 1);
  }
  SECTION("a new instance registers") {
    directory.ReplaceAll({MakeInstance("e1", 20)}, At(1150));
    CHECK(directory.endpoints().at("e1").started_at_ms == 20);
    CHECK(directory.held_back() == 0);
  }
}

TEST_CASE("a copy replaces no instance by an earlier one") {
  EndpointDirectory directory;
  directory.Upsert(MakeInstance("e1", 20));
  directory.ReplaceWithCopy({MakeInstance("e1", 10)}, At(0));
  REQUIRE(directory.endpoints().size() == 1);
  CHECK(directory.endpoints().at("e1").started_at_ms == 20);
}

// Guards against dropping endpoints that registered after the copy was made.
TEST_CASE("removals are deferred when the store came back from a copy") {
  EndpointDirectory directory;
  directory.Upsert(MakeInstance("e1", 10));
  directory.ReplaceWithCopy({}, At(100));
  CHECK(directory.endpoints().size() == 1);
  directory.Expire(At(2100));
  CHECK(directory.endpoints().empty());
}

}  // namespace
}  // namespace jujuberock::catalog
