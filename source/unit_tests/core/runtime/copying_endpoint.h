#ifndef UNIT_TESTS_CORE_RUNTIME_COPYING_ENDPOINT_H_
#define UNIT_TESTS_CORE_RUNTIME_COPYING_ENDPOINT_H_

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "core/runtime/http_types.h"

namespace jujuberock::runtime {

// Answers the first request on each connection; further ones with a copy of the
// first response if `copies` is set.
class CopyingEndpoint {
 public:
  // Returns the response to the request with this head, in full.
  using Answer = std::function<std::string(const std::string& head)>;

  CopyingEndpoint(Answer answer, bool copies)
      : answer(std::move(answer)),
        copies(copies),
        acceptor(this->io,
                 Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        thread([this] { this->Accept(); }) {}
  ~CopyingEndpoint() {
    this->stopping = true;
    Tcp::socket last(this->io);
    last.connect(this->acceptor.local_endpoint());
    this->thread.join();
    for (std::thread& connection : this->connections)
      connection.join();
  }

  runtime::Address address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }
  int connection_count() const { return this->accepted; }

  // The value of a field of a request, or nothing.
  static std::string FieldOf(const std::string& head, const std::string& name) {
    const size_t begin = head.find(name + ": ");
    if (begin == std::string::npos)
      return "";
    const size_t value = begin + name.size() + 2;
    return head.substr(value, head.find("\r\n", value) - value);
  }

 private:
  using Tcp = boost::asio::ip::tcp;

  void Accept() {
    while (true) {
      Tcp::socket socket(this->io);
      this->acceptor.accept(socket);
      if (this->stopping)
        return;
      ++this->accepted;
      this->connections.emplace_back(
          [this, connection = std::move(socket)]() mutable {
            this->Serve(connection);
          });
    }
  }

  void Serve(Tcp::socket& socket) {
    boost::asio::streambuf buffer;
    boost::system::error_code error;
    std::string first;
    while (!error) {
      const size_t size =
          boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
      if (error)
        return;
      const auto* data = static_cast<const char*>(buffer.data().data());
      const std::string head(data, size);
      const std::string length = FieldOf(head, "Content-Length");
      const size_t body = length.empty() ? 0 : std::stoul(length);
      if (buffer.size() < size + body)
        boost::asio::read(
            socket, buffer,
            boost::asio::transfer_at_least(size + body - buffer.size()), error);
      buffer.consume(size + body);
      const std::string own = this->answer(head);
      const bool is_first = first.empty();
      if (is_first)
        first = own;
      boost::asio::write(
          socket,
          boost::asio::buffer(this->copies && !is_first ? first + own : own),
          error);
    }
  }

  Answer answer;
  bool copies;
  std::atomic<bool> stopping{false};
  std::atomic<int> accepted{0};
  boost::asio::io_context io;
  Tcp::acceptor acceptor;
  std::list<std::thread> connections;
  std::thread thread;
};

}  // namespace jujuberock::runtime

#endif  // UNIT_TESTS_CORE_RUNTIME_COPYING_ENDPOINT_H_
