#include "core/common/result_code.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

namespace jujuberock::common {
namespace {

// InfoOf() uses binary search, so a code out of order would be reported as an
// internal error.
TEST_CASE("every result code is found with its own entry") {
  for (const ResultCodeInfo& info : AllResultCodes()) {
    CHECK(InfoOf(info.code).name == info.name);
    CHECK(ResultCodeFromNumber(static_cast<int>(info.code)) == info.code);
  }
}

// Operators look codes up in docs/result-codes.md, so it must list every code
// with the right status, outcome and title.
TEST_CASE(
    "the documentation lists every result code as the program defines it") {
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
