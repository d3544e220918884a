#ifndef CORE_CALLER_COMPLETION_WRITER_H_
#define CORE_CALLER_COMPLETION_WRITER_H_

#include <string>

#include "core/caller/handler.h"
#include "core/runtime/http_server.h"

namespace jujuberock::caller {

// Identifies the answer in each of its documents.
struct AnswerHead {
  CompletionKind kind = CompletionKind::kText;
  std::string team;
  std::string id;
  std::string model;
};

// Sends each token as a server-sent event with a sealed id.
class StreamedCompletion : public CompletionWriter {
 public:
  StreamedCompletion(AnswerHead head,
                     const EventIdSealer& sealer,
                     runtime::ResponseWriter& writer);

  void WriteToken(const StreamPosition& position,
                  std::string_view text) override;
  void Finish(std::string_view reason, const Usage& usage) override;
  void Reset() override {}
  bool started() const override { return this->writer.started(); }
  void OnCallerGone(std::function<void()> callback) override;

  // Ends a stream that has started with an event that carries the problem.
  void Fail(const common::Error& error);

 private:
  void Start();

  AnswerHead head;
  // The parts of a token's event around its text, which are the same for all.
  std::string before_text;
  std::string after_text;
  const EventIdSealer& sealer;
  runtime::ResponseWriter& writer;
};

// Collects the tokens and sends one document at the end.
class WholeCompletion : public CompletionWriter {
 public:
  WholeCompletion(AnswerHead head, runtime::ResponseWriter& writer)
      : head(std::move(head)), writer(writer) {}

  void WriteToken(const StreamPosition& position,
                  std::string_view text) override;
  void Finish(std::string_view reason, const Usage& usage) override;
  void Reset() override { this->text.clear(); }
  bool started() const override { return this->writer.started(); }
  void OnCallerGone(std::function<void()> callback) override;

 private:
  AnswerHead head;
  std::string text;
  runtime::ResponseWriter& writer;
};

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_COMPLETION_WRITER_H_
