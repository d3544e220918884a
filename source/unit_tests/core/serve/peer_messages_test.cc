#include "core/serve/peer_messages.h"

#include <catch2/catch.hpp>

#include <msgpack.hpp>

#include "core/common/error.h"

namespace jujuberock::serve {
namespace {

using suspects::PartEvidence;
using suspects::PartMark;

std::string PackMark(const std::string& evidence) {
  msgpack::sbuffer buffer;
  const std::vector<
      std::tuple<std::string, uint64_t, std::string, int64_t, int64_t>>
      marks = {{evidence, 7, "e1", 0, 0}};
  msgpack::pack(buffer, std::make_tuple(1, marks));
  return {buffer.data(), buffer.size()};
}

TEST_CASE("part marks survive encoding") {
  const std::vector<PartMark> marks = {
      {PartEvidence::kCrash, 7, "e1", common::Duration(5), common::Duration(9)},
      {PartEvidence::kSound, 8, "", common::Duration(6), {}},
      {PartEvidence::kTrial, 9, "", common::Duration(3), {}},
      {PartEvidence::kBlocked, UINT64_MAX, "", common::Duration(4), {}}};
  CHECK(DecodePartMarks(EncodePartMarks(marks)) == marks);
}

// Guards against a handler that ends with another exception than the one for a
// malformed message, or that takes unknown evidence for a crash.
TEST_CASE("malformed part marks are refused") {
  CHECK(DecodePartMarks(PackMark("crash")).size() == 1);
  CHECK_THROWS_AS(DecodePartMarks(PackMark("rumor")), common::Error);
  CHECK_THROWS_AS(DecodePartMarks(""), common::Error);
  CHECK_THROWS_AS(DecodePartMarks(EncodeStreamTaken("stream")), common::Error);
  std::string cut = PackMark("crash");
  cut.pop_back();
  CHECK_THROWS_AS(DecodePartMarks(cut), common::Error);
}

}  // namespace
}  // namespace jujuberock::serve
