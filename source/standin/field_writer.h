#ifndef STANDIN_FIELD_WRITER_H_
#define STANDIN_FIELD_WRITER_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "core/runtime/http_server.h"

namespace jujuberock::standin {

// Passes a response on with one more header field, unless its value is empty.
class FieldWriter : public runtime::ResponseWriter {
 public:
  FieldWriter(runtime::ResponseWriter& writer,
              std::string name,
              std::string value)
      : writer(writer), name(std::move(name)), value(std::move(value)) {}

  void Send(runtime::HttpResponse response) override {
    this->AddField(response.headers);
    this->writer.Send(std::move(response));
  }
  void StartStream(int status, runtime::HttpHeaders headers) override {
    this->AddField(headers);
    this->writer.StartStream(status, std::move(headers));
  }
  void Write(std::string_view bytes) override { this->writer.Write(bytes); }
  void FinishStream() override { this->writer.FinishStream(); }
  bool started() const override { return this->writer.started(); }
  void OnCallerDisconnect(std::function<void()> callback) override {
    this->writer.OnCallerDisconnect(std::move(callback));
  }

 private:
  void AddField(runtime::HttpHeaders& headers) const {
    if (!this->value.empty())
      headers.Set(this->name, this->value);
  }

  runtime::ResponseWriter& writer;
  std::string name;
  std::string value;
};

// The writer of a response that names its request, so that the connection can
// be used again.
inline FieldWriter NameRequest(const runtime::HttpRequest& request,
                               runtime::ResponseWriter& writer) {
  constexpr const char* kField = "Jujuberock-Request-Id";
  return {writer, kField,
          std::string(request.headers.Find(kField).value_or(""))};
}

}  // namespace jujuberock::standin

#endif  // STANDIN_FIELD_WRITER_H_
