#include <gflags/gflags.h>

#include <iostream>

#include "core/common/error.h"
#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"
#include "jujuberock/command.h"

DEFINE_string(operator,
              "127.0.0.1:8081",
              "status, stop: operator address of the host");

namespace jujuberock {

namespace {

// Prints the answer; the exit status tells whether it was a success.
int CallOperator(const std::string& method, const std::string& path) {
  const auto address = runtime::Address::Parse(FLAGS_operator);
  if (!address) {
    std::cerr << "--operator must have the form ip:port\n";
    return kExitUsage;
  }
  int status = kExitFailed;
  runtime::WorkerPool pool(1);
  try {
    pool.Run([&] {
      runtime::HttpClient client(pool, {});
      const runtime::HttpResponse response =
          client.Fetch(*address, {method, path, {}, ""});
      const bool done = response.status / 100 == 2;
      (done ? std::cout : std::cerr) << response.body;
      status = done ? kExitOk : kExitFailed;
    });
  } catch (const common::Error& error) {
    std::cerr << "jujuberock: " << error.what() << "\n";
  }
  return status;
}

}  // namespace

int RunStatus(const CommandLine&) {
  return CallOperator("GET", "/status");
}

int RunStop(const CommandLine&) {
  return CallOperator("POST", "/stop");
}

}  // namespace jujuberock
