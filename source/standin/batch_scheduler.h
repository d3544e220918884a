#ifndef STANDIN_BATCH_SCHEDULER_H_
#define STANDIN_BATCH_SCHEDULER_H_

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::standin {

struct BatchOptions {
  uint64_t slots = 8;
  double prefill_tokens_per_s = 40000;
  // Maximum number of prompt tokens that one step prefills in addition to the
  // decoding requests.
  uint64_t prefill_chunk_tokens = 2000;
  // A step takes decode_ms for the first decoding request plus
  // decode_ms_per_request for each additional one.
  double decode_ms = 5;
  double decode_ms_per_request = 0.2;
};

struct BatchItem {
  std::string id;
  uint64_t prefill_tokens = 0;
  uint64_t max_tokens = 1;
  // Higher values start first; equal priorities start in order of arrival.
  int64_t priority = 0;
};

struct BatchProgress {
  std::string id;
  bool finished = false;
};

// Simulates continuous batching with chunked prefill as a sequence of steps. A
// step generates one token for each request whose prompt is prefilled, and
// prefills one chunk of the remaining prompts.
class BatchScheduler {
 public:
  explicit BatchScheduler(BatchOptions options) : options(options) {}

  void Submit(BatchItem item);
  // Returns false if no waiting or running request has this id.
  bool Cancel(const std::string& id);

  // Starts a step and returns its duration, or nullopt if there are no
  // requests.
  std::optional<common::Duration> BeginStep();
  // Ends the step and returns one entry for each generated token.
  std::vector<BatchProgress> FinishStep();

  const BatchOptions& settings() const { return this->options; }
  uint64_t running() const { return this->running_items.size(); }
  uint64_t waiting_count() const { return this->waiting.size(); }
  // Prompt tokens of waiting and running requests that are not yet prefilled.
  uint64_t queued_tokens() const;
  // Duration in milliseconds of a decode-only step with the current batch.
  double DecodeStepMilliseconds() const;

 private:
  struct RunningItem {
    BatchItem item;
    uint64_t tokens = 0;
    bool decodes_in_step = false;
  };

  void Admit();
  double DecodeMilliseconds(uint64_t decoding_requests) const;

  BatchOptions options;
  std::list<BatchItem> waiting;
  std::list<RunningItem> running_items;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_BATCH_SCHEDULER_H_
