#include "core/catalog/endpoint_directory.h"

#include <catch2/catch.hpp>

namespace jujuberock::catalog {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(ms));
}

Endpoint Named(const char* id) {
  Endpoint endpoint;
  endpoint.id = id;
  return endpoint;
}

EndpointDirectory WithOne() {
  EndpointDirectory directory;
  directory.Upsert(Named("e1"));
  return directory;
}

TEST_CASE("a removal takes effect at once") {
  EndpointDirectory directory = WithOne();
  directory.Remove("e1", At(1));
  CHECK(directory.endpoints().empty());
}

// Guards against losing all endpoints whose entries lapsed while the store was
// down, although they are alive.
TEST_CASE("entries that lapsed in an outage stay until they could return") {
  EndpointDirectory directory = WithOne();
  directory.OnStoreFailure(At(0));
  directory.OnStoreFailure(At(4000));
  directory.OnStoreAnswer(At(5000));
  directory.ReplaceAll({}, At(5000));
  CHECK(directory.endpoints().size() == 1);
  directory.Expire(At(6999));
  CHECK(directory.endpoints().size() == 1);
  SECTION("one that has not come back is gone") {
    directory.Expire(At(7000));
    CHECK(directory.endpoints().empty());
  }
  SECTION("one that has come back stays") {
    directory.Upsert(Named("e1"));
    directory.Expire(At(8000));
    CHECK(directory.endpoints().size() == 1);
  }
}

// Guards against sends to an endpoint that left while one answer of the store
// was lost.
TEST_CASE("a short failure of the store makes no removal tentative") {
  EndpointDirectory directory = WithOne();
  directory.OnStoreFailure(At(0));
  directory.OnStoreAnswer(At(500));
  directory.Remove("e1", At(600));
  CHECK(directory.endpoints().empty());
}

TEST_CASE("a leaving endpoint is not kept after an outage") {
  EndpointDirectory directory;
  Endpoint leaving = Named("e1");
  leaving.leaving = true;
  directory.Upsert(leaving);
  directory.OnStoreFailure(At(0));
  directory.OnStoreAnswer(At(5000));
  directory.Remove("e1", At(5000));
  CHECK(directory.endpoints().empty());
}

}  // namespace
}  // namespace jujuberock::catalog
