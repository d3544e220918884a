#ifndef STANDIN_NAMING_WRITER_H_
#define STANDIN_NAMING_WRITER_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "core/runtime/http_server.h"

namespace jujuberock::standin {

// Passes a response on and repeats the id of its request in it, if there is
// one.
class NamingWriter : public runtime::ResponseWriter {
 public:
  NamingWriter(const runtime::HttpRequest& request,
               runtime::ResponseWriter& writer)
      : id(request.headers.Find(kField).value_or("")), writer(writer) {}

  void Send(runtime::HttpResponse response) override {
    this->AddId(response.headers);
    this->writer.Send(std::move(response));
  }
  void StartStream(int status, runtime::HttpHeaders headers) override {
    this->AddId(headers);
    this->writer.StartStream(status, std::move(headers));
  }
  void Write(std::string_view bytes) override { this->writer.Write(bytes); }
  void FinishStream() override { this->writer.FinishStream(); }
  bool started() const override { return this->writer.started(); }
  void OnCallerDisconnect(std::function<void()> callback) override {
    this->writer.OnCallerDisconnect(std::move(callback));
  }

 private:
  static constexpr const char* kField = "Jujuberock-Request-Id";

  void AddId(runtime::HttpHeaders& headers) const {
    if (!this->id.empty())
      headers.Set(kField, this->id);
  }

  std::string id;
  runtime::ResponseWriter& writer;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_NAMING_WRITER_H_
