#ifndef JUJUBEROCK_COMMAND_H_
#define JUJUBEROCK_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

namespace jujuberock {

// Exit statuses of all subcommands.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

struct CommandLine {
  // Positional arguments after the subcommand name.
  std::vector<std::string> arguments;
  // Values of the --set options, in order.
  std::vector<std::string> overrides;
};

struct Command {
  std::string_view name;
  std::string_view usage;
  std::string_view help;
  int (*run)(const CommandLine& line);
};

int RunServe(const CommandLine& line);
int RunGateway(const CommandLine& line);
int RunCheckGateway(const CommandLine& line);
int RunExplain(const CommandLine& line);
int RunEvents(const CommandLine& line);
int RunCheck(const CommandLine& line);
int RunSettings(const CommandLine& line);
int RunStatus(const CommandLine& line);
int RunStop(const CommandLine& line);
int RunReport(const CommandLine& line);
int RunTable(const CommandLine& line);
int RunLoad(const CommandLine& line);
int RunVersion(const CommandLine& line);

}  // namespace jujuberock

#endif  // JUJUBEROCK_COMMAND_H_
