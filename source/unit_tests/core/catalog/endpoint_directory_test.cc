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

}  // namespace
}  // namespace jujuberock::catalog
