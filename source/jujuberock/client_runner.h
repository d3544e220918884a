#ifndef JUJUBEROCK_CLIENT_RUNNER_H_
#define JUJUBEROCK_CLIENT_RUNNER_H_

#include <functional>

#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock {

// Runs the body of a subcommand on a fiber and returns its exit status. Errors
// are printed to standard error and mapped to an exit status.
int RunWithClient(const std::function<int(runtime::HttpClient&)>& body);

}  // namespace jujuberock

#endif  // JUJUBEROCK_CLIENT_RUNNER_H_
