#include "standin/engine_standin.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/runtime/sleep.h"
#include "standin/answer_text.h"
#include "standin/clock.h"

namespace jujuberock::standin {

using common::Error;
using common::ResultCode;
using nlohmann::json;
using runtime::HttpRequest;
using runtime::HttpResponse;
using runtime::ResponseWriter;

namespace {

constexpr int kCrashStatus = 70;
constexpr common::Duration kIdlePoll = std::chrono::milliseconds(20);

template <typename Value>
Value Required(const json& body, const char* field) {
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

std::string ServerSentEvent(const json& event) {
  return "data: " + event.dump() + "\n\n";
}

// Keys for callers that name none: chained over the tag and the text.
std::string OwnKey(const std::string& parent, const std::string& digest) {
  return common::Hash128Hex(parent + "/" + digest);
}

bool PathMatches(const std::vector<std::string>& pattern,
                 const std::vector<std::string>& path) {
  return std::equal(pattern.begin(), pattern.end(), path.begin(), path.end(),
                    [](const std::string& wanted, const std::string& segment) {
                      return wanted == "*" || wanted == segment;
                    });
}

}  // namespace

EngineStandin::EngineStandin(EngineOptions options, runtime::HttpClient& client)
    : options(std::move(options)),
      client(client),
      model(this->options.batch),
      cache(this->options.capacity_blocks, this->options.events_kept),
      version(this->options.version) {
  this->load_report = this->SampleLoad();
}

EngineStandin::~EngineStandin() {
  this->stopping = true;
  while (this->background > 0) {
    if (runtime::WorkerPool::CurrentWorker())
      runtime::SleepFor(kIdlePoll);
    else
      std::this_thread::sleep_for(kIdlePoll);
  }
}

void EngineStandin::SpawnBackground(std::function<void()> body) {
  ++this->background;
  runtime::SpawnHere([this, body = std::move(body)] {
    body();
    --this->background;
  });
}

void EngineStandin::Start() {
  this->SpawnBackground([this] { this->RunBatch(); });
  this->SpawnBackground([this] { this->RunReports(); });
}

void EngineStandin::RunBatch() {
  while (!this->stopping) {
    const std::optional<common::Duration> step = this->model.BeginStep();
    if (!step) {
      this->work.WaitFor(kIdlePoll);
      continue;
    }
    runtime::SleepFor(*step);
    for (const BatchProgress& progress : this->model.FinishStep())
      this->Advance(progress);
  }
}

void EngineStandin::RunReports() {
  while (!this->stopping) {
    runtime::SleepFor(this->options.load_lag);
    this->load_report = this->SampleLoad();
    this->ForgetFinished();
  }
}

const std::vector<EngineStandin::RouteEntry>& EngineStandin::Routes() {
  static const std::vector<RouteEntry> kRoutes = {
      {"POST", {"v1", "generate"}, &EngineStandin::Generate},
      {"GET", {"v1", "requests", "*"}, &EngineStandin::Resume},
      {"DELETE", {"v1", "requests", "*"}, &EngineStandin::Cancel},
      {"POST", {"kv", "export"}, &EngineStandin::Export},
      {"GET", {"kv", "events"}, &EngineStandin::Events},
      {"GET", {"load"}, &EngineStandin::Load},
      {"POST", {"orders"}, &EngineStandin::TakeOrder},
      {"GET", {"orders"}, &EngineStandin::ShowOrder},
      {"GET", {"control", "counts"}, &EngineStandin::ShowCounts},
      {"POST", {"control", "faults"}, &EngineStandin::SetFaults},
  };
  return kRoutes;
}

void EngineStandin::Handle(const HttpRequest& request, ResponseWriter& writer) {
  const Target target = ParseTarget(request.target);
  const bool is_control =
      !target.segments.empty() && target.segments[0] == "control";
  if (!is_control)
    this->silence.HoldIfSilent();
  for (const RouteEntry& entry : Routes()) {
    if (request.method == entry.method &&
        PathMatches(entry.path, target.segments))
      return (this->*entry.route)(request, target, writer);
  }
  SendJson(writer, 404, json::object());
}

void EngineStandin::Generate(const HttpRequest& request,
                             const Target&,
                             ResponseWriter& writer) {
  const json body = ParseBody(request);
  const auto prompt = Required<std::string>(body, "prompt");
  if (this->leaving || this->model.waiting_count() + this->preparing >=
                           this->options.queue_limit) {
    ++this->counts.refused;
    return SendJson(writer, 503, {{"ran", false}});
  }
  if (Required<std::string>(body, "model") != this->options.model ||
      Required<std::string>(body, "version") != this->version) {
    ++this->counts.wrong_version;
    return SendJson(writer, 409, {{"version", this->version}});
  }
  const std::string& marker = this->options.crash_marker;
  if (!marker.empty() && prompt.find(marker) != std::string::npos)
    std::_Exit(kCrashStatus);

  const GenerationPtr generation = this->Accept(body);
  StoreByKey restores;
  for (const json& item : body.value("restore", json::array()))
    restores[Required<std::string>(item, "key")] =
        Required<std::string>(item, "store");
  ++this->preparing;
  this->Prepare(*generation, prompt, restores);
  --this->preparing;
  if (generation->end_reason.empty()) {
    const uint64_t ready =
        generation->cached_tokens + generation->restored_tokens;
    this->model.Submit({generation->id, generation->prompt_tokens - ready,
                        Required<uint64_t>(body, "max_tokens"),
                        body.value("priority", int64_t{0})});
    this->work.NotifyAll();
  }
  this->StreamFrom(generation, 0, writer);
}

EngineStandin::GenerationPtr EngineStandin::Accept(const json& body) {
  const auto id = Required<std::string>(body, "request_id");
  if (Required<uint64_t>(body, "max_tokens") == 0)
    throw Error(ResultCode::kMalformedRequest, "max_tokens is zero");
  if (this->generations.contains(id)) {
    ++this->counts.duplicate_ids;
    throw Error(ResultCode::kMalformedRequest, "request_id was used before");
  }
  auto generation = std::make_shared<Generation>();
  generation->id = id;
  generation->tag = {Required<std::string>(body, "team"), this->version};
  const auto prompt = Required<std::string>(body, "prompt");
  generation->prompt_tokens = (prompt.size() + kTokenBytes - 1) / kTokenBytes;
  std::vector<std::string> keys =
      body.value("block_keys", std::vector<std::string>());
  std::string parent = generation->tag.team + "/" + this->options.model + "/" +
                       body.value("adapter", "") + "/" + this->version;
  for (const std::string& digest : BlockDigests(prompt)) {
    const size_t index = generation->blocks.size();
    parent = OwnKey(parent, digest);
    const std::string key = index < keys.size() ? keys[index] : parent;
    generation->blocks.push_back({key, digest, false});
  }
  this->generations[id] = generation;
  ++this->counts.requests;
  this->counts.prompt_tokens += generation->prompt_tokens;
  return generation;
}

void EngineStandin::Prepare(Generation& generation,
                            const std::string& prompt,
                            const StoreByKey& restores) {
  for (Block& block : generation.blocks) {
    if (this->TakeCached(generation, block)) {
      generation.cached_tokens += kBlockTokens;
      continue;
    }
    const auto restore = restores.find(block.key);
    if (restore != restores.end() &&
        this->Restore(generation, block, restore->second)) {
      generation.restored_tokens += kBlockTokens;
      continue;
    }
    block.recomputed = true;
  }
  this->counts.cached_tokens += generation.cached_tokens;
  this->counts.restored_tokens += generation.restored_tokens;
  std::vector<std::string> digests;
  for (const Block& block : generation.blocks)
    digests.push_back(block.digest);
  const std::string_view rest =
      std::string_view(prompt).substr(digests.size() * kBlockBytes);
  generation.seed = AnswerSeed(generation.tag.version, digests, rest);
}

// The answer is computed from the digest of the cached block, not from the
// prompt, as a real engine attends to what its cache holds.
bool EngineStandin::TakeCached(Generation& generation, Block& block) {
  const CachedBlock* cached = this->cache.Use(block.key);
  if (!cached)
    return false;
  if (cached->tag != generation.tag) {
    ++this->counts.foreign_blocks;
    return false;
  }
  block.digest = cached->digest;
  return true;
}

std::string EngineStandin::RenderBlock(const std::string& key,
                                       const std::string& digest) const {
  std::string body = key + "\n" + digest + "\n";
  while (body.size() < this->options.kv_bytes_per_block)
    body += digest;
  body.resize(std::max<size_t>(this->options.kv_bytes_per_block,
                               key.size() + digest.size() + 2));
  return body;
}

bool EngineStandin::Restore(Generation& generation,
                            Block& block,
                            const std::string& store) {
  const std::optional<runtime::Address> address = this->StoreAddress(store);
  HttpResponse response;
  try {
    if (!address)
      throw Error(ResultCode::kPeerUnavailable, "unknown store " + store);
    response =
        this->client.Fetch(*address, {"GET", "/blocks/" + block.key, {}, ""},
                           {.header_timeout = this->options.restore_timeout,
                            .read_timeout = this->options.restore_timeout});
  } catch (const Error&) {
    ++this->counts.bad_blocks;
    return false;
  }
  this->counts.restored_bytes += response.body.size();
  const std::string prefix = block.key + "\n";
  const size_t digest_size = block.digest.size();
  const bool sound =
      response.status == 200 &&
      HeaderIs(response, "Block-Team", generation.tag.team) &&
      HeaderIs(response, "Block-Version", generation.tag.version) &&
      HeaderIs(response, "Block-Length",
               std::to_string(response.body.size())) &&
      HeaderIs(response, "Block-Checksum", common::Hash128Hex(response.body)) &&
      response.body.starts_with(prefix) &&
      response.body.size() > prefix.size() + digest_size;
  if (!sound) {
    ++this->counts.bad_blocks;
    return false;
  }
  block.digest = response.body.substr(prefix.size(), digest_size);
  this->cache.Put(block.key, {generation.tag, block.digest}, Now());
  return true;
}

void EngineStandin::Advance(const BatchProgress& progress) {
  const auto found = this->generations.find(progress.id);
  if (found == this->generations.end())
    return;
  Generation& generation = *found->second;
  if (generation.produced == 0) {
    for (const Block& block : generation.blocks) {
      if (block.recomputed)
        this->cache.Put(block.key, {generation.tag, block.digest}, Now());
    }
  }
  ++generation.produced;
  ++this->counts.tokens;
  if (progress.finished) {
    ++this->counts.finished;
    this->End(generation, "length");
  }
  generation.progressed.NotifyAll();
}

void EngineStandin::End(Generation& generation, const std::string& reason) {
  generation.end_reason = reason;
  generation.ended_at = Now();
  generation.progressed.NotifyAll();
}

void EngineStandin::StreamFrom(const GenerationPtr& generation,
                               uint64_t offset,
                               ResponseWriter& writer) {
  writer.StartStream(200, {{"Content-Type", "text/event-stream"}});
  while (true) {
    std::string events;
    for (; offset < generation->produced; ++offset) {
      events +=
          ServerSentEvent({{"offset", offset},
                           {"text", AnswerToken(generation->seed, offset)},
                           {"version", generation->tag.version},
                           {"cached_tokens", generation->cached_tokens},
                           {"restored_tokens", generation->restored_tokens}});
    }
    if (!events.empty()) {
      this->silence.HoldIfSilent();
      writer.Write(events);
      continue;
    }
    if (!generation->end_reason.empty())
      break;
    generation->progressed.Wait();
  }
  this->silence.HoldIfSilent();
  writer.Write(ServerSentEvent({{"done", true},
                                {"reason", generation->end_reason},
                                {"tokens", generation->produced}}));
  writer.FinishStream();
}

void EngineStandin::Resume(const HttpRequest&,
                           const Target& target,
                           ResponseWriter& writer) {
  const auto found = this->generations.find(target.segments[2]);
  if (found == this->generations.end())
    return SendJson(writer, 404, json::object());
  ++this->counts.resumed;
  const GenerationPtr generation = found->second;
  this->StreamFrom(generation, target.NumberOr("from", 0), writer);
}

void EngineStandin::Cancel(const HttpRequest&,
                           const Target& target,
                           ResponseWriter& writer) {
  const auto found = this->generations.find(target.segments[2]);
  if (found == this->generations.end())
    return SendJson(writer, 404, json::object());
  if (found->second->end_reason.empty()) {
    ++this->counts.canceled;
    this->model.Cancel(found->first);
    this->End(*found->second, "canceled");
  }
  SendJson(writer, 200, {{"tokens", found->second->produced}});
}

void EngineStandin::ForgetFinished() {
  const common::TimePoint oldest = Now() - this->options.keep_finished;
  std::erase_if(this->generations, [&](const auto& entry) {
    return !entry.second->end_reason.empty() && entry.second->ended_at < oldest;
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
  put.body = this->RenderBlock(key, block->digest);
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
  const auto team = Required<std::string>(body, "team");
  const auto store = this->StoreAddress(Required<std::string>(body, "store"));
  if (!store)
    throw Error(ResultCode::kMalformedRequest, "unknown store");
  json exported = json::array();
  json failed = json::array();
  for (const auto& key : Required<std::vector<std::string>>(body, "keys")) {
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
  const uint64_t first = std::max(since, this->cache.first_sequence());
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
          {"running", this->model.running()},
          {"queued_tokens", this->model.queued_tokens()},
          {"slots", this->options.batch.slots},
          {"prefill_tokens_per_s", this->options.batch.prefill_tokens_per_s},
          {"decode_ms", this->model.StepMilliseconds()},
          {"kv_capacity_blocks", this->cache.capacity_blocks()},
          {"kv_used_blocks", this->cache.used_blocks()},
          {"version", this->version},
          {"leaving", this->leaving}};
}

void EngineStandin::Load(const HttpRequest&,
                         const Target&,
                         ResponseWriter& writer) {
  SendJson(writer, 200, this->load_report);
}

void EngineStandin::TakeOrder(const HttpRequest& request,
                              const Target&,
                              ResponseWriter& writer) {
  const json body = ParseBody(request);
  const auto order_fence = Required<uint64_t>(body, "fence");
  const auto action = Required<std::string>(body, "action");
  ++this->counts.orders;
  if (order_fence < this->fence) {
    ++this->counts.old_orders;
    if (this->options.checks_fence)
      return SendJson(writer, 412, {{"fence", this->fence}});
  }
  // A lifetime that starts with the arrival, since engines and hosts share no
  // clock. Orders are carried out at once, so only spent ones are refused.
  if (Required<int64_t>(body, "expires_ms") <= 0)
    return SendJson(writer, 410, {{"fence", this->fence}});
  this->fence = order_fence;
  if (action == "role") {
    this->role = body.value("role", "");
  } else if (action == "load") {
    const auto wanted = Required<std::string>(body, "version");
    if (wanted != this->version && wanted != this->loading)
      this->SpawnBackground([this, wanted] { this->LoadWeights(wanted); });
  } else {
    throw Error(ResultCode::kMalformedRequest, "unknown action " + action);
  }
  SendJson(writer, 200, {{"fence", this->fence}});
}

void EngineStandin::LoadWeights(const std::string& wanted) {
  this->loading = wanted;
  ++this->counts.loads;
  bool loaded = true;
  if (this->options.weight_store) {
    const std::string path = "/weights/" + this->options.model + "/" + wanted;
    try {
      loaded =
          this->client.Fetch(*this->options.weight_store, {"GET", path, {}, ""})
              .status == 200;
    } catch (const Error&) {
      loaded = false;
    }
  }
  // A later order may have started another load in the meantime.
  if (this->loading != wanted)
    return;
  this->loading.clear();
  if (loaded)
    this->version = wanted;
}

void EngineStandin::ShowOrder(const HttpRequest&,
                              const Target&,
                              ResponseWriter& writer) {
  SendJson(writer, 200,
           {{"fence", this->fence},
            {"model", this->options.model},
            {"version", this->version},
            {"loading", !this->loading.empty()},
            {"loading_version", this->loading},
            {"role", this->role}});
}

void EngineStandin::SetFaults(const HttpRequest& request,
                              const Target&,
                              ResponseWriter& writer) {
  const json faults = ParseBody(request);
  if (faults.value("crash", false))
    std::_Exit(kCrashStatus);
  if (faults.value("silent", false))
    this->silence.Begin();
  if (faults.value("release", false))
    this->silence.Release();
  if (faults.value("drop_events", false))
    this->cache.DropEvents();
  this->leaving = faults.value("leaving", this->leaving);
  SendJson(writer, 200, json::object());
}

void EngineStandin::ShowCounts(const HttpRequest&,
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
            {"running", this->model.running()}});
}

}  // namespace jujuberock::standin
