#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

#include "core/common/error.h"
#include "core/report/burn_render.h"
#include "core/runtime/http_client.h"
#include "jujuberock/client_runner.h"
#include "jujuberock/command.h"

DEFINE_string(operator,
              "127.0.0.1:8081",
              "status, stop, report: operator address of the host; report "
              "accepts a comma-separated list");
DEFINE_string(operator_key_file,
              "",
              "status, stop, report: file with the operator key; if empty, the "
              "environment variable JUJUBEROCK_OPERATOR_KEY is used");
DEFINE_bool(json, false, "report: print JSON instead of a table");

namespace jujuberock {

namespace {

using common::Error;
using common::ResultCode;

// Largest answer of a host to an operator.
constexpr size_t kMaxAnswerBytes = 64 * 1024 * 1024;

// Reads the operator key from a file or the environment. It is neither a flag
// nor an argument, because other users of the machine can read the command
// line.
std::string OperatorKey() {
  if (FLAGS_operator_key_file.empty()) {
    const char* key = std::getenv("JUJUBEROCK_OPERATOR_KEY");
    return key ? key : "";
  }
  std::ifstream file(FLAGS_operator_key_file);
  std::string key;
  if (!std::getline(file, key))
    throw Error(ResultCode::kUsage,
                "cannot read the operator key from " + FLAGS_operator_key_file);
  return key;
}

std::vector<runtime::Address> OperatorAddresses() {
  std::vector<runtime::Address> addresses;
  std::stringstream list(FLAGS_operator);
  std::string text;
  while (std::getline(list, text, ',')) {
    const auto address = runtime::Address::Parse(text);
    if (!address)
      throw Error(ResultCode::kUsage,
                  "--operator: address must have the form ip:port: " + text);
    addresses.push_back(*address);
  }
  if (addresses.empty())
    throw Error(ResultCode::kUsage, "--operator: no address given");
  return addresses;
}

// Sends an operator request and returns the response body. Throws common::Error
// with the response body unless the status is 2xx.
std::string Call(runtime::HttpClient& client,
                 const runtime::Address& address,
                 const std::string& method,
                 const std::string& path) {
  runtime::HttpRequest request{method, path, {}, ""};
  const std::string key = OperatorKey();
  if (!key.empty())
    request.headers.Add("Authorization", "Bearer " + key);
  const runtime::HttpResponse response =
      client.Fetch(address, request, {.body_limit_bytes = kMaxAnswerBytes});
  if (response.status / 100 != 2)
    throw Error(ResultCode::kPeerUnavailable,
                address.ToString() + ": " + response.body);
  return response.body;
}

int CallOperator(const std::string& method, const std::string& path) {
  return RunWithClient([&](runtime::HttpClient& client) {
    for (const runtime::Address& address : OperatorAddresses())
      std::cout << Call(client, address, method, path);
    return kExitOk;
  });
}

}  // namespace

int RunStatus(const CommandLine&) {
  return CallOperator("GET", "/status");
}

int RunStop(const CommandLine&) {
  return CallOperator("POST", "/stop");
}

int RunReport(const CommandLine& line) {
  if (line.arguments != std::vector<std::string>{"burn"}) {
    std::cerr << "usage: jujuberock report burn --operator ADDRESS,...\n";
    return kExitUsage;
  }
  return RunWithClient([](runtime::HttpClient& client) {
    std::vector<std::vector<report::BurnRow>> hosts;
    for (const runtime::Address& address : OperatorAddresses())
      hosts.push_back(report::ParseJson(Call(client, address, "GET", "/burn")));
    const auto rows = report::MergeRows(hosts);
    std::cout << (FLAGS_json
                      ? report::RenderJson(rows, report::kDefaultObjective) +
                            "\n"
                      : report::RenderText(rows, report::kDefaultObjective));
    return kExitOk;
  });
}

}  // namespace jujuberock
