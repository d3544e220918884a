#include "core/serve/settings.h"

#include "core/runtime/http_types.h"
#include "core/table/parse.h"

namespace jujuberock::serve {

namespace {

// Shorter keys could be found by brute force.
constexpr size_t kMinKeyChars = 16;

std::optional<std::string> CheckAddress(std::string_view text) {
  if (runtime::Address::Parse(text))
    return std::nullopt;
  return "must have the form ip:port";
}

std::optional<std::string> CheckName(std::string_view text) {
  if (table::IsObjectName(text))
    return std::nullopt;
  return "must match [a-z0-9][a-z0-9.-]{0,62}";
}

std::optional<std::string> CheckKey(std::string_view text) {
  if (text.size() >= kMinKeyChars)
    return std::nullopt;
  return "must have at least " + std::to_string(kMinKeyChars) + " characters";
}

std::optional<std::string> CheckOptionalKey(std::string_view text) {
  return text.empty() ? std::nullopt : CheckKey(text);
}

}  // namespace

const std::vector<common::SettingDeclaration<Settings>>& SettingTable() {
  using S = Settings;
  static const std::vector<common::SettingDeclaration<Settings>> kTable = {
      {"host_name", &S::host_name, "", 0, 0, "Name of this host", true,
       CheckName},
      {"zone", &S::zone, "", 0, 0, "Availability zone of this host", true,
       CheckName},
      {"caller_address", &S::caller_address, "", 0, 0,
       "Listen address for callers", false, CheckAddress},
      {"operator_address", &S::operator_address, "", 0, 0,
       "Listen address for operators", false, CheckAddress},
      {"host_address", &S::host_address, "", 0, 0,
       "Listen address for other hosts", false, CheckAddress},
      {"platform_address", &S::platform_address, "", 0, 0,
       "Address of the platform's object API", true, CheckAddress},
      {"deployment_key", &S::deployment_key, "", 0, 0,
       "Secret shared by the hosts of the deployment", true, CheckKey},
      {"operator_key", &S::operator_key, "", 0, 0,
       "Bearer key of operators; empty accepts every caller", false,
       CheckOptionalKey},
      {"worker_threads", &S::worker_threads, "threads", 1, 256,
       "Threads that serve requests"},
      {"utc_offset_minutes", &S::utc_offset_minutes, "min", -14 * 60, 14 * 60,
       "Time zone of the hour bands"},
      {"header_limit_bytes", &S::header_limit_bytes, "bytes", 1024, 1 << 20,
       "Largest header of a caller's request"},
      {"body_limit_bytes", &S::body_limit_bytes, "bytes", 1024, 1 << 30,
       "Largest body of a caller's request"},
      {"max_tokens_limit", &S::max_tokens_limit, "tokens", 1, 1 << 20,
       "Largest max_tokens of a request"},
      {"header_timeout_ms", &S::header_timeout, "ms", 10, 600'000,
       "Time for a request's header to arrive"},
      {"body_timeout_ms", &S::body_timeout, "ms", 10, 600'000,
       "Time for a request's body to arrive"},
      {"body_progress_timeout_ms", &S::body_progress_timeout, "ms", 10, 600'000,
       "Time for the next bytes of a request's body to arrive"},
      {"memory_limit_mb", &S::memory_limit_mb, "MB", 0, 1 << 20,
       "Memory of this process, a part of which bounds what it holds for "
       "callers; 0: unknown, 160 MB are assumed"},
      {"idle_timeout_ms", &S::idle_timeout, "ms", 10, 3'600'000,
       "Time that a caller's connection may stay idle"},
      {"write_timeout_ms", &S::write_timeout, "ms", 10, 600'000,
       "Time for a caller to read what was written"},
      {"token_idle_limit_ms", &S::token_idle_limit, "ms", 10, 60'000,
       "Time without data before an engine connection is replaced"},
      {"probe_timeout_ms", &S::probe_timeout, "ms", 10, 60'000,
       "Time for an endpoint to answer on a new connection"},
      {"plain_call_limit_ms", &S::plain_call_limit, "ms", 10, 600'000,
       "Longest call of a plain service"},
      {"resume_grace_ms", &S::resume_grace, "ms", 0, 600'000,
       "Time for a caller to resume a stream before it is canceled"},
      {"plain_slots", &S::plain_slots, "requests", 1, 100'000,
       "Concurrent requests per endpoint of a plain service"},
      {"capacity_headroom", &S::capacity_headroom, "", 0.1, 100,
       "This host's share of the engines' slots, relative to an even share"},
      {"journal_shards", &S::journal_shards, "shards", 1, 4096,
       "Shards of the journal; the same on all hosts, fixed by the first "
       "record"},
      {"restore", &S::restore, "", 0, 0,
       "Export blocks to cache stores and restore them from there"},
      {"block_bytes", &S::block_bytes, "bytes", 1, 1LL << 40,
       "Size of one cache block on a store's link"},
      {"index_blocks", &S::index_blocks, "blocks", 1000, 100'000'000,
       "Blocks that the prefix index keeps"},
      {"load_poll_period_ms", &S::load_poll_period, "ms", 10, 60'000,
       "Minimum time between two load reports of an engine of this zone"},
      {"store_poll_period_ms", &S::store_poll_period, "ms", 10, 60'000,
       "Time between two status reports of a cache store"},
      {"relist_period_ms", &S::relist_period, "ms", 100, 3'600'000,
       "Time between two full lists of the platform's objects, besides "
       "watches"},
      {"watch_idle_limit_ms", &S::watch_idle_limit, "ms", 100, 3'600'000,
       "Time without data before a platform watch is reopened"},
      {"polls_per_second", &S::polls_per_second, "polls", 1, 100'000,
       "Load polls per second that this host sends to engines of other zones"},
      {"stop_limit_ms", &S::stop_limit, "ms", 0, 86'400'000,
       "Maximum wait for running requests in a planned stop"},
  };
  return kTable;
}

}  // namespace jujuberock::serve
