#include "core/routing/restore_planner.h"

#include <algorithm>

namespace jujuberock::routing {

void RestorePlanner::Reset(uint32_t prompt_blocks,
                           const std::vector<PrefixIndex::StoredBlock>& stored,
                           const std::vector<Source>& available) {
  this->sources = available;
  this->source_of.assign(prompt_blocks, kNone);
  std::vector<double> finish_seconds;
  for (const Source& source : this->sources)
    finish_seconds.push_back(source.queue_seconds);
  for (size_t i = 0; i < stored.size();) {
    const uint32_t position = stored[i].position;
    uint32_t best = kNone;
    for (; i < stored.size() && stored[i].position == position; ++i) {
      for (uint32_t s = 0; s < this->sources.size(); ++s) {
        if (this->sources[s].store != stored[i].holder)
          continue;
        const double end =
            finish_seconds[s] + this->sources[s].seconds_per_block;
        if (best == kNone ||
            end < finish_seconds[best] + this->sources[best].seconds_per_block)
          best = s;
      }
    }
    if (best == kNone || position >= prompt_blocks)
      continue;
    this->source_of[position] = best;
    finish_seconds[best] += this->sources[best].seconds_per_block;
  }
  this->run_end.assign(prompt_blocks + 1, prompt_blocks);
  for (uint32_t i = prompt_blocks; i-- > 0;) {
    const bool held = this->source_of[i] != kNone;
    this->run_end[i] = held ? this->run_end[i + 1] : i;
  }
  this->blocks_before.assign(this->sources.size(),
                             std::vector<uint32_t>(prompt_blocks + 1, 0));
  for (uint32_t s = 0; s < this->sources.size(); ++s) {
    for (uint32_t i = 0; i < prompt_blocks; ++i)
      this->blocks_before[s][i + 1] =
          this->blocks_before[s][i] + (this->source_of[i] == s ? 1 : 0);
  }
}

RestorePlanner::Plan RestorePlanner::PlanFor(
    uint32_t cached,
    double wait_seconds,
    double compute_seconds_per_block) const {
  const uint32_t run = this->RestorableBlocks(cached);
  if (run == 0)
    return {};
  const auto first_token = [&](const Plan& plan) {
    const double rest = (run - plan.blocks) * compute_seconds_per_block;
    return std::max(wait_seconds, plan.seconds) + rest;
  };
  const Plan all = this->PlanBlocks(cached, run);
  const Plan none;
  if (first_token(all) <= first_token(none))
    return all;
  // The link is slower than prefill: restore only what arrives while the
  // request waits.
  Plan best = none;
  uint32_t low = 0;
  uint32_t high = run;
  while (low < high) {
    const uint32_t middle = (low + high + 1) / 2;
    const Plan plan = this->PlanBlocks(cached, middle);
    if (plan.seconds <= wait_seconds) {
      best = plan;
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return best;
}

uint32_t RestorePlanner::RestorableBlocks(uint32_t position) const {
  return position < this->run_end.size() ? this->run_end[position] - position
                                         : 0;
}

HolderId RestorePlanner::StoreOf(uint32_t position) const {
  return this->sources[this->source_of[position]].store;
}

RestorePlanner::Plan RestorePlanner::PlanBlocks(uint32_t cached,
                                                uint32_t blocks) const {
  Plan plan{blocks, 0, 0};
  for (size_t s = 0; s < this->sources.size(); ++s) {
    const uint32_t count = this->blocks_before[s][cached + blocks] -
                           this->blocks_before[s][cached];
    if (count == 0)
      continue;
    const double transfer = count * this->sources[s].seconds_per_block;
    plan.seconds =
        std::max(plan.seconds, this->sources[s].queue_seconds + transfer);
    plan.link_seconds += transfer;
  }
  return plan;
}

}  // namespace jujuberock::routing
