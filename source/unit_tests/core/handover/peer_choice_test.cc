#include "core/handover/peer_choice.h"

#include <map>

#include <catch2/catch.hpp>

namespace jujuberock::handover {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kSeed = 5;

common::TimePoint At(common::Duration time) {
  return common::TimePoint(std::chrono::seconds(1000) + time);
}

bool AllowsAll(const std::string&) {
  return true;
}

std::vector<PeerHost> TwoZones() {
  return {{"a", "near", "1:1"}, {"b", "near", "2:1"}, {"c", "far", "3:1"}};
}

// Guards against bytes between zones where a host of this zone can serve.
TEST_CASE("a host of this zone goes before those of others") {
  PeerChoice choice("near", kSeed);
  choice.SetHosts(TwoZones());
  for (int i = 0; i < 20; ++i)
    CHECK(choice.Choose("s", {}, AllowsAll, At({}))->zone == "near");
  CHECK(choice.Choose("s", {"a", "b"}, AllowsAll, At({}))->name == "c");
  CHECK_FALSE(choice.Choose("s", {"a", "b", "c"}, AllowsAll, At({})));
}

// Guards against asking again and again hosts that are cut off as well.
TEST_CASE("hosts that refuse or are silent are left out for a while") {
  PeerChoice choice("near", kSeed);
  choice.SetHosts(TwoZones());
  choice.OnRefused("a", "s", At({}));
  choice.OnSilent("b", At({}));
  CHECK(choice.Choose("s", {}, AllowsAll, At({}))->name == "c");
  CHECK(
      choice.Choose("s", {}, AllowsAll, At(PeerChoice::kRefusedPause))->name ==
      "a");
  choice.OnRefused("a", "s", At(PeerChoice::kRefusedPause));
  CHECK(
      choice.Choose("s", {}, AllowsAll, At(PeerChoice::kRefusedPause))->name ==
      "c");
  CHECK(choice.Choose("s", {}, AllowsAll, At(PeerChoice::kSilentPause))->zone ==
        "near");
}

// Guards against leaving a host out for all services because one of them is
// down.
TEST_CASE("a host that can't serve one service is asked for another one") {
  PeerChoice choice("near", kSeed);
  choice.SetHosts({{"a", "near", "1:1"}});
  choice.OnRefused("a", "down", At({}));
  CHECK_FALSE(choice.Choose("down", {}, AllowsAll, At({})));
  CHECK(choice.Choose("s", {}, AllowsAll, At({})));
  choice.OnSilent("a", At({}));
  CHECK_FALSE(choice.Choose("s", {}, AllowsAll, At({})));
}

// Guards against handing all requests over to one host.
TEST_CASE("hosts with fewer requests in flight are preferred") {
  PeerChoice choice("near", kSeed);
  std::vector<PeerHost> hosts;
  for (int i = 0; i < 8; ++i)
    hosts.push_back({"h" + std::to_string(i), "near", "1:1"});
  choice.SetHosts(hosts);
  std::map<std::string, int> sent;
  for (int i = 0; i < 800; ++i) {
    const auto host = choice.Choose("s", {}, AllowsAll, At({}));
    choice.OnSent(host->name);
    ++sent[host->name];
  }
  for (const auto& [name, count] : sent) {
    CHECK(count > 80);
    CHECK(count < 120);
  }
  // What has ended does not count.
  for (int i = 0; i < sent["h0"]; ++i)
    choice.OnEnded("h0");
  int again = 0;
  for (int i = 0; i < 100; ++i)
    again += choice.Choose("s", {}, AllowsAll, At({}))->name == "h0";
  CHECK(again > 15);
}

// Guards against a body that leaves the regions which may see it.
TEST_CASE("a request stays in the zones that may see it") {
  PeerChoice choice("near", kSeed);
  choice.SetHosts(TwoZones());
  const auto allows = [](const std::string& zone) { return zone != "far"; };
  CHECK_FALSE(choice.Choose("s", {"a", "b"}, allows, At({})));
}

}  // namespace
}  // namespace jujuberock::handover
