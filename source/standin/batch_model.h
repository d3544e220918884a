#ifndef STANDIN_BATCH_MODEL_H_
#define STANDIN_BATCH_MODEL_H_

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
  // Prompt tokens computed in one step beside the decoding requests.
  uint64_t prefill_chunk_tokens = 2000;
  // A step takes decode_ms for one decoding request, and decode_ms_per_request
  // more for each further one.
  double decode_ms = 5;
  double decode_ms_per_request = 0.2;
};

struct BatchItem {
  std::string id;
  uint64_t prefill_tokens = 0;
  uint64_t max_tokens = 1;
  // Higher goes first; equal priorities go in the order of arrival.
  int64_t priority = 0;
};

struct BatchProgress {
  std::string id;
  bool finished = false;
};

// Continuous batching as a sequence of steps. A step computes one token of
// each request whose prompt is ready, and a chunk of waiting prompts.
class BatchModel {
 public:
  explicit BatchModel(BatchOptions options) : options(options) {}

  void Submit(BatchItem item);
  // Returns false when no such request waits or runs.
  bool Cancel(const std::string& id);

  // Starts a step and returns its length; nothing when there is no work.
  std::optional<common::Duration> BeginStep();
  // Ends the step: one entry for each token computed in it.
  std::vector<BatchProgress> FinishStep();

  const BatchOptions& settings() const { return this->options; }
  uint64_t running() const { return this->active.size(); }
  uint64_t waiting_count() const { return this->waiting.size(); }
  // Prompt tokens not yet computed, waiting or running.
  uint64_t queued_tokens() const;
  // Length of a step of the present batch without prompts, in milliseconds.
  double StepMilliseconds() const;

 private:
  struct Active {
    BatchItem item;
    uint64_t tokens = 0;
    bool decodes_in_step = false;
  };

  void Admit();
  double DecodeMilliseconds(uint64_t decoding) const;

  BatchOptions options;
  std::list<BatchItem> waiting;
  std::list<Active> active;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_BATCH_MODEL_H_
