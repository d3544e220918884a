#include "core/common/msgpack_unpack.h"

#include <catch2/catch.hpp>

#include <string>

namespace jujuberock::common {
namespace {

// Guards against a message whose nesting overflows the stack of its reader.
// Arrays and maps with one element, with lengths of each format.
TEST_CASE("a message of any nesting depth is refused") {
  for (const std::string& level :
       {std::string("\x91"), std::string("\xdc\x00\x01", 3),
        std::string("\xdd\x00\x00\x00\x01", 5), std::string("\x81\xa0"),
        std::string("\xde\x00\x01\xa0", 4),
        std::string("\xdf\x00\x00\x00\x01\xa0", 6)}) {
    for (const size_t depth : {20U, 1'000U, 1'000'000U}) {
      std::string message;
      for (size_t i = 0; i < depth; ++i)
        message += level;
      CHECK_THROWS_AS(UnpackMessage(message), msgpack::unpack_error);
      CHECK_THROWS_AS(UnpackMessage(message + '\x01'), msgpack::unpack_error);
    }
  }
  CHECK(UnpackMessage("\x91\x91\x91\x01").get().via.array.size == 1);
}

// Guards against a claimed length that requests gigabytes.
TEST_CASE("a length beyond the message is refused") {
  for (const char* head : {"\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff",
                           "\xc6\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff"})
    CHECK_THROWS_AS(UnpackMessage(head), msgpack::unpack_error);
}

// Guards against taking the start of a message for the whole.
TEST_CASE("bytes behind a message are refused") {
  CHECK_THROWS_AS(UnpackMessage(std::string("\x91\x01\x01")),
                  msgpack::unpack_error);
  CHECK_THROWS_AS(UnpackMessage(""), msgpack::unpack_error);
}

}  // namespace
}  // namespace jujuberock::common
