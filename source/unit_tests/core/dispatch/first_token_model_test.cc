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

TEST_CASE("the constant and the time per token are learned") {
  FirstTokenModel model;
  Learn(model, 600);
  CHECK(IsNear(model, 300));
  CHECK(IsNear(model, 9000));
}

// Load pattern: a slow cache store delays a third of the requests by seconds
// for a while. Guards against refusals that continue after the store has
// recovered: the prediction stayed too high, and refused requests yield no
// observations that would correct it.
TEST_CASE("outliers from a disturbance do not persist in the prediction") {
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

// Guards against a prediction above the target latency for every endpoint,
// which would refuse all requests while all endpoints are idle.
TEST_CASE("the constant is bounded below usual target latencies") {
  FirstTokenModel model;
  for (int i = 0; i < 5000; ++i)
    model.Observe(0, milliseconds(5000));
  CHECK(model.Predict(0) <= milliseconds(200));
}

}  // namespace
}  // namespace jujuberock::dispatch
