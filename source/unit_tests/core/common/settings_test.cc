#include <catch2/catch.hpp>

#include "core/common/settings.h"

namespace jujuberock::common {
namespace {

struct Sample {
  int64_t threads = 1;
  double share = 0.5;
  std::string name;
  bool verbose = false;
  Duration limit = std::chrono::seconds(1);
};

const std::vector<SettingDeclaration<Sample>> kSample = {
    {"threads", &Sample::threads, "threads", 1, 64, "Worker threads"},
    {"share", &Sample::share, "", 0, 1, "A share"},
    {"name", &Sample::name, "", 0, 0, "A name", true},
    {"verbose", &Sample::verbose, "", 0, 0, "A boolean"},
    {"limit", &Sample::limit, "ms", 1, 60'000, "A limit"},
};

TEST_CASE("a later layer overrides an earlier one") {
  SettingsReader reader;
  reader.ReadText(
      "{\"name\": \"a\", /* note */ \"threads\": 4,\n"
      "\"limit\": 250, \"share\": 1}",
      "f");
  reader.ReadOverride("threads=8");
  reader.ReadOverride("verbose=true");
  Sample sample;
  REQUIRE(ApplySettings(kSample, reader, sample).empty());
  REQUIRE(sample.threads == 8);
  REQUIRE(sample.verbose);
  REQUIRE(sample.share == 1.0);
  REQUIRE(sample.limit == std::chrono::milliseconds(250));
}

TEST_CASE("every problem is reported with file, line and setting") {
  SettingsReader reader;
  reader.ReadText(
      "{\n  // comment\n  \"threads\": 65,\n  \"thread\": 1,\n"
      "  \"limit\": \"soon\",\n  \"share\": [1],\n  \"threads\": 2\n}",
      "f.json");
  reader.ReadOverride("verbose=maybe");
  Sample sample;
  std::vector<std::string> texts;
  for (const auto& problem : ApplySettings(kSample, reader, sample))
    texts.push_back(problem.ToString());
  const std::vector<std::string> expected = {
      "f.json:6: share: must be a single value, not an object or array",
      "f.json:7: threads: is set twice",
      "f.json:3: threads: must be between 1 and 64 threads, not 65",
      "settings: name: is required",
      "--set: verbose: must be true or false",
      "f.json:5: limit: must be an integer",
      "f.json:4: thread: unknown setting",
  };
  REQUIRE(texts == expected);
}

TEST_CASE("a syntax error names its line") {
  SettingsReader reader;
  reader.ReadText("{\n\"threads\": 1,,\n}", "f.json");
  REQUIRE(reader.problems().size() == 1);
  REQUIRE(reader.problems()[0].line == 2);
}

}  // namespace
}  // namespace jujuberock::common
