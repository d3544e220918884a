#include "core/caller/completion_writer.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "core/caller/problem.h"

namespace jujuberock::caller {

using nlohmann::json;
using runtime::HttpResponse;

namespace {

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

const char* ObjectName(CompletionKind kind, bool streamed) {
  if (kind == CompletionKind::kText)
    return "text_completion";
  return streamed ? "chat.completion.chunk" : "chat.completion";
}

json UsageJson(const Usage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"cached_tokens", usage.cached_tokens}};
}

json ChoiceDelta(CompletionKind kind, std::string_view text) {
  if (kind == CompletionKind::kText)
    return {{"text", text}};
  return {{"delta", {{"content", text}}}};
}

json ChunkJson(const ResponseMetadata& metadata, json choice) {
  choice["index"] = 0;
  return {{"id", metadata.id},
          {"object", ObjectName(metadata.kind, true)},
          {"model", metadata.model},
          {"choices", json::array({std::move(choice)})}};
}

}  // namespace

StreamedCompletion::StreamedCompletion(ResponseMetadata metadata,
                                       const EventIdSealer& sealer,
                                       runtime::ResponseWriter& writer)
    : metadata(std::move(metadata)), sealer(sealer), writer(writer) {
  // The events of a stream differ only in the token's text, so the document is
  // rendered once with a placeholder for it that no other value can contain.
  constexpr std::string_view kPlaceholder = "\"\\u0001\"";
  json choice = ChoiceDelta(this->metadata.kind, "\x01");
  choice["finish_reason"] = nullptr;
  const std::string document =
      Dump(ChunkJson(this->metadata, std::move(choice)));
  const size_t placeholder = document.find(kPlaceholder);
  this->before_text = "\ndata: " + document.substr(0, placeholder);
  this->after_text =
      document.substr(placeholder + kPlaceholder.size()) + "\n\n";
}

void StreamedCompletion::Start() {
  if (this->writer.started())
    return;
  this->writer.StartStream(200, {{"Content-Type", "text/event-stream"},
                                 {"Cache-Control", "no-store"}});
}

void StreamedCompletion::WriteToken(const StreamPosition& position,
                                    std::string_view text) {
  this->Start();
  std::string event = "id: " + this->sealer.Seal(position, this->metadata.team);
  event += this->before_text;
  event += Dump(json(text));
  event += this->after_text;
  this->writer.Write(event);
}

void StreamedCompletion::Finish(std::string_view reason, const Usage& usage) {
  this->Start();
  json choice = ChoiceDelta(this->metadata.kind, "");
  choice["finish_reason"] = reason;
  json chunk = ChunkJson(this->metadata, std::move(choice));
  chunk["usage"] = UsageJson(usage);
  this->writer.Write("data: " + Dump(chunk) + "\n\ndata: [DONE]\n\n");
  this->writer.FinishStream();
}

void StreamedCompletion::Fail(const common::Error& error) {
  this->writer.Write("event: error\ndata: " + RenderProblemJson(error) +
                     "\n\n");
  this->writer.FinishStream();
}

void StreamedCompletion::OnCallerDisconnect(std::function<void()> callback) {
  this->writer.OnCallerDisconnect(std::move(callback));
}

void BufferedCompletion::WriteToken(const StreamPosition&,
                                    std::string_view text) {
  this->text += text;
}

void BufferedCompletion::Finish(std::string_view reason, const Usage& usage) {
  json choice = {{"index", 0}, {"finish_reason", reason}};
  if (this->metadata.kind == CompletionKind::kText)
    choice["text"] = this->text;
  else
    choice["message"] = {{"role", "assistant"}, {"content", this->text}};
  const json document = {{"id", this->metadata.id},
                         {"object", ObjectName(this->metadata.kind, false)},
                         {"model", this->metadata.model},
                         {"choices", json::array({std::move(choice)})},
                         {"usage", UsageJson(usage)}};
  HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = Dump(document);
  this->writer.Send(std::move(response));
}

void BufferedCompletion::OnCallerDisconnect(std::function<void()> callback) {
  this->writer.OnCallerDisconnect(std::move(callback));
}

}  // namespace jujuberock::caller
