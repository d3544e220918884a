#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "core/caller/completion_request.h"
#include "core/common/error.h"
#include "core/common/json_slices.h"
#include "core/common/settings.h"
#include "core/journal/codec.h"
#include "core/journal/record.h"
#include "core/load_exchange/codec.h"
#include "core/membership/message.h"
#include "core/platform/object_json.h"
#include "core/relay/message.h"
#include "core/report/burn_render.h"
#include "core/runtime/http_types.h"
#include "core/runtime/worker_pool.h"
#include "core/table/parse.h"
#include "core/table/sync_message.h"
#include "unit_tests/core/fuzz/mutation.h"

namespace jujuberock::fuzz {
namespace {

// Feeds mutations of `valid` to a parser of untrusted input, on a fiber, whose
// stack is small. The parser may refuse them with common::Error; any other
// exception, a crash or a sanitizer report is a failure. Returns how many
// inputs were refused.
int FuzzOnFiber(const std::string& valid,
                const std::function<void(const std::string&)>& parse) {
  constexpr int kMutations = 4000;
  common::Random random(20261204);
  int refused = 0;
  REQUIRE_NOTHROW(parse(valid));
  for (int i = 0; i < kMutations; ++i) {
    const std::string input = Mutate(valid, random);
    try {
      parse(input);
    } catch (const common::Error&) {
      ++refused;
    } catch (const std::exception& error) {
      FAIL("mutation " << i << ": " << error.what() << " for " << input);
    }
  }
  return refused;
}

int Fuzz(const std::string& valid,
         const std::function<void(const std::string&)>& parse) {
  runtime::WorkerPool workers(1);
  int refused = 0;
  workers.Run([&] { refused = FuzzOnFiber(valid, parse); });
  return refused;
}

table::Object MakeObject(const std::string& kind, const std::string& body) {
  return {kind, "name", 7, false, body, "token"};
}

TEST_CASE("mutated table objects are refused or parsed") {
  const std::string team =
      R"({"keys":["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"],)"
      R"("bands":[{"from":"00:00","to":"06:30","weight":2,"max_running":4,"patience_ms":4000},)"
      R"({"from":"06:30","to":"24:00","weight":1.5,"max_running":9,"patience_ms":900}]})";
  CHECK(Fuzz(team, [](const std::string& text) {
          table::ParseTeam(MakeObject("team", text));
        }) > 0);
  const std::string service =
      R"({"kind":"engine","models":["m"],"version":"v1","non_idempotent":[{"method":"POST","path_prefix":"/pay"}],)"
      R"("status_path":"/status/","loads_at_once":3,"retry_budget":0.1,"zone_shares":{"a":0.5,"b":0.5},)"
      R"("bands":[{"from":"00:00","to":"24:00","patience_ms":4000,"max_queue":10}]})";
  CHECK(Fuzz(service, [](const std::string& text) {
          table::ParseService(MakeObject("service", text));
        }) > 0);
  const std::string endpoint =
      R"({"service":"s","zone":"z","address":"127.0.0.1:80","state":"live"})";
  CHECK(Fuzz(endpoint, [](const std::string& text) {
          table::ParseEndpoint(MakeObject("endpoint", text));
        }) > 0);
}

TEST_CASE("mutated answers of the platform are refused or parsed") {
  const std::string list =
      R"({"version":9,"objects":[{"kind":"team","name":"t","version":3,"token":"x","body":{"a":1}}]})";
  CHECK(Fuzz(list, [](const std::string& text) {
          platform::ParseObjectList(text);
        }) > 0);
}

TEST_CASE("mutated stored objects of the journal are refused or parsed") {
  journal::Head head;
  head.segments = {{"segment", {}, 3}};
  journal::Record record;
  record.key = {"team", "key"};
  record.state = journal::RecordState::kDone;
  record.answer.body_kept = true;
  record.answer.body = "answer";
  record.answer.body_bytes = record.answer.body.size();
  const std::string records = journal::RenderRecord(record);
  CHECK(Fuzz(journal::RenderHead(head, records),
             [](const std::string& text) { journal::ParseHead(text); }) > 0);
  CHECK(Fuzz(journal::RenderSegment(records),
             [](const std::string& text) { journal::ParseSegment(text); }) > 0);
  CHECK(Fuzz(journal::RenderIndex({{"segment", {1, 2}}}),
             [](const std::string& text) { journal::ParseIndex(text); }) > 0);
}

TEST_CASE("mutated requests of callers are refused or parsed") {
  constexpr int64_t kMaxTokens = 1000;
  const std::string text =
      R"({"model":"m","prompt":"p","max_tokens":5,"stream":true,"x":[{"a":1}]})";
  CHECK(Fuzz(text, [](const std::string& body) {
          caller::ParseCompletion(caller::CompletionKind::kText, body,
                                  kMaxTokens);
        }) > 0);
  const std::string chat =
      R"({"model":"m","messages":[{"role":"user","content":"hello"}]})";
  CHECK(Fuzz(chat, [](const std::string& body) {
          caller::ParseCompletion(caller::CompletionKind::kChat, body,
                                  kMaxTokens);
        }) > 0);
}

TEST_CASE("mutated messages of the membership are refused or parsed") {
  membership::Message message;
  message.sender = {"host", "zone", "127.0.0.1:80", 7, {}};
  message.gossip = {
      membership::HostInfo{"other", "zone", "127.0.0.1:81", 8, {}},
      membership::LeavingEndpoint{"engine", 3, 1},
      membership::ZoneSummary{"zone", "host", 1, 2, {{"d", "a"}}}};
  CHECK(Fuzz(membership::Encode(message), [](const std::string& bytes) {
          membership::DecodeMessage(bytes);
        }) > 0);
}

TEST_CASE("mutated messages about the table are refused or parsed") {
  table::SyncMessage message;
  message.digest.emplace();
  message.objects = {MakeObject("team", "{}")};
  CHECK(Fuzz(table::Encode(message), [](const std::string& bytes) {
          table::DecodeSyncMessage(bytes);
        }) > 0);
}

// A host that sends odd bytes must not harm those that ask it or that it asks.
TEST_CASE("mutated messages of relays are refused or parsed") {
  relay::RelayRequest request;
  request.revision = 7;
  request.era = 2;
  request.wait = std::chrono::seconds(1);
  CHECK(Fuzz(relay::Encode(request), [](const std::string& bytes) {
          relay::DecodeRequest(bytes);
        }) > 0);
  relay::RelayAnswer answer;
  answer.status = relay::RelayStatus::kView;
  answer.change_age = std::chrono::milliseconds(5);
  answer.changes = {{{"a", 3, "{}"}, false}, {{"b", 4, ""}, true}};
  CHECK(Fuzz(relay::Encode(answer),
             [](const std::string& bytes) { relay::DecodeAnswer(bytes); }) > 0);
}

TEST_CASE("mutated settings files are refused or parsed") {
  const std::string settings = R"({
    // comment
    "host_name": "host-1", "zone": "zone-a", "worker_threads": 4,
    "platform_address": "127.0.0.1:9000", "deployment_key": "0123456789abcdef",
    "token_idle_limit_ms": 500
  })";
  CHECK(Fuzz(settings, [](const std::string& text) {
          common::SettingsReader reader;
          reader.ReadText(text, "file");
          if (!reader.problems().empty())
            throw common::Error(common::ResultCode::kInvalidSettings, "");
        }) > 0);
}

