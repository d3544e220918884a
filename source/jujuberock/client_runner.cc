#include "jujuberock/client_runner.h"

#include <iostream>

#include "core/common/error.h"
#include "jujuberock/command.h"

namespace jujuberock {

int RunWithClient(const std::function<int(runtime::HttpClient&)>& body) {
  runtime::WorkerPool pool(1);
  int status = kExitFailed;
  try {
    pool.Run([&] {
      runtime::HttpClient client(pool, {});
      status = body(client);
    });
  } catch (const common::Error& error) {
    std::cerr << "jujuberock: " << error.what() << " (code "
              << static_cast<int>(error.code()) << ")\n";
    const bool is_usage_error = error.code() == common::ResultCode::kUsage;
    return is_usage_error ? kExitUsage : kExitFailed;
  }
  return status;
}

}  // namespace jujuberock
