#include "core/dispatch/duration_record.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

common::TimePoint At(int second) {
  return common::TimePoint(seconds(second));
}

// Load pattern: many short requests and a long one now and then. Guards against
// an estimate that the short ones push below what a request may take.
TEST_CASE("short requests do not hide a long one") {
  DurationRecord record;
  record.OnAnswered("a", seconds(5), At(70));
  for (int second = 70; second < 130; ++second)
    record.OnAnswered("a", milliseconds(20), At(second));
  CHECK(record.Longest("a", At(130)) == seconds(5));
  CHECK_FALSE(record.Longest("b", At(130)));
}

// Load pattern: streams of a second, and one in a hundred that hangs. Guards
// against a planned stop that refuses all of them for the few.
TEST_CASE("a few long requests do not raise the usual duration") {
  DurationRecord record;
  CHECK_FALSE(record.Usual("a", At(1)));
  for (int i = 0; i < 198; ++i)
    record.OnAnswered("a", seconds(1), At(1));
  record.OnUnfinished("a", seconds(15), At(1));
  record.OnAnswered("a", seconds(9), At(1));
  CHECK(record.Usual("a", At(1)) == seconds(1));
  CHECK(record.Longest("a", At(1)) == seconds(15));
  for (int i = 0; i < 10; ++i)
    record.OnAnswered("a", seconds(9), At(2));
  CHECK(record.Usual("a", At(2)) == seconds(9));
}

TEST_CASE("a duration is forgotten after one to two periods") {
  DurationRecord record;
  record.OnAnswered("a", seconds(5), At(61));
  CHECK(record.Longest("a", At(179)) == seconds(5));
  CHECK_FALSE(record.Longest("a", At(180)));
  record.OnAnswered("a", milliseconds(20), At(170));
  CHECK(record.Longest("a", At(180)) == milliseconds(20));
}

// Load pattern: callers that leave, or endpoints that are cut off, before the
// work is done. Guards against taking the time until then for the time of an
// answer.
TEST_CASE("a request without a whole answer only raises the duration") {
  DurationRecord record;
  record.OnUnfinished("a", milliseconds(100), At(1));
  CHECK_FALSE(record.Longest("a", At(1)));
  record.OnAnswered("a", milliseconds(200), At(2));
  record.OnUnfinished("a", seconds(3), At(3));
  record.OnUnfinished("a", milliseconds(1), At(3));
  CHECK(record.Longest("a", At(4)) == seconds(3));
}

}  // namespace
}  // namespace jujuberock::dispatch
