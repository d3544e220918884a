#ifndef CORE_JOURNAL_OPTIONS_H_
#define CORE_JOURNAL_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::journal {

// Settings of the journal. They must be the same on all hosts of a deployment.
struct Options {
  // Can not change while records are stored: the platform object `layout` (kind
  // `journal`) stores it, and a host with a different value refuses to serve.
  uint32_t shards = 1;
  // Limit for the writes of all shards together, at any load. The target is at
  // most 200 platform writes per second. See docs/decisions/journal.md.
  double writes_per_second = 195;
  // Burst of writes allowed to a shard after an idle period. Without it, the
  // write spacing would also delay calls at low rates.
  uint32_t write_burst = 4;
  // Time that an intent waits to be batched with others into one write.
  common::Duration write_window{0};
  // Maximum time that an outcome waits to be included in a write made for an
  // intent.
  common::Duration outcome_delay = std::chrono::seconds(1);
  // Retry delay after the platform refused a call or was unreachable.
  common::Duration platform_retry = std::chrono::milliseconds(50);
  // Minimum time before a host that lost a shard may take it over again.
  common::Duration takeover_pause = std::chrono::milliseconds(200);
  // Time to wait for an owner's reply before the next host is tried.
  common::Duration reply_timeout = std::chrono::milliseconds(500);
  // Initial delay before a permit is requested again.
  common::Duration permit_retry = std::chrono::milliseconds(20);
  // Delay before unconfirmed outcomes are sent again.
  common::Duration outcome_retry = std::chrono::seconds(3);
  std::chrono::milliseconds retention = std::chrono::hours(24);
  // Maximum time by which an issue time may be ahead of the owner's clock.
  std::chrono::milliseconds future_limit = std::chrono::minutes(5);
  // Calls issued up to this long after a restore of the store was noticed may
  // have run before it, since clocks of callers may be ahead.
  std::chrono::milliseconds restore_margin = std::chrono::seconds(2);
  // A granted call issued longer ago is reported as unknown, not in progress.
  std::chrono::milliseconds in_progress_limit = std::chrono::minutes(10);
  // Finished records are sealed once the head's records exceed this size.
  size_t seal_threshold_bytes = 64 * 1024;
  // Number of sealed segments listed by one index. An index of 64 segments
  // covers about 11,600 records of 360 bytes and takes 130 KB.
  size_t segments_per_index = 64;
  // Answer bodies up to this size are stored.
  size_t max_answer_bytes = 8 * 1024;
  // While the head is larger, new intents are refused and answer bodies are not
  // stored. The platform limits values to 1 MB, and each record of an intent
  // grows when its outcome is added.
  size_t head_limit_bytes = 500 * 1024;
  // No further record is added to a segment above this size.
  size_t segment_limit_bytes = 256 * 1024;
  // Number of segments and indexes that a takeover reads in parallel.
  size_t parallel_reads = 16;
  // Recent calls whose outcome a host keeps in memory, to replay answers
  // without asking the owner.
  size_t max_local_outcomes = 1024;

  // Average interval between writes of one shard at the write limit.
  common::Duration WriteSpacing() const {
    return common::FromSeconds(this->shards / this->writes_per_second);
  }
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_OPTIONS_H_
