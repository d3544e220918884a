#ifndef CORE_HANDOVER_REPLY_WRITER_H_
#define CORE_HANDOVER_REPLY_WRITER_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "core/handover/peer_codec.h"
#include "core/runtime/http_server.h"

namespace jujuberock::handover {

// Adds to a response what the host that has handed the request over needs.
class ReplyWriter : public runtime::ResponseWriter {
 public:
  ReplyWriter(runtime::ResponseWriter& inner, std::string send_id)
      : inner(inner), send_id(std::move(send_id)) {}

  // The endpoint whose answer follows.
  void SetEndpoint(AnsweringEndpoint endpoint) {
    this->reply.endpoint = std::move(endpoint);
  }
  // The response that follows says that the request has not run.
  void SetRefusal(Refusal refusal) { this->reply.refusal = refusal; }

  void Send(runtime::HttpResponse response) override {
    SetReply(response.headers, this->send_id, this->reply);
    this->inner.Send(std::move(response));
  }
  void StartStream(int status, runtime::HttpHeaders headers) override {
    SetReply(headers, this->send_id, this->reply);
    this->inner.StartStream(status, std::move(headers));
  }
  void Write(std::string_view bytes) override { this->inner.Write(bytes); }
  void FinishStream() override { this->inner.FinishStream(); }
  bool started() const override { return this->inner.started(); }
  void OnCallerDisconnect(std::function<void()> callback) override {
    this->inner.OnCallerDisconnect(std::move(callback));
  }
  bool MayHold(size_t bytes) override { return this->inner.MayHold(bytes); }

 private:
  runtime::ResponseWriter& inner;
  std::string send_id;
  Reply reply;
};

}  // namespace jujuberock::handover

#endif  // CORE_HANDOVER_REPLY_WRITER_H_
