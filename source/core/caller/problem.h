#ifndef CORE_CALLER_PROBLEM_H_
#define CORE_CALLER_PROBLEM_H_

#include <string>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/runtime/http_types.h"

namespace jujuberock::caller {

// Error for a rejected request that may be retried after a delay.
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

// Renders an error as problem details (RFC 9457): status, code, name, title,
// detail and outcome.
std::string RenderProblemJson(const common::Error& error);

// Renders an error as an HTTP response with problem details, and with
// Retry-After if the status is 429 or 503.
runtime::HttpResponse RenderProblemResponse(const common::Error& error);

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_PROBLEM_H_
