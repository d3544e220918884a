// A peer that belongs to the deployment and sends broken answers.
#include <algorithm>
#include <array>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "core/host/handshake.h"
#include "core/host/http2_transport.h"
#include "core/runtime/wall_timer_service.h"

namespace jujuberock::host {
namespace {

using boost::asio::ip::tcp;
using common::Outcome;
using common::ResultCode;

constexpr const char* kKey = "secret";
constexpr const char* kPeerName = "host-b";
constexpr size_t kPrefaceBytes = 24;
constexpr size_t kFrameHeaderBytes = 9;

// Types and flags of HTTP/2 frames (RFC 9113, section 6).
constexpr char kDataFrame = 0;
constexpr char kHeadersFrame = 1;
constexpr char kSettingsFrame = 4;
constexpr char kEndStream = 1;
constexpr char kEndHeaders = 4;

std::string Frame(char type, char flags, char stream, const std::string& body) {
  const auto bytes = static_cast<uint32_t>(body.size());
  std::string frame;
  for (const int shift : {16, 8, 0})
    frame += static_cast<char>(bytes >> shift);
  frame += {type, flags, 0, 0, 0, stream};
  return frame + body;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

// The head of the answer to the first request, without compression.
std::string Head(const Fields& fields, char flags) {
  std::string block;
  for (const auto& [name, value] : fields) {
    block += '\0';
    block += static_cast<char>(name.size()) + name;
    block += static_cast<char>(value.size()) + value;
  }
  return Frame(kHeadersFrame, static_cast<char>(kEndHeaders | flags), 1, block);
}

// Authenticates one client, answers its first request with the given frames and
// resets the connection, or keeps it until the client closes it.
class RawHost {
 public:
  enum class End { kKeep, kReset };

  RawHost(std::string answer, End end)
      : thread([this, answer = std::move(answer), end] {
          tcp::socket socket(this->io);
          this->acceptor.accept(socket);
          try {
            Authenticate(socket);
            AwaitRequest(socket);
            boost::asio::write(
                socket,
                boost::asio::buffer(Frame(kSettingsFrame, 0, 0, "") + answer));
            if (end == End::kKeep)
              while (true)
                ReadBytes(socket, 1);
          } catch (const boost::system::system_error&) {
            return;  // The client has closed the connection.
          }
          socket.set_option(boost::asio::socket_base::linger(true, 0));
        }) {}
  ~RawHost() { this->thread.join(); }

  runtime::Address address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

 private:
  static std::string ReadBytes(tcp::socket& socket, size_t count) {
    std::string bytes(count, '\0');
    boost::asio::read(socket, boost::asio::buffer(bytes));
    return bytes;
  }

  static void Authenticate(tcp::socket& socket) {
    HandshakeTranscript transcript;
    transcript.server_name = kPeerName;
    std::string challenge(kHandshakeMagic);
    challenge.append(kNonceBytes, '\0');
    boost::asio::write(socket, boost::asio::buffer(challenge));
    const std::string nonce = ReadBytes(socket, kNonceBytes);
    std::copy(nonce.begin(), nonce.end(), transcript.client_nonce.begin());
    const auto name_bytes = static_cast<size_t>(ReadBytes(socket, 1)[0]);
    transcript.client_name = ReadBytes(socket, name_bytes);
    ReadBytes(socket, kProofBytes);
    const Proof proof = ComputeProof(kKey, Role::kServer, transcript);
    std::string reply(1, static_cast<char>(transcript.server_name.size()));
    reply += transcript.server_name;
    reply.append(proof.begin(), proof.end());
    boost::asio::write(socket, boost::asio::buffer(reply));
  }

  static void AwaitRequest(tcp::socket& socket) {
    ReadBytes(socket, kPrefaceBytes);
    while (true) {
      const std::string header = ReadBytes(socket, kFrameHeaderBytes);
      const auto byte = [&](size_t i) {
        return static_cast<size_t>(static_cast<unsigned char>(header[i]));
      };
      ReadBytes(socket, byte(0) << 16 | byte(1) << 8 | byte(2));
      const bool has_body =
          header[3] == kDataFrame || header[3] == kHeadersFrame;
      if (has_body && (header[4] & kEndStream))
        return;
    }
  }

  boost::asio::io_context io;
  tcp::acceptor acceptor{
      this->io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  std::thread thread;
};

// Returns the body that a call got, or the error that it threw.
struct CallResult {
  std::string body;
  ResultCode code = ResultCode::kOk;
  Outcome outcome = Outcome::kDone;
};

CallResult CallPeer(const std::string& answer,
                    RawHost::End end = RawHost::End::kKeep) {
  RawHost peer(answer, end);
  runtime::WorkerPool pool(1);
  runtime::WallTimerService timers(pool, 0);
  common::MetricRegistry counters;
  Http2TransportOptions options;
  options.name = "host-a";
  options.listen = {"127.0.0.1", 0};
  options.deployment_key = kKey;
  Http2Transport client(pool, timers, counters, options,
                        [&](const std::string&) { return peer.address(); });
  CallResult result;
  pool.Run([&] {
    try {
      result.body = client.Call(kPeerName, "echo", "x",
                                timers.Now() + std::chrono::seconds(5));
    } catch (const common::Error& error) {
      result.code = error.code();
      result.outcome = error.outcome();
    }
  });
  return result;
}

const std::string kLastData = Frame(kDataFrame, kEndStream, 1, "ok");

TEST_CASE("a sound answer of a raw peer is received") {
  const CallResult result = CallPeer(Head({{":status", "200"}}, 0) + kLastData);
  CHECK(result.code == ResultCode::kOk);
  CHECK(result.body == "ok");
}

// Guards against believing what a malformed response says of the call.
TEST_CASE("an answer with a status outside HTTP is malformed") {
  const auto stale = std::to_string(static_cast<int>(ResultCode::kStaleFence));
  for (const char* status : {"000", "099", "600", "999", "20", "2000", "2x0"}) {
    INFO(status);
    const CallResult result =
        CallPeer(Head({{":status", status},
                       {"result-code", stale},
                       {"outcome", std::string(NameOf(Outcome::kNotRun))}},
                      0) +
                 kLastData);
    CHECK(result.code == ResultCode::kProtocolError);
    CHECK(result.outcome == Outcome::kUnknown);
  }
}

// Guards against taking a part of an answer for the whole.
TEST_CASE("an answer whose connection was reset is broken") {
  const std::string part = Frame(kDataFrame, 0, 1, "o");
  for (const std::string& answer :
       {Head({{":status", "200"}}, 0), Head({{":status", "200"}}, 0) + part}) {
    const CallResult result = CallPeer(answer, RawHost::End::kReset);
    CHECK(result.code == ResultCode::kPeerUnavailable);
    CHECK(result.outcome == Outcome::kUnknown);
  }
}

// Guards against using an answer whose head is malformed.
TEST_CASE("an answer with a malformed name of a field is malformed") {
  for (const std::string& name :
       {std::string("x-o dd"), std::string("x-odd "), std::string(" x-odd"),
        std::string("x-o\tdd"),
        std::string("x-o\x01"
                    "dd"),
        std::string("x-o\0dd", 6),
        std::string("x-o\x7f"
                    "dd"),
        std::string("x-o\rdd"), std::string("x-o:dd")}) {
    INFO(name);
    const CallResult result =
        CallPeer(Head({{":status", "200"}, {name, "1"}}, 0) + kLastData);
    CHECK(result.code == ResultCode::kProtocolError);
    CHECK(result.outcome == Outcome::kUnknown);
  }
}

}  // namespace
}  // namespace jujuberock::host
