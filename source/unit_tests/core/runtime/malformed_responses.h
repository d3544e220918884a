#ifndef UNIT_TESTS_CORE_RUNTIME_MALFORMED_RESPONSES_H_
#define UNIT_TESTS_CORE_RUNTIME_MALFORMED_RESPONSES_H_

namespace jujuberock::runtime {

// Status lines without the version. HTTP has no such statuses.
inline constexpr const char* kMalformedStatuses[] = {
    "000 Odd", "000",    "001 X", "099 X", "600 X",
    "999 X",   "1000 X", "20 OK", "0 X",   "2O0 X"};

}  // namespace jujuberock::runtime

#endif  // UNIT_TESTS_CORE_RUNTIME_MALFORMED_RESPONSES_H_
