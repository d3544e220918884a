#ifndef CORE_JOURNAL_OPTIONS_H_
#define CORE_JOURNAL_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::journal {

// Settings of the journal. The same on all hosts of a deployment.
struct Options {
  // Fixed for the life of the stored records: the platform object
  // `layout` (kind `journal`) holds it and a host with another value refuses to
  // serve.
  uint32_t shards = 1;
  // Limit for the writes of all shards together, whatever the load. The goal is
  // 200 platform writes a second. See docs/decisions/journal.md.
  double writes_per_second = 195;
  // Writes that a shard may make at once after a quiet period. Without it, the
  // spacing delays calls at low rates too.
  uint32_t write_burst = 4;
  // An intent waits this long for others to share its write.
  common::Duration write_window{0};
  // An outcome waits this long for a write to ride on.
  common::Duration outcome_delay = std::chrono::seconds(1);
  // Pause after the platform refused a call or could not be reached.
  common::Duration platform_retry = std::chrono::milliseconds(50);
  // A host that lost a shard does not take it back before this has passed.
  common::Duration takeover_pause = std::chrono::milliseconds(200);
  // Longest wait for one owner's reply before the next host is asked.
  common::Duration ask_timeout = std::chrono::milliseconds(500);
  // Pause before an owner is asked again.
  common::Duration ask_retry = std::chrono::milliseconds(20);
  // Pause before unconfirmed outcomes are sent again.
  common::Duration outcome_retry = std::chrono::seconds(3);
  std::chrono::milliseconds retention = std::chrono::hours(24);
  // Issue times may be this far ahead of the owner's clock.
  std::chrono::milliseconds future_limit = std::chrono::minutes(5);
  // A granted call issued longer ago is told as unknown instead of in progress.
  std::chrono::milliseconds in_progress_limit = std::chrono::minutes(10);
  // Head segments larger than this are sealed.
  size_t head_bytes = 64 * 1024;
  // So many sealed segments are listed by one index. An index of 64 holds
  // about 11,600 records of 360 bytes in 130 KB.
  size_t index_segments = 64;
  // Bodies of answers up to this size are kept.
  size_t answer_bytes = 8 * 1024;
  // While the head is larger, new intents are refused and bodies of answers
  // are not kept. The platform holds values up to 1 MB, and every intent grows
  // by its outcome.
  size_t head_limit_bytes = 500 * 1024;
  // A segment takes no further record beyond this.
  size_t segment_limit_bytes = 256 * 1024;
  // Segments that are read at the same time by a takeover.
  size_t parallel_reads = 16;
  // Answers that a host keeps to replay what itself forwarded.
  size_t host_answers = 1024;

  // Mean time between two writes of one shard under load.
  common::Duration WriteSpacing() const {
    return common::FromSeconds(this->shards / this->writes_per_second);
  }
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_OPTIONS_H_
