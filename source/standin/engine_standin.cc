#include "standin/engine_standin.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/runtime/sleep.h"
#include "standin/clock.h"
#include "standin/completion_text.h"
#include "standin/field_writer.h"

namespace jujuberock::standin {

using common::Error;
using common::ResultCode;
using nlohmann::json;
using runtime::HttpRequest;
using runtime::HttpResponse;
using runtime::ResponseWriter;

namespace {

constexpr int kCrashExitStatus = 70;
constexpr common::Duration kIdlePollInterval = std::chrono::milliseconds(20);

template <typename Value>
Value RequiredField(const json& body, const char* field) {
  try {
    return body.at(field).get<Value>();
  } catch (const json::exception& error) {
    throw Error(ResultCode::kMalformedRequest, error.what());
  }
}

bool HeaderIs(const HttpResponse& response,
              std::string_view name,
              std::string_view value) {
  return response.headers.Find(name) == value;
}

std::string FormatServerSentEvent(const json& event) {
  return "data: " + event.dump() + "\n\n";
}

// Default block key for requests without `block_keys`: a hash chain over the
// tag and the prompt text.
std::string ChainedBlockKey(const std::string& parent_key,
                            const std::string& digest) {
  return common::Hash128Hex(parent_key + "/" + digest);
}

bool PathMatches(const std::vector<std::string>& pattern,
                 const std::vector<std::string>& path) {
  return std::equal(
      pattern.begin(), pattern.end(), path.begin(), path.end(),
      [](const std::string& pattern_segment, const std::string& segment) {
        return pattern_segment == "*" || pattern_segment == segment;
      });
}

}  // namespace

EngineStandin::EngineStandin(EngineOptions options, runtime::HttpClient& client)
    : options(std::move(options)),
      client(client),
      scheduler(this->options.batch),
      cache(this->options.capacity_blocks, this->options.events_kept),
      version(this->options.version) {
  this->load_report = this->SampleLoad();
}

EngineStandin::~EngineStandin() {
  this->stopping = true;
  while (this->background_fibers > 0) {
    if (runtime::WorkerPool::CurrentWorker())
      runtime::SleepFor(kIdlePollInterval);
    else
      std::this_thread::sleep_for(kIdlePollInterval);
  }
}

void EngineStandin::SpawnBackground(std::function<void()> body) {
  ++this->background_fibers;
  runtime::SpawnLocal([this, body = std::move(body)] {
    body();
    --this->background_fibers;
  });
}

void EngineStandin::Start() {
  this->SpawnBackground([this] { this->RunBatchLoop(); });
  this->SpawnBackground([this] { this->RunLoadReporter(); });
}

void EngineStandin::RunBatchLoop() {
  while (!this->stopping) {
    const std::optional<common::Duration> step = this->scheduler.BeginStep();
    if (!step) {
      this->work_signal.WaitFor(kIdlePollInterval);
      continue;
    }
    runtime::SleepFor(*step);
    for (const BatchProgress& progress : this->scheduler.FinishStep())
      this->ApplyProgress(progress);
  }
}

void EngineStandin::RunLoadReporter() {
  while (!this->stopping) {
    runtime::SleepFor(this->options.load_lag);
    this->load_report = this->SampleLoad();
    this->PurgeFinishedRequests();
  }
}

const std::vector<EngineStandin::RouteEntry>& EngineStandin::Routes() {
  static const std::vector<RouteEntry> kRoutes = {
      {"POST", {"v1", "generate"}, &EngineStandin::Generate},
      {"GET", {"v1", "requests", "*"}, &EngineStandin::Resume},
      {"DELETE", {"v1", "requests", "*"}, &EngineStandin::Cancel},
      {"POST", {"kv", "export"}, &EngineStandin::Export},
      {"GET", {"kv", "events"}, &EngineStandin::Events},
      {"GET", {"load"}, &EngineStandin::ReportLoad},
      {"POST", {"orders"}, &EngineStandin::ApplyOrder},
      {"GET", {"orders"}, &EngineStandin::ReportOrderState},
      {"GET", {"control", "counts"}, &EngineStandin::ReportCounts},
      {"POST", {"control", "faults"}, &EngineStandin::SetFaults},
  };
  return kRoutes;
}

void EngineStandin::Handle(const HttpRequest& request, ResponseWriter& writer) {
  const Target target = ParseTarget(request.target);
  const bool is_control =
      !target.segments.empty() && target.segments[0] == "control";
  if (!is_control)
    this->connection_stall.WaitIfStalled();
  FieldWriter naming_writer = NameRequest(request, writer);
  for (const RouteEntry& entry : Routes()) {
    if (request.method == entry.method &&
        PathMatches(entry.path, target.segments))
      return (this->*entry.route)(request, target, naming_writer);
  }
  SendJson(writer, 404, json::object());
}

void EngineStandin::Generate(const HttpRequest& request,
                             const Target&,
                             ResponseWriter& writer) {
  const json body = ParseBody(request);
  const auto prompt = RequiredField<std::string>(body, "prompt");
  if (this->leaving ||
      this->scheduler.waiting_count() + this->resolving_requests >=
          this->options.queue_limit) {
    ++this->counts.refused;
    return SendJson(writer, 503, {{"ran", false}});
  }
  if (RequiredField<std::string>(body, "model") != this->options.model ||
      RequiredField<std::string>(body, "version") != this->version) {
    ++this->counts.wrong_version;
    return SendJson(writer, 409, {{"version", this->version}});
  }
  const std::string& marker = this->options.crash_marker;
  if (!marker.empty() && prompt.find(marker) != std::string::npos)
    std::_Exit(kCrashExitStatus);

  const RequestStatePtr state = this->Accept(body);
  StoreByKey restores;
  for (const json& item : body.value("restore", json::array()))
    restores[RequiredField<std::string>(item, "key")] =
        RequiredField<std::string>(item, "store");
  ++this->resolving_requests;
  this->ResolveBlocks(*state, prompt, restores);
  --this->resolving_requests;
  if (state->finish_reason.empty()) {
    const uint64_t reused_tokens =
        state->cached_tokens + state->restored_tokens;
    this->scheduler.Submit({state->id, state->prompt_tokens - reused_tokens,
                            RequiredField<uint64_t>(body, "max_tokens"),
                            body.value("priority", int64_t{0})});
    this->work_signal.NotifyAll();
  }
  this->StreamEvents(state, 0, writer);
}

EngineStandin::RequestStatePtr EngineStandin::Accept(const json& body) {
  const auto id = RequiredField<std::string>(body, "request_id");
  if (RequiredField<uint64_t>(body, "max_tokens") == 0)
    throw Error(ResultCode::kMalformedRequest, "max_tokens must be at least 1");
  if (this->request_states.contains(id)) {
    ++this->counts.duplicate_ids;
    throw Error(ResultCode::kMalformedRequest, "duplicate request_id");
  }
  auto state = std::make_shared<RequestState>();
  state->id = id;
  state->tag = {RequiredField<std::string>(body, "team"), this->version};
  const auto prompt = RequiredField<std::string>(body, "prompt");
  state->prompt_tokens = (prompt.size() + kTokenBytes - 1) / kTokenBytes;
  std::vector<std::string> keys =
      body.value("block_keys", std::vector<std::string>());
  std::string parent_key = state->tag.team + "/" + this->options.model + "/" +
                           body.value("adapter", "") + "/" + this->version;
  for (const std::string& digest : BlockDigests(prompt)) {
    const size_t index = state->blocks.size();
    parent_key = ChainedBlockKey(parent_key, digest);
    const std::string key = index < keys.size() ? keys[index] : parent_key;
    state->blocks.push_back({key, digest, false});
  }
  this->request_states[id] = state;
  ++this->counts.requests;
  this->counts.prompt_tokens += state->prompt_tokens;
  return state;
}

void EngineStandin::ResolveBlocks(RequestState& state,
                                  const std::string& prompt,
                                  const StoreByKey& restores) {
  for (Block& block : state.blocks) {
    if (this->UseCachedBlock(state, block)) {
      state.cached_tokens += kBlockTokens;
      continue;
    }
    const auto restore = restores.find(block.key);
    if (restore != restores.end() &&
        this->RestoreBlock(state, block, restore->second)) {
      state.restored_tokens += kBlockTokens;
      continue;
    }
    block.recomputed = true;
  }
  this->counts.cached_tokens += state.cached_tokens;
  this->counts.restored_tokens += state.restored_tokens;
  std::vector<std::string> digests;
  for (const Block& block : state.blocks)
    digests.push_back(block.digest);
  const std::string_view rest =
      std::string_view(prompt).substr(digests.size() * kBlockBytes);
  state.seed = CompletionSeed(state.tag.version, digests, rest);
}

// The completion is derived from the digest of the cached block, not from the
// prompt, as a real engine attends to the KV data in its cache.
bool EngineStandin::UseCachedBlock(RequestState& state, Block& block) {
  const CachedBlock* cached = this->cache.Touch(block.key);
  if (!cached)
    return false;
  if (cached->tag != state.tag) {
    ++this->counts.foreign_blocks;
    return false;
  }
  block.digest = cached->digest;
  return true;
}

std::string EngineStandin::SerializeBlock(const std::string& key,
                                          const std::string& digest) const {
  std::string body = key + "\n" + digest + "\n";
  while (body.size() < this->options.kv_bytes_per_block)
    body += digest;
  body.resize(std::max<size_t>(this->options.kv_bytes_per_block,
                               key.size() + digest.size() + 2));
  return body;
}

bool EngineStandin::RestoreBlock(RequestState& state,
                                 Block& block,
                                 const std::string& store) {
  const std::optional<runtime::Address> address = this->StoreAddress(store);
  HttpResponse response;
  try {
    if (!address)
      throw Error(ResultCode::kPeerUnavailable, "unknown store " + store);
    response =
        this->client.Fetch(*address, {"GET", "/blocks/" + block.key, {}, ""},
                           {.body_limit_bytes = runtime::kStreamLimitBytes,
                            .header_timeout = this->options.restore_timeout,
                            .read_timeout = this->options.restore_timeout});
  } catch (const Error&) {
    ++this->counts.bad_blocks;
    return false;
  }
  this->counts.restored_bytes += response.body.size();
  const std::string prefix = block.key + "\n";
  const size_t digest_size = block.digest.size();
  const bool valid =
      response.status == 200 &&
      HeaderIs(response, "Block-Team", state.tag.team) &&
      HeaderIs(response, "Block-Version", state.tag.version) &&
      HeaderIs(response, "Block-Length",
               std::to_string(response.body.size())) &&
      HeaderIs(response, "Block-Checksum", common::Hash128Hex(response.body)) &&
      response.body.starts_with(prefix) &&
      response.body.size() > prefix.size() + digest_size;
  if (!valid) {
    ++this->counts.bad_blocks;
    return false;
  }
  block.digest = response.body.substr(prefix.size(), digest_size);
  this->cache.Put(block.key, {state.tag, block.digest}, Now());
  return true;
}

void EngineStandin::ApplyProgress(const BatchProgress& progress) {
  const auto found = this->request_states.find(progress.id);
  if (found == this->request_states.end())
    return;
  RequestState& state = *found->second;
  if (state.generated_tokens == 0) {
    for (const Block& block : state.blocks) {
      if (block.recomputed)
        this->cache.Put(block.key, {state.tag, block.digest}, Now());
    }
  }
  ++state.generated_tokens;
  ++this->counts.tokens;
  if (progress.finished) {
    ++this->counts.finished;
    this->Finish(state, "length");
  }
  state.progress_signal.NotifyAll();
}

void EngineStandin::Finish(RequestState& state, const std::string& reason) {
  state.finish_reason = reason;
  state.finished_at = Now();
  state.progress_signal.NotifyAll();
}

void EngineStandin::StreamEvents(const RequestStatePtr& state,
                                 uint64_t offset,
                                 ResponseWriter& writer) {
  writer.StartStream(200, {{"Content-Type", "text/event-stream"}});
  while (true) {
    std::string events;
    for (; offset < state->generated_tokens; ++offset) {
      events +=
          FormatServerSentEvent({{"offset", offset},
                                 {"text", CompletionToken(state->seed, offset)},
                                 {"version", state->tag.version},
                                 {"cached_tokens", state->cached_tokens},
                                 {"restored_tokens", state->restored_tokens}});
    }
    if (!events.empty()) {
      this->connection_stall.WaitIfStalled();
      writer.Write(events);
      continue;
    }
    if (!state->finish_reason.empty())
      break;
    state->progress_signal.Wait();
  }
  this->connection_stall.WaitIfStalled();
  writer.Write(FormatServerSentEvent({{"done", true},
                                      {"reason", state->finish_reason},
                                      {"tokens", state->generated_tokens}}));
  writer.FinishStream();
}

void EngineStandin::Resume(const HttpRequest&,
                           const Target& target,
                           ResponseWriter& writer) {
  const auto found = this->request_states.find(target.segments[2]);
  if (found == this->request_states.end())
    return SendJson(writer, 404, json::object());
  ++this->counts.resumed;
  const RequestStatePtr state = found->second;
  this->StreamEvents(state, target.NumberOr("from", 0), writer);
}

void EngineStandin::Cancel(const HttpRequest&,
                           const Target& target,
                           ResponseWriter& writer) {
  const auto found = this->request_states.find(target.segments[2]);
  if (found == this->request_states.end())
    return SendJson(writer, 404, json::object());
  if (found->second->finish_reason.empty()) {
    ++this->counts.canceled;
    this->scheduler.Cancel(found->first);
    this->Finish(*found->second, "canceled");
  }
  SendJson(writer, 200, {{"tokens", found->second->generated_tokens}});
}

void EngineStandin::PurgeFinishedRequests() {
  const common::TimePoint cutoff = Now() - this->options.finished_retention;
  std::erase_if(this->request_states, [&](const auto& entry) {
    return !entry.second->finish_reason.empty() &&
           entry.second->finished_at < cutoff;
  });
}

std::optional<runtime::Address> EngineStandin::StoreAddress(
    const std::string& name) const {
  const auto found = this->options.stores.find(name);
  if (found != this->options.stores.end())
    return found->second;
  return runtime::Address::Parse(name);
}

bool EngineStandin::ExportBlock(const std::string& key,
                                const std::string& team,
                                const runtime::Address& store) {
  const CachedBlock* block = this->cache.Find(key);
  if (!block)
    return false;
  if (block->tag.team != team) {
    ++this->counts.foreign_blocks;
    return false;
  }
  HttpRequest put{"PUT", "/blocks/" + key, {}, {}};
  put.body = this->SerializeBlock(key, block->digest);
  put.headers.Add("Block-Team", block->tag.team);
  put.headers.Add("Block-Version", block->tag.version);
  put.headers.Add("Block-Length", std::to_string(put.body.size()));
  put.headers.Add("Block-Checksum", common::Hash128Hex(put.body));
  try {
    if (this->client.Fetch(store, put).status != 200)
      return false;
  } catch (const Error&) {
    return false;
  }
  ++this->counts.exported_blocks;
  this->counts.exported_bytes += put.body.size();
  return true;
}

void EngineStandin::Export(const HttpRequest& request,
                           const Target&,
                           ResponseWriter& writer) {
  const json body = ParseBody(request);
  const auto team = RequiredField<std::string>(body, "team");
  const auto store =
      this->StoreAddress(RequiredField<std::string>(body, "store"));
  if (!store)
    throw Error(ResultCode::kMalformedRequest, "unknown store");
  json exported = json::array();
  json failed = json::array();
  for (const auto& key :
       RequiredField<std::vector<std::string>>(body, "keys")) {
    const bool done = this->ExportBlock(key, team, *store);
    (done ? exported : failed).push_back(key);
  }
  SendJson(writer, 200, {{"exported", exported}, {"failed", failed}});
}

void EngineStandin::Events(const HttpRequest&,
                           const Target& target,
                           ResponseWriter& writer) {
  const uint64_t since = target.NumberOr("since", 0);
  const common::TimePoint until = Now() - this->options.event_delay;
  const uint64_t first = std::max(since, this->cache.first_event_sequence());
  uint64_t next = first;
  json events = json::array();
  for (const CacheEvent& event : this->cache.EventsSince(first, until)) {
    events.push_back({{"seq", event.sequence},
                      {"op", event.added ? "add" : "remove"},
                      {"key", event.key}});
    next = event.sequence + 1;
  }
  SendJson(writer, 200, {{"first", first}, {"next", next}, {"events", events}});
}

json EngineStandin::SampleLoad() const {
  return {{"as_of_ms", WallMilliseconds()},
          {"running", this->scheduler.running()},
          {"queued_tokens", this->scheduler.queued_tokens()},
          {"slots", this->options.batch.slots},
          {"prefill_tokens_per_s", this->options.batch.prefill_tokens_per_s},
          {"decode_ms", this->scheduler.DecodeStepMilliseconds()},
          {"kv_capacity_blocks", this->cache.capacity_blocks()},
          {"kv_used_blocks", this->cache.used_blocks()},
          {"version", this->version},
          {"leaving", this->leaving}};
}

void EngineStandin::ReportLoad(const HttpRequest&,
                               const Target&,
                               ResponseWriter& writer) {
  SendJson(writer, 200, this->load_report);
}

void EngineStandin::ApplyOrder(const HttpRequest& request,
                               const Target&,
                               ResponseWriter& writer) {
  const json body = ParseBody(request);
  const auto order_fence = RequiredField<uint64_t>(body, "fence");
  const auto action = RequiredField<std::string>(body, "action");
  ++this->counts.orders;
  if (order_fence < this->fence) {
    ++this->counts.old_orders;
    if (this->options.checks_fence)
      return SendJson(writer, 412, {{"fence", this->fence}});
  }
  // The lifetime is relative to the arrival of the order, since engines and
  // hosts have no common clock. Orders are executed immediately, so only those
  // that arrive with no lifetime left are refused.
  if (RequiredField<int64_t>(body, "expires_ms") <= 0)
    return SendJson(writer, 410, {{"fence", this->fence}});
  this->fence = order_fence;
  if (action == "role") {
    this->role = body.value("role", "");
  } else if (action == "load") {
    const auto target_version = RequiredField<std::string>(body, "version");
    if (target_version != this->version &&
        target_version != this->loading_version)
      this->SpawnBackground(
          [this, target_version] { this->LoadWeights(target_version); });
  } else {
    throw Error(ResultCode::kMalformedRequest, "unknown action " + action);
  }
  SendJson(writer, 200, {{"fence", this->fence}});
}

void EngineStandin::LoadWeights(const std::string& target_version) {
  this->loading_version = target_version;
  ++this->counts.loads;
  bool loaded = true;
  if (this->options.weight_store) {
    const std::string path =
        "/weights/" + this->options.model + "/" + target_version;
    try {
      loaded = this->client
                   .Fetch(*this->options.weight_store, {"GET", path, {}, ""},
                          {.body_limit_bytes = runtime::kStreamLimitBytes})
                   .status == 200;
    } catch (const Error&) {
      loaded = false;
    }
  }
  // A newer order may have started another load in the meantime.
  if (this->loading_version != target_version)
    return;
  this->loading_version.clear();
  if (loaded)
    this->version = target_version;
}

void EngineStandin::ReportOrderState(const HttpRequest&,
                                     const Target&,
                                     ResponseWriter& writer) {
  SendJson(writer, 200,
           {{"fence", this->fence},
            {"model", this->options.model},
            {"version", this->version},
            {"loading", !this->loading_version.empty()},
            {"loading_version", this->loading_version},
            {"role", this->role}});
}

void EngineStandin::SetFaults(const HttpRequest& request,
                              const Target&,
                              ResponseWriter& writer) {
  const json faults = ParseBody(request);
  if (faults.value("crash", false))
    std::_Exit(kCrashExitStatus);
  if (faults.value("silent", false))
    this->connection_stall.StallOpenConnections();
  if (faults.value("release", false))
    this->connection_stall.Release();
  if (faults.value("drop_events", false))
    this->cache.DropEvents();
  this->leaving = faults.value("leaving", this->leaving);
  SendJson(writer, 200, json::object());
}

void EngineStandin::ReportCounts(const HttpRequest&,
                                 const Target&,
                                 ResponseWriter& writer) {
  const Counts& c = this->counts;
  SendJson(writer, 200,
           {{"requests", c.requests},
            {"refused", c.refused},
            {"wrong_version", c.wrong_version},
            {"duplicate_ids", c.duplicate_ids},
            {"resumed", c.resumed},
            {"canceled", c.canceled},
            {"finished", c.finished},
            {"tokens", c.tokens},
            {"prompt_tokens", c.prompt_tokens},
            {"cached_tokens", c.cached_tokens},
            {"restored_tokens", c.restored_tokens},
            {"restored_bytes", c.restored_bytes},
            {"bad_blocks", c.bad_blocks},
            {"foreign_blocks", c.foreign_blocks},
            {"exported_blocks", c.exported_blocks},
            {"exported_bytes", c.exported_bytes},
            {"evictions", this->cache.evictions()},
            {"orders", c.orders},
            {"old_orders", c.old_orders},
            {"loads", c.loads},
            {"running", this->scheduler.running()}});
}

}  // namespace jujuberock::standin
