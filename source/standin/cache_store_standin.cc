#include "standin/cache_store_standin.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/runtime/sleep.h"
#include "standin/clock.h"

namespace jujuberock::standin {

using common::Error;
using common::ResultCode;
using nlohmann::json;
using runtime::HttpRequest;
using runtime::ResponseWriter;

namespace {

constexpr size_t kChunkBytes = 32 * 1024;
constexpr int kCrashExitStatus = 71;

std::string RequiredHeader(const HttpRequest& request, std::string_view name) {
  const auto value = request.headers.Find(name);
  if (!value)
    throw Error(ResultCode::kMalformedRequest,
                std::string(name) + " header is missing");
  return std::string(*value);
}

}  // namespace

CacheStoreStandin::CacheStoreStandin(CacheStoreOptions options)
    : options(options),
      tiers(options.tiers),
      egress_link(options.link_bytes_per_s, kChunkBytes),
      ingress_link(options.link_bytes_per_s, kChunkBytes) {}

void CacheStoreStandin::Handle(const HttpRequest& request,
                               ResponseWriter& writer) {
  const Target target = ParseTarget(request.target);
  const auto& segments = target.segments;
  if (segments.size() == 2 && segments[0] == "control")
    return this->Control(request, target, writer);
  if (segments.size() == 1 && segments[0] == "status")
    return SendJson(writer, 200, this->Status(target.NumberOr("since", 0)));
  if (segments.size() == 2 && segments[0] == "blocks") {
    if (request.method == "PUT")
      return this->Put(request, segments[1], writer);
    if (request.method == "GET")
      return this->Get(target, writer);
  }
  SendJson(writer, 404, json::object());
}

void CacheStoreStandin::Control(const HttpRequest& request,
                                const Target& target,
                                ResponseWriter& writer) {
  if (target.segments[1] == "faults") {
    this->SetFaults(ParseBody(request));
    return SendJson(writer, 200, json::object());
  }
  const Counts& c = this->counts;
  SendJson(writer, 200,
           {{"sealed", c.sealed},
            {"rejected", c.rejected},
            {"full", c.full},
            {"hits", c.hits},
            {"misses", c.misses},
            {"cut_reads", c.cut_reads},
            {"sent_bytes", c.sent_bytes},
            {"received_bytes", c.received_bytes},
            {"blocks", this->tiers.Keys().size()}});
}

void CacheStoreStandin::SetFaults(const json& faults) {
  if (faults.value("die", false))
    std::_Exit(kCrashExitStatus);
  if (faults.contains("link_bytes_per_s")) {
    const double rate = faults["link_bytes_per_s"].get<double>();
    this->egress_link.SetRate(rate);
    this->ingress_link.SetRate(rate);
  }
  if (faults.contains("occupied_bytes"))
    this->tiers.SetOccupiedBytes(faults["occupied_bytes"].get<uint64_t>());
  const auto apply_to_blocks = [&](const char* fault, auto inject) {
    const std::string key_filter = faults.value(fault, "");
    for (const std::string& key : this->tiers.Keys()) {
      if (key_filter == "*" || key_filter == key)
        inject(key);
    }
  };
  apply_to_blocks("corrupt",
                  [&](const std::string& key) { this->tiers.Corrupt(key); });
  apply_to_blocks("evict",
                  [&](const std::string& key) { this->tiers.Evict(key); });
}

void CacheStoreStandin::Put(const HttpRequest& request,
                            const std::string& key,
                            ResponseWriter& writer) {
  SealedBlock block;
  block.team = RequiredHeader(request, "Block-Team");
  block.version = RequiredHeader(request, "Block-Version");
  block.checksum = RequiredHeader(request, "Block-Checksum");
  const uint64_t length = ParseNumber(RequiredHeader(request, "Block-Length"));
  block.body = request.body;
  const uint64_t size = this->SimulatedBytes(block.body.size());
  runtime::SleepFor(
      this->ingress_link.Reserve(static_cast<double>(size), Now()));
  this->counts.received_bytes += size;
  if (block.body.size() != length ||
      common::Hash128Hex(block.body) != block.checksum) {
    ++this->counts.rejected;
    return SendJson(writer, 400, {{"sealed", false}});
  }
  if (!this->tiers.Seal(key, std::move(block))) {
    ++this->counts.full;
    return SendJson(writer, 507, {{"sealed", false}});
  }
  ++this->counts.sealed;
  SendJson(writer, 200,
           {{"sealed", true}, {"generation", this->tiers.GenerationOf(key)}});
}

void CacheStoreStandin::Get(const Target& target, ResponseWriter& writer) {
  const std::string& key = target.segments[1];
  const BlockTiers::ReadResult found = this->tiers.Read(key);
  const uint64_t pinned_generation = target.NumberOr("generation", 0);
  if (!found.block || (pinned_generation != 0 &&
                       pinned_generation != found.block->generation)) {
    ++this->counts.misses;
    return SendJson(writer, 404, json::object());
  }
  ++this->counts.hits;
  if (found.from_disk)
    runtime::SleepFor(this->options.disk_latency);
  writer.StartStream(
      200, {{"Block-Team", found.block->team},
            {"Block-Version", found.block->version},
            {"Block-Length", std::to_string(found.block->body.size())},
            {"Block-Checksum", found.block->checksum},
            {"Block-Generation", std::to_string(found.block->generation)}});
  this->SendBody(key, *found.block, writer);
}

void CacheStoreStandin::SendBody(const std::string& key,
                                 const SealedBlock& block,
                                 ResponseWriter& writer) {
  std::string_view remaining = block.body;
  while (!remaining.empty()) {
    const std::string_view chunk = remaining.substr(0, kChunkBytes);
    const uint64_t size = this->SimulatedBytes(chunk.size());
    runtime::SleepFor(
        this->egress_link.Reserve(static_cast<double>(size), Now()));
    if (this->tiers.GenerationOf(key) != block.generation) {
      ++this->counts.cut_reads;
      DropConnection();
    }
    writer.Write(chunk);
    this->counts.sent_bytes += size;
    remaining.remove_prefix(chunk.size());
  }
  writer.FinishStream();
}

json CacheStoreStandin::Status(uint64_t since) const {
  json events = json::array();
  for (const TierEvent& event : this->tiers.events()) {
    if (event.sequence < since)
      continue;
    events.push_back({{"seq", event.sequence},
                      {"op", event.added ? "add" : "remove"},
                      {"key", event.key}});
  }
  return {{"capacity_bytes", this->tiers.capacity_bytes()},
          {"used_bytes", this->tiers.used_bytes()},
          {"link_bytes_per_s", this->egress_link.rate()},
          {"sent_bytes", this->counts.sent_bytes},
          {"received_bytes", this->counts.received_bytes},
          {"first", std::max(since, this->tiers.first_event_sequence())},
          {"next", this->tiers.next_event_sequence()},
          {"events", std::move(events)}};
}

}  // namespace jujuberock::standin
