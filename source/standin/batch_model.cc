#include "standin/batch_model.h"

#include <algorithm>
#include <utility>

namespace jujuberock::standin {

void BatchModel::Submit(BatchItem item) {
  const auto behind = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [&](const BatchItem& other) { return other.priority < item.priority; });
  this->waiting.insert(behind, std::move(item));
}

bool BatchModel::Cancel(const std::string& id) {
  const size_t waited = std::erase_if(
      this->waiting, [&](const BatchItem& item) { return item.id == id; });
  const size_t ran = std::erase_if(this->active, [&](const Active& running) {
    return running.item.id == id;
  });
  return waited + ran > 0;
}

void BatchModel::Admit() {
  while (!this->waiting.empty() && this->active.size() < this->options.slots) {
    this->active.push_back({std::move(this->waiting.front())});
    this->waiting.pop_front();
  }
}

double BatchModel::DecodeMilliseconds(uint64_t decoding) const {
  if (decoding == 0)
    return 0;
  return this->options.decode_ms + this->options.decode_ms_per_request *
                                       static_cast<double>(decoding - 1);
}

std::optional<common::Duration> BatchModel::BeginStep() {
  this->Admit();
  if (this->active.empty())
    return std::nullopt;
  uint64_t budget = this->options.prefill_chunk_tokens;
  uint64_t decoding = 0;
  for (Active& running : this->active) {
    const uint64_t chunk = std::min(budget, running.item.prefill_tokens);
    running.item.prefill_tokens -= chunk;
    budget -= chunk;
    running.decodes_in_step = running.item.prefill_tokens == 0;
    decoding += running.decodes_in_step ? 1 : 0;
  }
  const auto prefill =
      static_cast<double>(this->options.prefill_chunk_tokens - budget);
  return common::FromSeconds(prefill / this->options.prefill_tokens_per_s +
                             this->DecodeMilliseconds(decoding) / 1e3);
}

std::vector<BatchProgress> BatchModel::FinishStep() {
  std::vector<BatchProgress> progress;
  for (auto it = this->active.begin(); it != this->active.end();) {
    if (!it->decodes_in_step) {
      ++it;
      continue;
    }
    const bool finished = ++it->tokens >= it->item.max_tokens;
    progress.push_back({it->item.id, finished});
    it = finished ? this->active.erase(it) : std::next(it);
  }
  return progress;
}

uint64_t BatchModel::queued_tokens() const {
  uint64_t tokens = 0;
  for (const BatchItem& item : this->waiting)
    tokens += item.prefill_tokens;
  for (const Active& running : this->active)
    tokens += running.item.prefill_tokens;
  return tokens;
}

double BatchModel::StepMilliseconds() const {
  return this->DecodeMilliseconds(std::max<uint64_t>(1, this->active.size()));
}

}  // namespace jujuberock::standin
