#ifndef CORE_CALLER_COMPLETION_WRITER_H_
#define CORE_CALLER_COMPLETION_WRITER_H_

#include <string>

#include "core/caller/handler.h"
#include "core/runtime/http_server.h"

namespace jujuberock::caller {

// Metadata that every document of a response repeats, and the team that the
// response belongs to.
struct ResponseMetadata {
  CompletionKind kind = CompletionKind::kText;
  std::string team;
  std::string id;
  std::string model;
};

// Streams each token as a server-sent event with a sealed event id.
class StreamedCompletion : public CompletionWriter {
 public:
  StreamedCompletion(ResponseMetadata metadata,
                     const EventIdSealer& sealer,
                     runtime::ResponseWriter& writer);

  void WriteToken(const StreamPosition& position,
                  std::string_view text) override;
  void Finish(std::string_view reason, const Usage& usage) override;
  void Reset() override {}
  bool started() const override { return this->writer.started(); }
  void OnCallerDisconnect(std::function<void()> callback) override;

  // Ends a started stream with an error event that carries the problem
  // details.
  void Fail(const common::Error& error);

 private:
  void Start();

  ResponseMetadata metadata;
  // The constant parts of every token event, before and after the token's text.
  std::string before_text;
  std::string after_text;
  const EventIdSealer& sealer;
  runtime::ResponseWriter& writer;
};

// Buffers the tokens and sends a single document at the end.
class BufferedCompletion : public CompletionWriter {
 public:
  BufferedCompletion(ResponseMetadata metadata, runtime::ResponseWriter& writer)
      : metadata(std::move(metadata)), writer(writer) {}

  void WriteToken(const StreamPosition& position,
                  std::string_view text) override;
  void Finish(std::string_view reason, const Usage& usage) override;
  void Reset() override { this->text.clear(); }
  bool started() const override { return this->writer.started(); }
  void OnCallerDisconnect(std::function<void()> callback) override;

 private:
  ResponseMetadata metadata;
  std::string text;
  runtime::ResponseWriter& writer;
};

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_COMPLETION_WRITER_H_
