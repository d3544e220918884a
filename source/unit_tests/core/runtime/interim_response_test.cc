// Peers that send interim responses before the one to the request.
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::runtime {
namespace {

using Tcp = boost::asio::ip::tcp;

const std::string kFinal = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Answers one request with the same bytes.
class OneAnswerServer {
 public:
  explicit OneAnswerServer(std::string answer)
      : thread([this, answer = std::move(answer)] {
          Tcp::socket socket(this->io);
          this->acceptor.accept(socket);
          boost::asio::streambuf request;
          boost::asio::read_until(socket, request, "\r\n\r\n");
          boost::asio::write(socket, boost::asio::buffer(answer));
        }) {}
  ~OneAnswerServer() { this->thread.join(); }

  Address address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

 private:
  boost::asio::io_context io;
  Tcp::acceptor acceptor{
      this->io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  std::thread thread;
};

HttpResponse FetchFrom(const OneAnswerServer& server) {
  WorkerPool pool(1);
  HttpClient client(pool, {});
  HttpResponse response;
  pool.Run([&] {
    response = client.Fetch(server.address(), {"GET", "/", {}, ""});
  });
  return response;
}

}  // namespace

// Guards against callers that get an interim response as the final one, and
// wait for the final one without end.
TEST_CASE("an interim response is not the response to the request") {
  const auto interim =
      GENERATE(as<std::string>(), "HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
  const OneAnswerServer server(interim + kFinal);
  const HttpResponse response = FetchFrom(server);
  CHECK(response.status == 200);
  CHECK(response.body == "ok");
}

TEST_CASE("a peer that sends only interim responses has failed") {
  std::string answer;
  for (int i = 0; i < 100; ++i)
    answer += "HTTP/1.1 100 Continue\r\n\r\n";
  const OneAnswerServer server(answer + kFinal);
  CHECK_THROWS_AS(FetchFrom(server), HttpError);
}

}  // namespace jujuberock::runtime
