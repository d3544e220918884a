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
            "runs a host before the platform's callers until SIGTERM",
            RunGateway},
    Command{"check-gateway", "check-gateway FILE [--set NAME=VALUE]...",
            "reports every mistake in a settings file of `gateway`",
            RunCheckGateway},
    Command{"explain", "explain REQUEST FILE... [--before_ms N]",
            "tells the story of a request from the logs of hosts", RunExplain},
    Command{"events", "events", "prints the log's events as docs/events.md",
            RunEvents},
    Command{"check", "check FILE [--set NAME=VALUE]...",
            "reports every mistake in a settings file", RunCheck},
    Command{"settings", "settings", "prints all settings as docs/settings.md",
            RunSettings},
    Command{"status", "status --operator ADDRESS",
            "prints what a host knows and does", RunStatus},
    Command{"stop", "stop --operator ADDRESS",
            "starts the planned stop of a host", RunStop},
    Command{"report", "report burn --operator ADDRESS[,ADDRESS]... [--json]",
            "shows which teams use up their error budget, over all given hosts",
            RunReport},
    Command{"table", "table get|set|diff|history ... --platform ADDRESS",
            "shows and edits rows of the table; `table` alone lists its forms",
            RunTable},
    Command{"version", "version set SERVICE VERSION --platform ADDRESS",
            "asks for another weight version of a service", RunVersion},
    Command{"load",
            "load policy|ablation|overload|routing-cost [--seeds N] "
            "[--threads N] [--out PREFIX]",
            "runs experiments on modelled deployments", RunLoad},
};

void PrintUsage(std::ostream& out) {
  out << "usage: jujuberock COMMAND [ARGUMENTS]\n\n";
  for (const Command& command : kCommands)
    out << "  " << command.usage << "\n      " << command.help << "\n";
  out << "\nexit status: 0 done, 1 failed, 2 wrong usage\n";
}

// gflags keeps only the last value of a repeated flag, so --set is taken out
// of the arguments before it parses them.
std::vector<std::string> TakeOverrides(std::vector<char*>& arguments) {
  std::vector<std::string> overrides;
  std::vector<char*> left;
  for (size_t i = 0; i < arguments.size(); ++i) {
    const std::string text = arguments[i];
    const std::string stripped =
        text.rfind("--", 0) == 0 ? text.substr(1) : text;
    if (stripped.rfind("-set=", 0) == 0)
      overrides.push_back(stripped.substr(5));
    else if (stripped == "-set" && i + 1 < arguments.size())
      overrides.emplace_back(arguments[++i]);
    else
      left.push_back(arguments[i]);
  }
  arguments = left;
  return overrides;
}

bool IsFlag(const std::string& text, const std::string& name) {
  return text.rfind("-" + name, 0) == 0 || text.rfind("--" + name, 0) == 0;
}

// The subcommands of `table` have options of their own, among them --version,
// which gflags would take for its own. Only --platform is left to gflags.
std::vector<std::string> TakeTableArguments(std::vector<char*>& arguments) {
  constexpr size_t kFirst = 2;
  std::vector<std::string> own;
  std::vector<char*> left(arguments.begin(), arguments.begin() + kFirst);
  for (size_t i = kFirst; i < arguments.size(); ++i) {
    const std::string text = arguments[i];
    if (!IsFlag(text, "platform")) {
      own.push_back(text);
      continue;
    }
    left.push_back(arguments[i]);
    const bool value_follows = text.find('=') == std::string::npos;
    if (value_follows && i + 1 < arguments.size())
      left.push_back(arguments[++i]);
  }
  arguments = left;
  return own;
}

int Run(int argc, char** argv) {
  std::vector<char*> arguments(argv, argv + argc);
  CommandLine line;
  if (argc > 1 && std::string(argv[1]) == "table")
    line.arguments = TakeTableArguments(arguments);
  line.overrides = TakeOverrides(arguments);
  int count = static_cast<int>(arguments.size());
  arguments.push_back(nullptr);
  char** left = arguments.data();
  gflags::ParseCommandLineFlags(&count, &left, true);
  if (count < 2) {
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  const std::string name = left[1];
  for (int i = 2; i < count; ++i)
    line.arguments.emplace_back(left[i]);
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
