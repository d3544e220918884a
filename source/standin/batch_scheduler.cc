#include "standin/batch_scheduler.h"

#include <algorithm>
#include <utility>

namespace jujuberock::standin {

void BatchScheduler::Submit(BatchItem item) {
  const auto position = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [&](const BatchItem& other) { return other.priority < item.priority; });
  this->waiting.insert(position, std::move(item));
}

bool BatchScheduler::Cancel(const std::string& id) {
  const size_t removed_waiting = std::erase_if(
      this->waiting, [&](const BatchItem& item) { return item.id == id; });
  const size_t removed_running = std::erase_if(
      this->running_items,
      [&](const RunningItem& running) { return running.item.id == id; });
  return removed_waiting + removed_running > 0;
}

void BatchScheduler::Admit() {
  while (!this->waiting.empty() &&
         this->running_items.size() < this->options.slots) {
    this->running_items.push_back({std::move(this->waiting.front())});
    this->waiting.pop_front();
  }
}

double BatchScheduler::DecodeMilliseconds(uint64_t decoding_requests) const {
  if (decoding_requests == 0)
    return 0;
  return this->options.decode_ms +
         this->options.decode_ms_per_request *
             static_cast<double>(decoding_requests - 1);
}

std::optional<common::Duration> BatchScheduler::BeginStep() {
  this->Admit();
  if (this->running_items.empty())
    return std::nullopt;
  uint64_t budget = this->options.prefill_chunk_tokens;
  uint64_t decoding_requests = 0;
  for (RunningItem& running : this->running_items) {
    const uint64_t chunk = std::min(budget, running.item.prefill_tokens);
    running.item.prefill_tokens -= chunk;
    budget -= chunk;
    running.decodes_in_step = running.item.prefill_tokens == 0;
    decoding_requests += running.decodes_in_step ? 1 : 0;
  }
  const auto prefill =
      static_cast<double>(this->options.prefill_chunk_tokens - budget);
  return common::FromSeconds(prefill / this->options.prefill_tokens_per_s +
                             this->DecodeMilliseconds(decoding_requests) / 1e3);
}

std::vector<BatchProgress> BatchScheduler::FinishStep() {
  std::vector<BatchProgress> progress;
  for (auto it = this->running_items.begin();
       it != this->running_items.end();) {
    if (!it->decodes_in_step) {
      ++it;
      continue;
    }
    const bool finished = ++it->tokens >= it->item.max_tokens;
    progress.push_back({it->item.id, finished});
    it = finished ? this->running_items.erase(it) : std::next(it);
  }
  return progress;
}

uint64_t BatchScheduler::queued_tokens() const {
  uint64_t tokens = 0;
  for (const BatchItem& item : this->waiting)
    tokens += item.prefill_tokens;
  for (const RunningItem& running : this->running_items)
    tokens += running.item.prefill_tokens;
  return tokens;
}

double BatchScheduler::DecodeStepMilliseconds() const {
  return this->DecodeMilliseconds(
      std::max<uint64_t>(1, this->running_items.size()));
}

}  // namespace jujuberock::standin
