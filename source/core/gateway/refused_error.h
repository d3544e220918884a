#ifndef CORE_GATEWAY_REFUSED_ERROR_H_
#define CORE_GATEWAY_REFUSED_ERROR_H_

#include <optional>
#include <string>

#include "core/common/error.h"
#include "core/common/time.h"

namespace jujuberock::gateway {

// A request that was not run and never will be, as its status promises.
class RefusedError : public common::Error {
 public:
  RefusedError(common::ResultCode code,
               const std::string& detail,
               std::optional<common::Duration> retry_after)
      : common::Error(code, detail, common::Outcome::kNotRun),
        come_back(retry_after) {}

  // When the caller may try again; nothing when it should not.
  std::optional<common::Duration> retry_after() const {
    return this->come_back;
  }

 private:
  std::optional<common::Duration> come_back;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_REFUSED_ERROR_H_
