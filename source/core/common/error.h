#ifndef CORE_COMMON_ERROR_H_
#define CORE_COMMON_ERROR_H_

#include <stdexcept>
#include <string>

#include "core/common/result_code.h"

namespace jujuberock::common {

// The exception type used throughout the system. what() is the detail text
// shown to callers and operators, so it must not contain prompts or keys.
class Error : public std::runtime_error {
 public:
  Error(ResultCode code, const std::string& detail)
      : Error(code, detail, InfoOf(code).outcome) {}
  Error(ResultCode code, const std::string& detail, Outcome outcome)
      : std::runtime_error(detail), result_code(code), known_outcome(outcome) {}

  ResultCode code() const { return this->result_code; }
  Outcome outcome() const { return this->known_outcome; }

 private:
  ResultCode result_code;
  Outcome known_outcome;
};

}  // namespace jujuberock::common

#endif  // CORE_COMMON_ERROR_H_
