#include "core/load/simulated_engine.h"

#include <algorithm>

namespace jujuberock::load {

using routing::kBlockTokens;

SimulatedEngine::SimulatedEngine(std::string name,
                                 EngineParameters parameters,
                                 common::Duration clock_offset,
                                 std::map<std::string, SimulatedStore*> stores,
                                 PrefillCounts& counts,
                                 EventQueue& queue)
    : cache(parameters.cache_blocks, parameters.event_log),
      engine_name(std::move(name)),
      parameters(parameters),
      clock_offset(clock_offset),
      stores(std::move(stores)),
      counts(counts),
      queue(queue) {
  this->UpdateReport();
  this->queue.Every(this->parameters.load_lag, this->parameters.load_lag,
                    [this] { this->UpdateReport(); });
}

void SimulatedEngine::Submit(EngineRequest request) {
  auto job = std::make_shared<Job>();
  job->request = std::move(request);
  const EngineRequest& r = job->request;
  const uint64_t cached = this->cache.LeadingBlocks(r.keys) * kBlockTokens;
  const uint64_t reused = cached + r.restores.size() * kBlockTokens;
  job->estimated_tokens =
      r.prompt_tokens > reused ? r.prompt_tokens - reused : 0;
  this->jobs.push_back(job);
  this->waiting.push_back(job);
  for (const routing::Restore& restore : r.restores) {
    auto store = this->stores.find(restore.store);
    if (store == this->stores.end() || this->cache.Contains(restore.key))
      continue;
    ++job->pending_restores;
    store->second->Read(restore.key, [this, job, key = restore.key](bool ok) {
      if (ok)
        job->restored.insert(key);
      if (--job->pending_restores == 0 && job->has_slot && !job->ended)
        this->ReadyForPrefill(job);
    });
  }
  this->AssignSlots();
}

void SimulatedEngine::ExportBlocks(const std::vector<routing::BlockKey>& keys,
                                   SimulatedStore& store) {
  if (this->is_down)
    return;
  for (const routing::BlockKey& key : keys) {
    if (this->cache.Contains(key))
      store.Write(key);
  }
}

void SimulatedEngine::Crash() {
  this->is_down = true;
  std::vector<JobPointer> failed;
  failed.swap(this->jobs);
  this->waiting.clear();
  this->ready.clear();
  this->prefilling.reset();
  this->running = 0;
  this->cache.Clear();
  this->UpdateReport();
  for (const JobPointer& job : failed) {
    job->ended = true;
    job->request.on_done(false);
  }
}

BlockCache::EventRange SimulatedEngine::EventsSince(uint64_t since) const {
  return this->cache.EventsSince(
      since, this->queue.now() - this->parameters.event_lag);
}

void SimulatedEngine::AssignSlots() {
  while (this->running < this->parameters.slots && !this->waiting.empty()) {
    const JobPointer job = this->waiting.front();
    this->waiting.pop_front();
    job->has_slot = true;
    ++this->running;
    if (job->pending_restores == 0)
      this->ReadyForPrefill(job);
  }
}

void SimulatedEngine::ReadyForPrefill(const JobPointer& job) {
  this->ready.push_back(job);
  if (!this->prefilling)
    this->StartPrefill();
}

void SimulatedEngine::StartPrefill() {
  if (this->ready.empty())
    return;
  const JobPointer job = this->ready.front();
  this->ready.pop_front();
  this->prefilling = job;
  const auto& keys = job->request.keys;
  const uint32_t cached = this->cache.LeadingBlocks(keys);
  uint32_t reused = cached;
  while (reused < keys.size() && (job->restored.contains(keys[reused]) ||
                                  this->cache.Contains(keys[reused]))) {
    ++reused;
  }
  this->CountPrefill(*job, cached, reused - cached);
  const uint64_t tokens =
      job->request.prompt_tokens - uint64_t{reused} * kBlockTokens;
  const auto duration = common::FromSeconds(
      static_cast<double>(tokens) / this->parameters.prefill_tokens_per_s);
  this->prefill_end = this->queue.now() + duration;
  this->queue.At(this->prefill_end, [this, job, cached, reused] {
    if (!job->ended)
      this->FinishPrefill(job, cached * kBlockTokens,
                          (reused - cached) * kBlockTokens);
  });
}

void SimulatedEngine::FinishPrefill(const JobPointer& job,
                                    uint64_t cached,
                                    uint64_t restored) {
  this->prefilling.reset();
  this->cache.Insert(job->request.keys, this->queue.now());
  job->first_token = true;
  job->request.on_first_token(cached, restored);
  const double token_ms =
      this->parameters.decode_ms *
      (1 + this->parameters.batch_slowdown * (this->running - 1));
  const double seconds =
      token_ms / 1000 * static_cast<double>(job->request.output_tokens);
  this->queue.After(common::FromSeconds(seconds), [this, job] {
    if (!job->ended)
      this->Finish(job);
  });
  this->StartPrefill();
}

void SimulatedEngine::Finish(const JobPointer& job) {
  job->ended = true;
  std::erase(this->jobs, job);
  --this->running;
  this->AssignSlots();
  job->request.on_done(true);
}

void SimulatedEngine::CountPrefill(const Job& job,
                                   uint32_t cached,
                                   uint32_t restored) {
  const auto& keys = job.request.keys;
  for (uint32_t i = 0; i < keys.size(); ++i) {
    const bool returning = !this->counts.prefilled.insert(keys[i]).second;
    if (!returning || !this->counts.enabled)
      continue;
    ++this->counts.returning_blocks;
    if (i >= cached + restored)
      ++this->counts.recomputed_blocks;
    else if (i >= cached)
      ++this->counts.restored_blocks;
  }
}

void SimulatedEngine::UpdateReport() {
  routing::LoadReport report;
  report.as_of = this->queue.now().time_since_epoch() + this->clock_offset;
  report.running = this->running;
  report.slots = this->parameters.slots;
  report.prefill_tokens_per_s = this->parameters.prefill_tokens_per_s;
  report.decode_ms = this->parameters.decode_ms;
  report.kv_capacity_blocks = this->cache.capacity();
  report.kv_used_blocks = this->cache.size();
  report.version = "v1";
  report.leaving = this->leaving;
  for (const JobPointer& job : this->jobs) {
    if (!job->first_token && job != this->prefilling)
      report.queued_tokens += job->estimated_tokens;
  }
  if (this->prefilling) {
    const double left =
        common::ToSeconds(this->prefill_end - this->queue.now());
    report.queued_tokens += static_cast<uint64_t>(
        std::max(0.0, left) * this->parameters.prefill_tokens_per_s);
  }
  this->visible_report = report;
}

}  // namespace jujuberock::load
