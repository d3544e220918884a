#include <gflags/gflags.h>
#include <glog/logging.h>

#include <array>
#include <iostream>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "jujuberock/command.h"

namespace jujuberock {

namespace {

constexpr std::array kCommands = {
    Command{"serve", "serve --config FILE [--set NAME=VALUE]...",
            "runs a host until SIGTERM or `stop`", RunServe},
    Command{"gateway", "gateway --config FILE [--set NAME=VALUE]...",
            "runs a host as gateway for the platform's callers until SIGTERM",
            RunGateway},
    Command{"check-gateway", "check-gateway FILE [--set NAME=VALUE]...",
            "reports every error in a settings file for `gateway`",
            RunCheckGateway},
    Command{"explain", "explain REQUEST FILE... [--before_ms N]",
            "reconstructs the timeline of a request from the logs of hosts",
            RunExplain},
    Command{"events", "events",
            "prints the reference of log events (docs/events.md)", RunEvents},
    Command{"check", "check FILE [--set NAME=VALUE]...",
            "reports every error in a settings file for `serve`", RunCheck},
    Command{"settings", "settings",
            "prints the reference of all settings (docs/settings.md)",
            RunSettings},
    Command{"status", "status --operator ADDRESS",
            "prints the current state of a host", RunStatus},
    Command{"stop", "stop --operator ADDRESS",
            "starts the planned stop (graceful shutdown) of a host", RunStop},
    Command{
        "report", "report burn --operator ADDRESS[,ADDRESS]... [--json]",
        "shows the error budget burn of each team, merged over all given hosts",
        RunReport},
    Command{"table", "table get|set|diff|history ... --platform ADDRESS",
            "shows and edits rows of the table; `table` alone prints its usage",
            RunTable},
    Command{"version", "version set SERVICE VERSION --platform ADDRESS",
            "sets the desired weight version of a service", RunVersion},
    Command{"load",
            "load policy|ablation|overload|routing-cost [--seeds N] "
            "[--threads N] [--out PREFIX]",
            "runs experiments on simulated deployments", RunLoad},
};

void PrintUsage(std::ostream& out) {
  out << "usage: jujuberock COMMAND [ARGUMENTS]\n\n";
  for (const Command& command : kCommands)
    out << "  " << command.usage << "\n      " << command.help << "\n";
  out << "\nexit status: 0 success, 1 failure, 2 usage error\n";
}

// Removes the --set options from the arguments and returns their values. gflags
// keeps only the last value of a repeated flag, so they must not reach it.
std::vector<std::string> ExtractOverrides(std::vector<char*>& arguments) {
  std::vector<std::string> overrides;
  std::vector<char*> remaining;
  for (size_t i = 0; i < arguments.size(); ++i) {
    const std::string text = arguments[i];
    const std::string stripped =
        text.rfind("--", 0) == 0 ? text.substr(1) : text;
    if (stripped.rfind("-set=", 0) == 0)
      overrides.push_back(stripped.substr(5));
    else if (stripped == "-set" && i + 1 < arguments.size())
      overrides.emplace_back(arguments[++i]);
    else
      remaining.push_back(arguments[i]);
  }
  arguments = remaining;
  return overrides;
}

bool HasFlagPrefix(const std::string& text, const std::string& name) {
  return text.rfind("-" + name, 0) == 0 || text.rfind("--" + name, 0) == 0;
}

// Removes the arguments of `table` and returns them. Its subcommands have their
// own options, one of which, --version, gflags would handle as its built-in
// flag. Only --platform is passed on to gflags.
std::vector<std::string> ExtractTableArguments(std::vector<char*>& arguments) {
  constexpr size_t kFirstArgument = 2;
  std::vector<std::string> table_arguments;
  std::vector<char*> remaining(arguments.begin(),
                               arguments.begin() + kFirstArgument);
  for (size_t i = kFirstArgument; i < arguments.size(); ++i) {
    const std::string text = arguments[i];
    if (!HasFlagPrefix(text, "platform")) {
      table_arguments.push_back(text);
      continue;
    }
    remaining.push_back(arguments[i]);
    const bool value_follows = text.find('=') == std::string::npos;
    if (value_follows && i + 1 < arguments.size())
      remaining.push_back(arguments[++i]);
  }
  arguments = remaining;
  return table_arguments;
}

int Run(int argc, char** argv) {
  std::vector<char*> arguments(argv, argv + argc);
  CommandLine line;
  if (argc > 1 && std::string(argv[1]) == "table")
    line.arguments = ExtractTableArguments(arguments);
  line.overrides = ExtractOverrides(arguments);
  int count = static_cast<int>(arguments.size());
  arguments.push_back(nullptr);
  char** remaining = arguments.data();
  gflags::ParseCommandLineFlags(&count, &remaining, true);
  if (count < 2) {
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  const std::string name = remaining[1];
  for (int i = 2; i < count; ++i)
    line.arguments.emplace_back(remaining[i]);
  if (name == "help") {
    PrintUsage(std::cout);
    return kExitOk;
  }
  for (const Command& command : kCommands) {
    if (command.name == name)
      return command.run(line);
  }
  std::cerr << "unknown command: " << name << "\n\n";
  PrintUsage(std::cerr);
  return kExitUsage;
}

}  // namespace

}  // namespace jujuberock

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  gflags::SetUsageMessage(
      "jujuberock COMMAND [ARGUMENTS]; see `jujuberock help`");
  return jujuberock::Run(argc, argv);
}
