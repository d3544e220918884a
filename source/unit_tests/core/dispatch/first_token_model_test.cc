#include "core/dispatch/first_token_model.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr double kBaseMs = 100;
constexpr double kTokenMs = 0.015;

common::Duration Actual(int64_t tokens) {
  return common::FromSeconds(
      (kBaseMs + kTokenMs * static_cast<double>(tokens)) / 1000);
}

void Learn(FirstTokenModel& model, int rounds) {
  for (int i = 0; i < rounds; ++i) {
    model.Observe(300, Actual(300));
    model.Observe(9000, Actual(9000));
  }
}

bool IsNear(const FirstTokenModel& model, int64_t tokens) {
  const double predicted = common::ToMilliseconds(model.Predict(tokens));
  const double actual = common::ToMilliseconds(Actual(tokens));
  return std::abs(predicted - actual) < 0.15 * actual + 5;
}

TEST_CASE("the constant and the time for a token are learnt") {
  FirstTokenModel model;
  Learn(model, 600);
  CHECK(IsNear(model, 300));
  CHECK(IsNear(model, 9000));
}

// Load pattern: a slow cache store delays a third of the requests by seconds
// for a while. Guards against refusals that go on after the store is well: the
// prediction stayed late, and what is refused is never observed again.
TEST_CASE("times from a disturbance do not last in the prediction") {
  FirstTokenModel model;
  Learn(model, 600);
  for (int i = 0; i < 300; ++i) {
    model.Observe(300, Actual(300));
    model.Observe(9000, Actual(9000));
    model.Observe(6000, milliseconds(2500));
  }
  CHECK(model.Predict(300) < milliseconds(300));
  Learn(model, 200);
  CHECK(IsNear(model, 300));
  CHECK(IsNear(model, 9000));
}

// Guards against a target that no endpoint seems to keep, so that all requests
// are refused while all endpoints are idle.
TEST_CASE("the constant has a bound below usual targets") {
  FirstTokenModel model;
  for (int i = 0; i < 5000; ++i)
    model.Observe(0, milliseconds(5000));
  CHECK(model.Predict(0) <= milliseconds(200));
}

}  // namespace
}  // namespace jujuberock::dispatch
