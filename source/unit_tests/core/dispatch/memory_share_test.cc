#include "core/dispatch/memory_share.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using std::chrono::milliseconds;

const MemoryForecast kWait{milliseconds(80), milliseconds(900)};

// Load pattern: a crowd of prompts that share most of their parts. Guards
// against refusing requests for lack of memory that the engines have.
TEST_CASE("first tokens that come in spite of full memory lower the share") {
  MemoryShare share;
  CHECK(share.value() == 1);
  for (int i = 0; i < 40; ++i)
    share.Observe(kWait, milliseconds(90));
  CHECK(share.value() < 0.5);
  for (int i = 0; i < 400; ++i)
    share.Observe(kWait, milliseconds(90));
  CHECK(share.value() >= 0.25);
}

// Guards against sends to engines that preempt other runs for them.
TEST_CASE("first tokens that are as late as expected raise the share") {
  MemoryShare share;
  for (int i = 0; i < 40; ++i)
    share.Observe(kWait, milliseconds(90));
  for (int i = 0; i < 60; ++i)
    share.Observe(kWait, milliseconds(900));
  CHECK(share.value() == 1);
}

// Guards against what was learnt in one crowd and holds for ever.
TEST_CASE("without a lack of memory the share returns to the whole") {
  MemoryShare share;
  for (int i = 0; i < 40; ++i)
    share.Observe(kWait, milliseconds(90));
  for (int i = 0; i < 10000; ++i)
    share.Observe({milliseconds(80), milliseconds(0)}, milliseconds(90));
  CHECK(share.value() > 0.95);
}

}  // namespace
}  // namespace jujuberock::dispatch
