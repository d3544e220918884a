#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/nesting.h"
#include "core/common/random.h"
#include "core/platform/client.h"
#include "core/table_cli/commands.h"
#include "jujuberock/client_runner.h"
#include "jujuberock/command.h"

DEFINE_string(platform, "", "table, version: address of the object API");

namespace jujuberock {

namespace {

using common::Error;
using common::ResultCode;

std::string ReadFile(const std::string& path) {
  if (path == "-")
    return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream file(path);
  if (!file)
    throw Error(ResultCode::kUsage, "cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

runtime::Address PlatformAddress() {
  const auto address = runtime::Address::Parse(FLAGS_platform);
  if (!address)
    throw Error(ResultCode::kUsage, "--platform must have the form ip:port");
  return *address;
}

table_cli::Writer CurrentWriter() {
  const char* user = std::getenv("USER");
  return {user ? user : "operator",
          std::chrono::floor<std::chrono::milliseconds>(
              std::chrono::system_clock::now()),
          common::EntropySeed()};
}

int RunTableArguments(runtime::HttpClient& http,
                      const std::vector<std::string>& arguments,
                      const table_cli::Commands::ReadFile& read_file) {
  common::MetricRegistry counters;
  platform::Client platform(http, PlatformAddress(), counters);
  table_cli::Commands commands(platform, CurrentWriter(), read_file, std::cout);
  const ResultCode code = commands.Run(arguments);
  return code == ResultCode::kOk ? kExitOk : kExitFailed;
}

// Returns the body of a service object with its weight version replaced.
std::string ReplaceVersion(const std::string& body,
                           const std::string& version) {
  if (common::ExceedsNesting(body))
    throw Error(ResultCode::kInvalidTable, "the service is nested too deep");
  try {
    nlohmann::json value = nlohmann::json::parse(body);
    value["version"] = version;
    return value.dump();
  } catch (const nlohmann::json::exception& error) {
    throw Error(ResultCode::kInvalidTable, error.what());
  }
}

}  // namespace

int RunTable(const CommandLine& line) {
  return RunWithClient([&](runtime::HttpClient& http) {
    return RunTableArguments(http, line.arguments, ReadFile);
  });
}

int RunVersion(const CommandLine& line) {
  const std::vector<std::string>& arguments = line.arguments;
  if (arguments.size() != 3 || arguments[0] != "set") {
    std::cerr << "usage: jujuberock version set SERVICE VERSION --platform "
                 "ADDRESS\n";
    return kExitUsage;
  }
  return RunWithClient([&](runtime::HttpClient& http) {
    common::MetricRegistry counters;
    platform::Client platform(http, PlatformAddress(), counters);
    const auto object = platform.Read("service", arguments[1]);
    if (!object)
      throw Error(ResultCode::kUnknownService,
                  "unknown service: " + arguments[1]);
    const std::string body = ReplaceVersion(object->body, arguments[2]);
    return RunTableArguments(http,
                             {"set", "service", arguments[1], "--version",
                              std::to_string(object->version), "-"},
                             [&body](const std::string&) { return body; });
  });
}

}  // namespace jujuberock
