#ifndef CORE_GATEWAY_REFUSED_ERROR_H_
#define CORE_GATEWAY_REFUSED_ERROR_H_

#include <optional>
#include <string>

#include "core/common/error.h"
#include "core/common/time.h"

namespace jujuberock::gateway {

// A refused request. Its status guarantees that it was not run and never will
// be.
class RefusedError : public common::Error {
 public:
  RefusedError(common::ResultCode code,
               const std::string& detail,
               std::optional<common::Duration> retry_after)
      : common::Error(code, detail, common::Outcome::kNotRun),
        retry_delay(retry_after) {}

  // Time after which the caller may retry; nullopt if it should not.
  std::optional<common::Duration> retry_after() const {
    return this->retry_delay;
  }

 private:
  std::optional<common::Duration> retry_delay;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_REFUSED_ERROR_H_
