#include <gflags/gflags.h>
#include <glog/logging.h>

#include <cstdlib>
#include <iostream>
#include <optional>

#include "core/common/error.h"
#include "core/common/settings.h"
#include "core/common/settings_table.h"
#include "core/gateway/settings.h"
#include "core/runtime/process_limits.h"
#include "core/runtime/process_signals.h"
#include "core/serve/host.h"
#include "core/serve/settings.h"
#include "jujuberock/command.h"

DEFINE_string(config, "", "serve: settings file");

namespace jujuberock {

namespace {

// Reads the settings and prints every error; returns nullopt if there are any.
std::optional<serve::Settings> ReadSettings(const std::string& path,
                                            const CommandLine& line) {
  common::SettingsReader reader;
  if (!path.empty())
    reader.ReadFile(path);
  for (const std::string& assignment : line.overrides)
    reader.ReadOverride(assignment);
  serve::Settings settings;
  const auto problems =
      common::ApplySettings(serve::SettingTable(), reader, settings);
  for (const common::SettingsProblem& problem : problems)
    std::cerr << problem.ToString() << "\n";
  if (!problems.empty())
    return std::nullopt;
  return settings;
}

}  // namespace

int RunServe(const CommandLine& line) {
  runtime::ProcessSignals signals;
  const auto settings = ReadSettings(FLAGS_config, line);
  if (!settings)
    return kExitFailed;
  try {
    runtime::ReturnFreedMemory();
    serve::Host host(*settings, [&signals] { signals.RequestStop(); });
    LOG(INFO) << "serving callers on " << host.caller_address().ToString()
              << ", operators on " << host.operator_address().ToString();
    while (signals.Next() != runtime::ProcessSignal::kStop)
      LOG(WARNING) << "SIGHUP ignored: settings are read at start only";
    if (host.Stop().cut_off > 0) {
      // Exits without destructors, since handlers that still run would delay
      // the exit.
      google::FlushLogFiles(google::INFO);
      std::_Exit(kExitOk);
    }
    return kExitOk;
  } catch (const common::Error& error) {
    std::cerr << "jujuberock serve: " << error.what() << "\n";
    return kExitFailed;
  }
}

int RunCheck(const CommandLine& line) {
  if (line.arguments.size() != 1) {
    std::cerr << "usage: jujuberock check FILE\n";
    return kExitUsage;
  }
  if (!ReadSettings(line.arguments[0], line))
    return kExitFailed;
  std::cout << line.arguments[0] << ": the settings are valid\n";
  return kExitOk;
}

int RunSettings(const CommandLine&) {
  std::cout
      << "# Settings\n\n"
         "`jujuberock serve --config FILE` reads one flat JSON object that may "
         "contain comments. Precedence, lowest\nfirst: default, file, `--set "
         "name=value`. Unknown settings are errors; `jujuberock check FILE` "
         "reports every error\nwith file, line and setting. Keep a file with "
         "keys readable only by the service; values of `--set` can be\nread "
         "by "
         "other users of the machine.\n\nThis page is the output of "
         "`jujuberock settings`.\n\n"
      << common::RenderSettingsTable(serve::SettingTable())
      << "\n## `jujuberock gateway`\n\nThe same form of file; `jujuberock "
         "check-gateway FILE` reports every error. On provisioned machines\nit "
         "is rendered from `deploy/settings.json.template`. SIGHUP reads it "
         "again; `log_level` changes then.\n\n"
      << common::RenderSettingsTable(gateway::SettingTable());
  return kExitOk;
}

}  // namespace jujuberock
