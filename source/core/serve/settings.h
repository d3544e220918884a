#ifndef CORE_SERVE_SETTINGS_H_
#define CORE_SERVE_SETTINGS_H_

#include <string>
#include <vector>

#include "core/common/settings.h"
#include "core/common/time.h"

namespace jujuberock::serve {

// Settings of one host, with their defaults. The other hosts are discovered
// through the platform. SettingTable() gives units and ranges.
struct Settings {
  std::string host_name;
  std::string zone;
  std::string caller_address = "127.0.0.1:8080";
  std::string operator_address = "127.0.0.1:8081";
  std::string host_address = "127.0.0.1:8082";
  std::string platform_address;
  std::string deployment_key;
  // Empty: the operator address accepts every caller.
  std::string operator_key;
  int64_t worker_threads = 2;
  int64_t utc_offset_minutes = 0;

  // Limits of the caller API.
  int64_t header_limit_bytes = 16 * 1024;
  int64_t body_limit_bytes = 8 * 1024 * 1024;
  int64_t max_tokens_limit = 32768;
  common::Duration header_timeout = std::chrono::seconds(10);
  common::Duration body_timeout = std::chrono::seconds(30);
  common::Duration body_progress_timeout = std::chrono::seconds(10);
  // 0: unknown.
  int64_t memory_limit_mb = 0;
  common::Duration idle_timeout = std::chrono::seconds(60);
  common::Duration write_timeout = std::chrono::seconds(30);

  // Engines and plain services.
  common::Duration token_idle_limit = std::chrono::seconds(1);
  common::Duration probe_timeout = std::chrono::milliseconds(500);
  common::Duration plain_call_limit = std::chrono::seconds(30);
  common::Duration resume_grace = std::chrono::seconds(3);
  int64_t plain_slots = 64;
  double capacity_headroom = 1.25;

  // Each shard has one owner. More shards spread the memory over hosts but cost
  // more platform writes.
  int64_t journal_shards = 1;

  // Prefix index and restoring of cached blocks.
  bool restore = true;
  int64_t block_bytes = 64 << 20;
  // 104 bytes per block; the target for all control state of a host is 128 MB.
  int64_t index_blocks = 500'000;

  // Periodic work.
  common::Duration load_poll_period = std::chrono::milliseconds(250);
  common::Duration store_poll_period = std::chrono::seconds(1);
  common::Duration relist_period = std::chrono::minutes(30);
  common::Duration watch_idle_limit = std::chrono::milliseconds(1500);
  int64_t polls_per_second = 1;

  common::Duration stop_limit = std::chrono::seconds(120);
};

const std::vector<common::SettingDeclaration<Settings>>& SettingTable();

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_SETTINGS_H_
