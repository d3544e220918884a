#include "core/gateway/peer_loads.h"

#include <catch2/catch.hpp>

#include "unit_tests/core/fuzz/mutation.h"

namespace jujuberock::gateway {
namespace {

PeerNews MakeNews() {
  PeerNews news;
  news.prompts = {{1, {9000, 9400, std::chrono::milliseconds(420), false}},
                  {~uint64_t{0}, {0, 700, std::chrono::seconds(2), true}}};
  news.stores = {{7, 5200, {0, 310}}, {8, 0, {}}};
  news.lost = {12, ~uint64_t{0}};
  return news;
}

TEST_CASE("a datagram survives its coding") {
  const PeerNews news = MakeNews();
  const auto bytes = EncodeNews(news);
  CHECK(DecodeNews(bytes.data(), bytes.size()) == news);
}

// Load pattern: hundreds of hosts, each with a few requests a second. Guards
// against datagrams that grow with the square of the number of hosts.
TEST_CASE("a host of a large site gathers its news for longer") {
  for (const size_t peers : {1u, 3u, 23u, 99u, 369u, 999u}) {
    const double per_second =
        static_cast<double>(peers) / common::ToSeconds(GatherTime(peers));
    CHECK(per_second <= 2000.5);
  }
  CHECK(GatherTime(3) == GatherTime(23));
}

// Guards against a datagram from anywhere that ends the process.
TEST_CASE("other bytes are refused") {
  const auto valid = EncodeNews(MakeNews());
  const std::string text(valid.begin(), valid.end());
  common::Random random(20261204);
  for (int i = 0; i < 4000; ++i) {
    const std::string input = fuzz::Mutate(text, random);
    const auto* bytes = reinterpret_cast<const uint8_t*>(input.data());
    CHECK_NOTHROW(DecodeNews(bytes, input.size()));
  }
  CHECK_FALSE(DecodeNews(nullptr, 0));
}

// Guards against news that no host would send and that would fill the books.
TEST_CASE("a datagram with too many entries is refused") {
  PeerNews news;
  news.prompts.resize(41);
  const auto prompts = EncodeNews(news);
  CHECK_FALSE(DecodeNews(prompts.data(), prompts.size()));
  news.prompts.clear();
  news.stores = {{7, 1, {1, 2, 3, 4, 5}}};
  const auto excesses = EncodeNews(news);
  CHECK_FALSE(DecodeNews(excesses.data(), excesses.size()));
  news.stores.clear();
  news.lost.resize(17);
  const auto lost = EncodeNews(news);
  CHECK_FALSE(DecodeNews(lost.data(), lost.size()));
}

}  // namespace
}  // namespace jujuberock::gateway
