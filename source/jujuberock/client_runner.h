#ifndef JUJUBEROCK_CLIENT_RUNNER_H_
#define JUJUBEROCK_CLIENT_RUNNER_H_

#include <functional>

#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock {

// Runs the body of a subcommand on a fiber and turns errors into exit
// statuses; prints their text to standard error.
int RunWithClient(const std::function<int(runtime::HttpClient&)>& body);

}  // namespace jujuberock

#endif  // JUJUBEROCK_CLIENT_RUNNER_H_
