#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <vector>

#include "core/common/error.h"
#include "core/common/settings.h"
#include "core/events/event_log.h"
#include "core/events/explain.h"
#include "core/gateway/gateway.h"
#include "core/gateway/settings.h"
#include "core/runtime/http_client.h"
#include "core/runtime/process_limits.h"
#include "core/runtime/process_signals.h"
#include "core/runtime/worker_pool.h"
#include "jujuberock/command.h"
#include "platform/codec.h"
#include "platform/decoder.h"
#include "platform/endpoint_control.h"
#include "platform/store_client.h"

DECLARE_string(config);
DEFINE_int32(
    before_ms,
    3000,
    "explain: time before the request from which the state assumed by its "
    "hosts is shown");

namespace jujuberock {

namespace {

common::UnixTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

std::optional<gateway::Settings> ReadSettings(const std::string& path,
                                              const CommandLine& line,
                                              std::ostream& problems_out) {
  common::SettingsReader reader;
  if (!path.empty())
    reader.ReadFile(path);
  for (const std::string& assignment : line.overrides)
    reader.ReadOverride(assignment);
  gateway::Settings settings;
  const auto problems =
      common::ApplySettings(gateway::SettingTable(), reader, settings);
  for (const common::SettingsProblem& problem : problems)
    problems_out << problem.ToString() << "\n";
  if (!problems.empty())
    return std::nullopt;
  return settings;
}

void Reload(gateway::Gateway& gateway_host,
            runtime::WorkerPool& workers,
            const CommandLine& line) {
  const auto new_settings = ReadSettings(FLAGS_config, line, std::cerr);
  if (!new_settings) {
    LOG(ERROR) << "settings not reloaded: the settings file has errors";
    return;
  }
  workers.Run([&] { gateway_host.Reload(*new_settings); });
}

}  // namespace

int RunGateway(const CommandLine& line) {
  runtime::ProcessSignals signals;
  const auto settings = ReadSettings(FLAGS_config, line, std::cerr);
  if (!settings)
    return kExitFailed;
  try {
    // Without this, a write to a connection that the caller has closed would
    // terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    runtime::ReturnFreedMemory();
    common::MetricRegistry counters;
    events::StdoutSink output;
    events::EventLog log(output, settings->host_name, WallNow, counters);
    log.SetLevel(*events::kLevelNames.ValueOf(settings->log_level));
    runtime::WorkerPool workers(1);
    runtime::HttpClient http(workers, {});
    platform_adapter::StoreClient store(
        http, *runtime::Address::Parse(settings->platform_address), counters);
    const platform_adapter::PlatformDecoder decoder;
    const platform_adapter::PlatformCodec codec;
    platform_adapter::PlatformEndpointControl control(http);
    gateway::Gateway gateway_host(*settings, workers,
                                  {store, decoder, codec, control}, log,
                                  counters, WallNow);
    while (signals.Next() != runtime::ProcessSignal::kStop)
      Reload(gateway_host, workers, line);
    gateway_host.Stop();
    // Exits without destructors, since fibers that still run would delay the
    // exit. Signals keep being received until then.
    std::_Exit(kExitOk);
  } catch (const common::Error& error) {
    std::cerr << "jujuberock gateway: " << error.what() << "\n";
    return kExitFailed;
  }
}

int RunCheckGateway(const CommandLine& line) {
  if (line.arguments.size() != 1) {
    std::cerr << "usage: jujuberock check-gateway FILE\n";
    return kExitUsage;
  }
  if (!ReadSettings(line.arguments[0], line, std::cerr))
    return kExitFailed;
  std::cout << line.arguments[0] << ": the settings are valid\n";
  return kExitOk;
}

int RunExplain(const CommandLine& line) {
  if (line.arguments.size() < 2) {
    std::cerr << "usage: jujuberock explain REQUEST FILE...\n";
    return kExitUsage;
  }
  std::vector<events::LoggedLine> log_lines;
  size_t skipped = 0;
  for (size_t i = 1; i < line.arguments.size(); ++i) {
    std::ifstream in(line.arguments[i]);
    if (!in) {
      std::cerr << line.arguments[i] << ": cannot read the file\n";
      return kExitFailed;
    }
    for (events::LoggedLine& log_line : events::ReadLogLines(in, skipped))
      log_lines.push_back(std::move(log_line));
  }
  const std::string timeline =
      events::ExplainRequest(log_lines, line.arguments[0], FLAGS_before_ms);
  if (skipped > 0)
    std::cerr << skipped << " lines skipped: not log lines\n";
  if (timeline.empty()) {
    std::cerr << "no log line mentions the request " << line.arguments[0]
              << "\n";
    return kExitFailed;
  }
  std::cout << timeline;
  return kExitOk;
}

int RunEvents(const CommandLine&) {
  std::cout << events::RenderEventsPage();
  return kExitOk;
}

}  // namespace jujuberock
