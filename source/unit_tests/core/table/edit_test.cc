#include "core/table/edit.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "unit_tests/core/table/rows.h"

namespace jujuberock::table {
namespace {

using platform::WriteResult;
using platform::WriteState;

// A platform with a single object and conditional writes.
struct FakePlatform {
  std::optional<Object> held;
  Version counter = 0;

  WriteResult Write(const Edit& edit) {
    const Version version = this->held ? this->held->version : 0;
    if (version != edit.expected())
      return {WriteState::kConflict, 0, this->held, ""};
    this->held = edit.wanted();
    this->held->version = ++this->counter;
    if (edit.wanted().deleted)
      this->held.reset();
    return {WriteState::kWritten, this->counter, std::nullopt, ""};
  }
};

Edit MakeEdit(const std::string& token, Version expected) {
  Object wanted = TeamRow("a", 0, 100);
  wanted.token = token;
  return Edit(wanted, expected);
}

const WriteResult kLostResponse{WriteState::kUnknown, 0, std::nullopt, "lost"};

TEST_CASE("of two concurrent edits one wins and the other gets its value") {
  FakePlatform platform;
  Edit first = MakeEdit("one", 0);
  Edit second = MakeEdit("two", 0);
  second.OnWriteReply(platform.Write(second));
  first.OnWriteReply(platform.Write(first));
  CHECK(second.result() == EditResult::kAccepted);
  REQUIRE(first.result() == EditResult::kConflict);
  CHECK(first.current()->token == "two");
  CHECK(first.wanted().token == "one");
  CHECK_FALSE(first.may_have_taken_effect());
}

// Without the token the writer would mistake its own change for another one and
// report a conflict.
TEST_CASE("a lost response is resolved by the token") {
  FakePlatform platform;
  Edit edit = MakeEdit("one", 0);
  platform.Write(edit);
  edit.OnWriteReply(kLostResponse);
  REQUIRE(edit.step() == EditStep::kRead);
  edit.OnReadReply(platform.held);
  CHECK(edit.result() == EditResult::kAccepted);
  CHECK(edit.version() == 1);
}

// The first write may reach the platform only after the read found nothing. The
// repeated write must not report the first one as a conflicting change.
TEST_CASE("a delayed write takes effect once") {
  FakePlatform platform;
  Edit edit = MakeEdit("one", 0);
  edit.OnWriteReply(kLostResponse);
  edit.OnReadReply(platform.held);
  REQUIRE(edit.step() == EditStep::kWrite);
  platform.Write(edit);
  edit.OnWriteReply(platform.Write(edit));
  CHECK(edit.result() == EditResult::kAccepted);
  CHECK(platform.counter == 1);
}

TEST_CASE("a lost write that was replaced is reported as a conflict") {
  FakePlatform platform;
  Edit edit = MakeEdit("one", 0);
  platform.Write(edit);
  edit.OnWriteReply(kLostResponse);
  Edit other = MakeEdit("two", 1);
  platform.Write(other);
  edit.OnReadReply(platform.held);
  REQUIRE(edit.result() == EditResult::kConflict);
  CHECK(edit.may_have_taken_effect());
}

TEST_CASE("an outage gives unknown, a rejected first write gives rejected") {
  Edit rejected = MakeEdit("one", 0);
  rejected.OnWriteReply({WriteState::kRejected, 0, std::nullopt, "503"});
  CHECK(rejected.result() == EditResult::kRejected);
  Edit lost = MakeEdit("one", 0);
  lost.OnWriteReply(kLostResponse);
  while (lost.step() == EditStep::kRead)
    lost.OnReadFailed("down");
  CHECK(lost.result() == EditResult::kUnknown);
  CHECK(lost.detail() == "down");
}

}  // namespace
}  // namespace jujuberock::table
