#include "core/gateway/peer_loads.h"

#include <catch2/catch.hpp>

#include "unit_tests/core/fuzz/mutation.h"

namespace jujuberock::gateway {
namespace {

TEST_CASE("a datagram survives its coding") {
  const std::vector<SentPrompt> prompts = {{1, 9000}, {~uint64_t{0}, 700}};
  const auto bytes = EncodeSentPrompts(prompts);
  CHECK(DecodeSentPrompts(bytes.data(), bytes.size()) == prompts);
}

// Guards against a datagram from anywhere that ends the process.
TEST_CASE("other bytes are refused") {
  const auto valid = EncodeSentPrompts({{1, 9000}, {2, 700}});
  const std::string text(valid.begin(), valid.end());
  common::Random random(20261204);
  for (int i = 0; i < 4000; ++i) {
    const std::string input = fuzz::Mutate(text, random);
    const auto* bytes = reinterpret_cast<const uint8_t*>(input.data());
    CHECK_NOTHROW(DecodeSentPrompts(bytes, input.size()));
  }
  CHECK_FALSE(DecodeSentPrompts(nullptr, 0));
}

}  // namespace
}  // namespace jujuberock::gateway