TEST_CASE("mutated load messages are refused or parsed") {
  load_exchange::Exchange exchange("host", {});
  exchange.SetEndpoints({"engine-1", "engine-2"}, {});
  exchange.OnPolled("engine-1", {}, {});
  exchange.OnPolled("engine-2", {}, {});
  const std::string message = load_exchange::Encode(exchange.TakeMessage({}));
  CHECK(Fuzz(message, [](const std::string& bytes) {
          load_exchange::Decode(bytes);
        }) > 0);
}

TEST_CASE("mutated journal messages are refused or parsed") {
  journal::PermitRequest request;
  CHECK(Fuzz(journal::Encode(request), [](const std::string& bytes) {
          journal::DecodePermitRequest(bytes);
        }) > 0);
  CHECK(Fuzz(journal::Encode(journal::PermitReply()),
             [](const std::string& bytes) {
               journal::DecodePermitReply(bytes);
             }) > 0);
  CHECK(Fuzz(journal::Encode(journal::OutcomeRequest()),
             [](const std::string& bytes) {
               journal::DecodeOutcomeRequest(bytes);
             }) > 0);
}

TEST_CASE("mutated burn reports are refused or parsed") {
  report::BurnRow row{{"team", "service", "06:00"}, {}, {}};
  CHECK(Fuzz(report::RenderJson({row}, 0.95),
             [](const std::string& text) { report::ParseJson(text); }) > 0);
}

// Returns where the last slice ends. Slices lie in the text in their order.
size_t EndOf(std::string_view text, std::string_view slice, size_t begin) {
  const auto at = static_cast<size_t>(slice.data() - text.data());
  REQUIRE(at >= begin);
  REQUIRE(at + slice.size() <= text.size());
  return at + slice.size();
}

TEST_CASE("mutated JSON is cut into slices of the text or not at all") {
  const std::string object =
      R"({"name":"a\"b","list":[1,{"x":[]},"\\"], "null":null,"deep":[[[[{}]]]]})";
  Fuzz(object, [](const std::string& text) {
    size_t end = 0;
    const auto members = common::SplitMalformedObject(text);
    for (const auto& member : members.value_or(common::JsonMembers()))
      end = EndOf(text, member.value, end);
    const std::string list = "[" + text + "," + text + "]";
    const auto elements = common::SplitArray(list);
    if (members)
      REQUIRE(elements->size() == 2);
  });
}

TEST_CASE("mutated addresses are refused or parsed") {
  Fuzz("[::1]:8080",
       [](const std::string& text) { runtime::Address::Parse(text); });
}

}  // namespace
}  // namespace jujuberock::fuzz
