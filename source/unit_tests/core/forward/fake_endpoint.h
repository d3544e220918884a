#ifndef UNIT_TESTS_CORE_FORWARD_FAKE_ENDPOINT_H_
#define UNIT_TESTS_CORE_FORWARD_FAKE_ENDPOINT_H_

#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "core/forward/types.h"

namespace jujuberock::forward {

// Carries the attempt id in a plain `Id` header. Responses are signed and state
// that the request has run, unless a header says otherwise.
class TestCodec : public Codec {
 public:
  std::string_view attempt_id_field() const override { return "Id"; }
  CallerRequest DecodeRequest(const runtime::HttpRequest&) const override {
    return {};
  }
  runtime::HttpHeaders EncodeRequestHeaders(
      const CallerRequest& request,
      const SendParameters&) const override {
    return {{"Host", "h"}, {"Id", request.attempt_id}};
  }
  ResponseHead DecodeResponseHead(
      int status,
      const runtime::HttpHeaders& headers) const override {
    ResponseHead head;
    head.status = status;
    if (const auto id = headers.Find("Id"))
      head.attempt_id = std::string(*id);
    head.is_signed = !headers.Find("Unsigned");
    head.is_encoded = headers.Find("Encoded").has_value();
    head.promises_not_run = headers.Find("Promise").has_value();
    head.not_run = headers.Find("Not-Run").has_value();
    return head;
  }
  void AddRetryAfter(runtime::HttpHeaders&, common::Duration) const override {}
};

// Accepts one connection, answers each request on it with the next of
// `answers`, and then closes the connection, with a TCP reset if `reset` is
// set. If `exits` is set, it closes its port as well, like a process that ends.
class FakeEndpoint {
 public:
  FakeEndpoint(std::vector<std::string> answers, bool reset, bool exits = false)
      : answers(std::move(answers)), reset(reset), exits(exits) {
    this->thread = std::thread([this] { this->Serve(); });
  }
  ~FakeEndpoint() { this->thread.join(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

 private:
  using Tcp = boost::asio::ip::tcp;

  void Serve() {
    Tcp::socket socket(this->io);
    this->acceptor.accept(socket);
    boost::system::error_code error;
    boost::asio::streambuf buffer;
    for (const std::string& answer : this->answers) {
      const size_t size =
          boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
      if (error)
        return;
      buffer.consume(size);
      boost::asio::write(socket, boost::asio::buffer(answer), error);
    }
    if (this->reset)
      socket.set_option(boost::asio::socket_base::linger(true, 0), error);
    if (this->exits)
      this->acceptor.close(error);
    socket.close(error);
  }

  std::vector<std::string> answers;
  bool reset;
  bool exits;
  boost::asio::io_context io;
  Tcp::acceptor acceptor{
      io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  const unsigned short port = this->acceptor.local_endpoint().port();
  std::thread thread;
};

}  // namespace jujuberock::forward

#endif  // UNIT_TESTS_CORE_FORWARD_FAKE_ENDPOINT_H_
