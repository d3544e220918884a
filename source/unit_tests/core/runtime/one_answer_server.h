#ifndef UNIT_TESTS_CORE_RUNTIME_ONE_ANSWER_SERVER_H_
#define UNIT_TESTS_CORE_RUNTIME_ONE_ANSWER_SERVER_H_

#include <string>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "core/runtime/http_types.h"

namespace jujuberock::runtime {

// Answers the head of one request with the same bytes, and then closes the
// connection, with a TCP reset if `reset` is set.
class OneAnswerServer {
 public:
  explicit OneAnswerServer(std::string answer, bool reset = false)
      : thread([this, answer = std::move(answer), reset] {
          Tcp::socket socket(this->io);
          this->acceptor.accept(socket);
          boost::asio::streambuf request;
          boost::asio::read_until(socket, request, "\r\n\r\n");
          boost::system::error_code ignored;
          boost::asio::write(socket, boost::asio::buffer(answer), ignored);
          if (reset)
            socket.set_option(boost::asio::socket_base::linger(true, 0));
        }) {}
  ~OneAnswerServer() { this->thread.join(); }

  Address address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

 private:
  using Tcp = boost::asio::ip::tcp;

  boost::asio::io_context io;
  Tcp::acceptor acceptor{
      this->io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  std::thread thread;
};

}  // namespace jujuberock::runtime

#endif  // UNIT_TESTS_CORE_RUNTIME_ONE_ANSWER_SERVER_H_
