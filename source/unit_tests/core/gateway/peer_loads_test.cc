#include "core/gateway/peer_loads.h"

#include <catch2/catch.hpp>

#include "core/runtime/worker_pool.h"
#include "unit_tests/core/fuzz/mutation.h"

namespace jujuberock::gateway {
namespace {

PeerUpdate MakeUpdate() {
  PeerUpdate update;
  update.prompts = {{1, {9000, 9400, std::chrono::milliseconds(420), false, 2}},
                    {~uint64_t{0}, {0, 700, std::chrono::seconds(2), true}}};
  update.stores = {{7, 5200, {0, 310}}, {8, 0, {}}};
  update.unreachable = {12, ~uint64_t{0}};
  return update;
}

TEST_CASE("an encoded update decodes to the same update") {
  const PeerUpdate update = MakeUpdate();
  const auto bytes = EncodePeerUpdate(update);
  CHECK(DecodePeerUpdate(bytes.data(), bytes.size()) == update);
}

// Guards against hosts of the previous version that reject the datagrams of
// newer ones while no engine tells how long work takes.
TEST_CASE("loads are sent as a fifth list only if there are any") {
  PeerUpdate update = MakeUpdate();
  CHECK(EncodePeerUpdate(update)[0] == 0x93);
  update.loads = {{12, 3, 1, 24, 250}, {~uint64_t{0}, 0, 0, 24, 100}};
  const auto bytes = EncodePeerUpdate(update);
  CHECK(bytes[0] == 0x95);
  CHECK(DecodePeerUpdate(bytes.data(), bytes.size()) == update);
}

// Load: an update whose other lists are full sends its loads in a
// datagram of their own. Guards against one that does not fit.
TEST_CASE("the most loads fit into a datagram") {
  PeerUpdate update;
  update.loads.assign(48, {~uint64_t{0}, 65535, 65535, 65535, 65535});
  const auto bytes = EncodePeerUpdate(update);
  CHECK(bytes.size() <= 1472);
  CHECK(DecodePeerUpdate(bytes.data(), bytes.size()) == update);
}

// Guards against hosts of a former version, in the middle of an update, that
// take datagrams with a fourth list for malformed, and against hosts that take
// theirs for malformed.
TEST_CASE("evacuations are sent as a fourth list only if there are any") {
  PeerUpdate update = MakeUpdate();
  const auto former = EncodePeerUpdate(update);
  CHECK(former[0] == 0x93);
  CHECK(DecodePeerUpdate(former.data(), former.size())->evacuations.empty());
  update = {};
  update.evacuations = {{~uint64_t{0}, {1, 70, false}}, {7, {2, 80, true}}};
  CHECK_FALSE(update.IsEmpty());
  const auto bytes = EncodePeerUpdate(update);
  CHECK(bytes[0] == 0x94);
  CHECK(DecodePeerUpdate(bytes.data(), bytes.size()) == update);
}

// Guards against a host that learns of an evacuation late, and against
// datagrams that take up the hosts. Load: hundreds of hosts.
TEST_CASE("evacuations reach a host from others well within a second") {
  for (const size_t peers : {3u, 25u, 82u, 369u}) {
    const double each = common::ToSeconds(EvacuationInterval(peers));
    CHECK(static_cast<double>(peers) / each <= 100.5);
    // Datagrams that a host gets in a second, from all others together.
    CHECK(static_cast<double>(peers) / each >= 5);
  }
}

// Guards against a total number of datagrams that grows with the square of the
// number of hosts. Load: hundreds of hosts with a few requests per second each.
TEST_CASE("the datagram interval grows with the number of hosts") {
  for (const size_t peers : {1u, 3u, 23u, 99u, 369u, 999u}) {
    const double per_second =
        static_cast<double>(peers) / common::ToSeconds(DatagramInterval(peers));
    CHECK(per_second <= 2000.5);
  }
  CHECK(DatagramInterval(3) == DatagramInterval(23));
}

// Guards against a crash by a malformed datagram from any sender.
TEST_CASE("malformed datagrams are rejected") {
  const auto valid = EncodePeerUpdate(MakeUpdate());
  const std::string text(valid.begin(), valid.end());
  common::Random random(20261204);
  for (int i = 0; i < 4000; ++i) {
    const std::string input = fuzz::Mutate(text, random);
    const auto* bytes = reinterpret_cast<const uint8_t*>(input.data());
    CHECK_NOTHROW(DecodePeerUpdate(bytes, input.size()));
  }
  CHECK_FALSE(DecodePeerUpdate(nullptr, 0));
}

// Guards against a datagram whose nesting overflows the stack of the fiber that
// decodes it. Anybody can send one.
TEST_CASE("a datagram of any nesting depth is rejected on a fiber") {
  constexpr size_t kDatagramBytes = 1472;
  // Arrays and maps with one element, with an 8-bit or a 32-bit length.
  const std::vector<std::string> prefixes = {
      "\x91", std::string("\xdc\x00\x01", 3),
      std::string("\xdd\x00\x00\x00\x01", 5), "\x81\xa1k",
      std::string("\xde\x00\x01\xa0", 4)};
  runtime::WorkerPool workers(1);
  for (const std::string& prefix : prefixes) {
    // Below the top level as well, where a decoder looks for the lists.
    for (const std::string& start :
         {std::string(), std::string("\x93\x90\x90"), std::string("\x93")}) {
      std::string bytes = start;
      while (bytes.size() + prefix.size() <= kDatagramBytes)
        bytes += prefix;
      workers.Run([&bytes] {
        const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
        CHECK_FALSE(DecodePeerUpdate(data, bytes.size()));
      });
    }
  }
}

// Guards against a decoder that takes the start of a datagram for the whole.
TEST_CASE("a datagram with bytes behind the update is rejected") {
  auto bytes = EncodePeerUpdate(MakeUpdate());
  bytes.push_back(0x90);
  CHECK_FALSE(DecodePeerUpdate(bytes.data(), bytes.size()));
}

// Guards against oversized updates, which no host sends and which would use up
// memory.
TEST_CASE("a datagram with too many entries is rejected") {
  PeerUpdate update;
  update.prompts.resize(41);
  const auto prompts = EncodePeerUpdate(update);
  CHECK_FALSE(DecodePeerUpdate(prompts.data(), prompts.size()));
  update.prompts.clear();
  update.stores = {{7, 1, {1, 2, 3, 4, 5}}};
  const auto excesses = EncodePeerUpdate(update);
  CHECK_FALSE(DecodePeerUpdate(excesses.data(), excesses.size()));
  update.stores.clear();
  update.unreachable.resize(17);
  const auto unreachable = EncodePeerUpdate(update);
  CHECK_FALSE(DecodePeerUpdate(unreachable.data(), unreachable.size()));
  update.unreachable.clear();
  update.evacuations.resize(catalog::Evacuations::kMaxZones + 1);
  const auto evacuations = EncodePeerUpdate(update);
  CHECK_FALSE(DecodePeerUpdate(evacuations.data(), evacuations.size()));
}

// Guards against updates that arrive truncated, because they do not fit into
// one datagram.
TEST_CASE("the largest update fits into a datagram without fragmentation") {
  constexpr uint64_t kLargestHash = ~uint64_t{0};
  constexpr uint32_t kTokens = 1u << 20;
  PeerUpdate update;
  update.prompts.assign(
      30,
      {kLargestHash, {kTokens, kTokens, std::chrono::seconds(60), true, 9}});
  update.stores.assign(14,
                       {kLargestHash, kTokens, {60000, 60000, 60000, 60000}});
  update.unreachable.assign(16, kLargestHash);
  const auto bytes = EncodePeerUpdate(update);
  CHECK(bytes.size() <= 1472);
  CHECK(DecodePeerUpdate(bytes.data(), bytes.size()) == update);
  PeerUpdate evacuations;
  evacuations.evacuations.assign(
      catalog::Evacuations::kMaxZones,
      {kLargestHash, {kLargestHash, kLargestHash, true}});
  const auto largest = EncodePeerUpdate(evacuations);
  CHECK(largest.size() <= 1472);
  CHECK(DecodePeerUpdate(largest.data(), largest.size()) == evacuations);
}

}  // namespace
}  // namespace jujuberock::gateway
