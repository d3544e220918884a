#ifndef CORE_CALLER_PROBLEM_H_
#define CORE_CALLER_PROBLEM_H_

#include <string>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/runtime/http_types.h"

namespace jujuberock::caller {

// A refusal that tells when to try again.
class RefusedError : public common::Error {
 public:
  RefusedError(common::ResultCode code,
               const std::string& detail,
               common::Duration retry_after)
      : common::Error(code, detail), retry_delay(retry_after) {}

  common::Duration retry_after() const { return this->retry_delay; }

 private:
  common::Duration retry_delay;
};

// The problem document (RFC 9457) of an error: code, title, detail, outcome.
std::string ProblemText(const common::Error& error);

// The document as an answer, with Retry-After where trying again may help.
runtime::HttpResponse RenderProblem(const common::Error& error);

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_PROBLEM_H_
