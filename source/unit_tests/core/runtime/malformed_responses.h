#ifndef UNIT_TESTS_CORE_RUNTIME_MALFORMED_RESPONSES_H_
#define UNIT_TESTS_CORE_RUNTIME_MALFORMED_RESPONSES_H_

#include <string>
#include <vector>

namespace jujuberock::runtime {

// Status lines without the version. HTTP has no such statuses.
inline constexpr const char* kMalformedStatuses[] = {
    "000 Odd", "000",    "001 X", "099 X", "600 X",
    "999 X",   "1000 X", "20 OK", "0 X",   "2O0 X"};

// Lines of a head whose names hold a blank or a control byte, also where they
// would change the length of the body.
inline const std::string kMalformedFields[] = {
    "X-O dd: 1\r\n",
    "X-Odd : 1\r\n",
    "X-O\tdd: 1\r\n",
    "X-O\x01"
    "dd: 1\r\n",
    std::string("X-O\0dd: 1\r\n", 11),
    "X-O\x7f"
    "dd: 1\r\n",
    "X-O\rdd: 1\r\n",
    "X-O\vdd: 1\r\n",
    "Content- Length: 1\r\n",
    "Content-Length : 1\r\n",
    "Content-Length\x01: 1\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Transfer-\x01"
    "Encoding: chunked\r\n"};

inline const std::string kSoundField = "X-Odd: 1\r\n";

// Responses with the body "ok" and the line at several places: first, last and
// in the trailer. `fields` are lines that each head has.
inline std::vector<std::string> ResponsesWith(const std::string& line,
                                              const std::string& fields = "") {
  const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string length = "Content-Length: 2\r\n";
  return {head + line + length + "\r\nok", head + length + line + "\r\nok",
          head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line +
              "\r\n"};
}

}  // namespace jujuberock::runtime

#endif  // UNIT_TESTS_CORE_RUNTIME_MALFORMED_RESPONSES_H_
