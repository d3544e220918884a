#include "core/common/result_code.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

namespace jujuberock::common {
namespace {

// InfoOf() searches by bisection, so a code out of order would be reported as
// an internal error.
TEST_CASE("every result code finds its own row") {
  for (const ResultCodeInfo& info : AllResultCodes()) {
    CHECK(InfoOf(info.code).name == info.name);
    CHECK(ResultCodeFromNumber(static_cast<int>(info.code)) == info.code);
  }
}

// Operators look codes up in the page, so a code missing there or listed with
// another status is a fault.
TEST_CASE("the page of result codes lists every code as the program has it") {
  std::ifstream file(JUJUBEROCK_SOURCE_DIR "/docs/result-codes.md");
  std::stringstream page;
  page << file.rdbuf();
  for (const ResultCodeInfo& info : AllResultCodes()) {
    std::stringstream row;
    row << "| " << static_cast<int>(info.code) << " | " << info.name << " | "
        << info.http_status << " | " << NameOf(info.outcome) << " | "
        << info.title << " |";
    CAPTURE(row.str());
    CHECK(page.str().find(row.str()) != std::string::npos);
  }
}

}  // namespace
}  // namespace jujuberock::common
