#include "core/table/editor.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "unit_tests/core/table/rows.h"

namespace jujuberock::table {
namespace {

using platform::WriteResult;
using platform::WriteState;

// The platform's rules for one object, with lost answers.
struct OneObject {
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

const WriteResult kLost{WriteState::kUnknown, 0, std::nullopt, "lost"};

TEST_CASE("of two racing editors one wins and the other sees its value") {
  OneObject store;
  Edit first = MakeEdit("one", 0);
  Edit second = MakeEdit("two", 0);
  second.OnWriteReply(store.Write(second));
  first.OnWriteReply(store.Write(first));
  CHECK(second.result() == EditResult::kAccepted);
  REQUIRE(first.result() == EditResult::kConflict);
  CHECK(first.current()->token == "two");
  CHECK(first.wanted().token == "one");
  CHECK_FALSE(first.may_have_been_in_force());
}

// Without the token a writer would take its own change for another's.
TEST_CASE("a lost answer is settled by the token") {
  OneObject store;
  Edit edit = MakeEdit("one", 0);
  store.Write(edit);
  edit.OnWriteReply(kLost);
  REQUIRE(edit.step() == EditStep::kRead);
  edit.OnReadReply(store.held);
  CHECK(edit.result() == EditResult::kAccepted);
  CHECK(edit.version() == 1);
}

// The first write may reach the platform after the read found nothing; the
// repeated write must then not count as another's change.
TEST_CASE("a write that arrives late takes effect once") {
  OneObject store;
  Edit edit = MakeEdit("one", 0);
  edit.OnWriteReply(kLost);
  edit.OnReadReply(store.held);
  REQUIRE(edit.step() == EditStep::kWrite);
  store.Write(edit);
  edit.OnWriteReply(store.Write(edit));
  CHECK(edit.result() == EditResult::kAccepted);
  CHECK(store.counter == 1);
}

TEST_CASE("a lost write that another change followed is not called accepted") {
  OneObject store;
  Edit edit = MakeEdit("one", 0);
  store.Write(edit);
  edit.OnWriteReply(kLost);
  Edit other = MakeEdit("two", 1);
  store.Write(other);
  edit.OnReadReply(store.held);
  REQUIRE(edit.result() == EditResult::kConflict);
  CHECK(edit.may_have_been_in_force());
}

TEST_CASE("an outage ends in unknown, and in rejected only when nothing ran") {
  Edit refused = MakeEdit("one", 0);
  refused.OnWriteReply({WriteState::kRejected, 0, std::nullopt, "503"});
  CHECK(refused.result() == EditResult::kRejected);
  Edit lost = MakeEdit("one", 0);
  lost.OnWriteReply(kLost);
  while (lost.step() == EditStep::kRead)
    lost.OnReadFailed("down");
  CHECK(lost.result() == EditResult::kUnknown);
  CHECK(lost.detail() == "down");
}

}  // namespace
}  // namespace jujuberock::table
