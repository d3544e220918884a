#include "core/forward/response_relay.h"

#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "core/runtime/boot_clock.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/forward/fake_endpoint.h"

namespace jujuberock::forward {
namespace {

// Records what reaches the caller.
class RecordingWriter : public runtime::ResponseWriter {
 public:
  void Send(runtime::HttpResponse response) override {
    this->body = std::move(response.body);
    this->finished = true;
  }
  void StartStream(int, runtime::HttpHeaders) override {
    this->has_started = true;
  }
  void Write(std::string_view bytes) override { this->body += bytes; }
  void FinishStream() override { this->finished = true; }
  bool started() const override { return this->has_started || this->finished; }
  void OnCallerDisconnect(std::function<void()>) override {}

  std::string body;
  bool has_started = false;
  bool finished = false;
};

class EventStreamCodec : public TestCodec {
 public:
  ResponseHead DecodeResponseHead(
      int status,
      const runtime::HttpHeaders& headers) const override {
    ResponseHead head = TestCodec::DecodeResponseHead(status, headers);
    for (const char* name :
         {"Content-Type", "Content-Range", "Content-Encoding"}) {
      if (const auto value = headers.Find(name))
        head.forwarded_headers.Add(name, std::string(*value));
    }
    return head;
  }
};

enum class Relay { kStream, kWhole };

struct Relayed {
  std::string body;
  bool finished = false;
  std::optional<SendFailure> failure;
  ConnectionEnd connection_end = ConnectionEnd::kOpen;
};

// Relays the answers of several endpoints as one, each to its end.
Relayed RelayAnswers(Relay relay,
                     const std::vector<std::string>& answers,
                     bool reset,
                     bool is_running) {
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  std::vector<std::unique_ptr<FakeEndpoint>> peers;
  for (const std::string& answer : answers)
    peers.push_back(std::make_unique<FakeEndpoint>(
        std::vector<std::string>{answer}, reset));
  RecordingWriter writer;
  Relayed result;
  workers.Run([&] {
    ConnectionPool pool({}, counters);
    const EventStreamCodec codec;
    CallerRequest request;
    request.method = "GET";
    request.target = "/";
    request.attempt_id = "a";
    ResponseRelay response(writer);
    for (const auto& peer : peers) {
      EndpointSend send(pool, codec, peer->address());
      result.failure.reset();
      try {
        const auto head = send.Open(
            request, {}, runtime::BootNow() + std::chrono::seconds(5));
        if (relay == Relay::kStream)
          response.RelayStream(
              send, head, std::chrono::seconds(5), [] {},
              [&] { return is_running; });
        else
          response.RelayWhole(
              send, head, [] {}, [&] { return is_running; });
      } catch (const SendError& error) {
        result.failure = error.failure();
      }
      result.connection_end = send.connection_end();
    }
  });
  result.body = writer.body;
  result.finished = writer.finished;
  return result;
}

Relayed RelayAnswer(Relay relay,
                    const std::string& answer,
                    bool reset,
                    bool is_running = true) {
  return RelayAnswers(relay, {answer}, reset, is_running);
}

// Relays `first`, which breaks off, and then `second` as its rest.
Relayed RelayResumed(const std::string& first, const std::string& second) {
  return RelayAnswers(Relay::kStream, {first, second}, false, true);
}

const std::string kHead =
    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n";
const std::string kEvent = "id: 1\ndata: x\n\n";
const std::string kPartialEvent = "id: 2\ndata: y\n";

std::string Unframed(const std::string& body) {
  return kHead + "\r\n" + body;
}
std::string WithLength(const std::string& body, size_t missing = 0) {
  return kHead + "Content-Length: " + std::to_string(body.size() + missing) +
         "\r\n\r\n" + body;
}
std::string Chunked(const std::string& body, bool ends = true) {
  std::string answer = kHead + "Transfer-Encoding: chunked\r\n\r\n";
  for (const char c : body)
    answer += std::string("1\r\n") + c + "\r\n";
  return answer + (ends ? "0\r\n\r\n" : "");
}

// Guards against passing a broken stream on as complete, which a caller cannot
// notice: the end of the framing, or of the connection, says nothing about an
// event that has not ended.
TEST_CASE("a stream that ends inside an event has been broken off") {
  for (const std::string& before : {std::string(), kEvent}) {
    for (const std::string& rest : {kPartialEvent, std::string("i")}) {
      const std::string body = before + rest;
      for (const std::string& answer :
           {Unframed(body), WithLength(body), WithLength(body, 5),
            Chunked(body), Chunked(body, false)}) {
        for (const bool reset : {false, true}) {
          INFO(answer << " reset: " << reset);
          const Relayed relayed = RelayAnswer(Relay::kStream, answer, reset);
          CHECK(relayed.failure);
          CHECK_FALSE(relayed.finished);
          CHECK((relayed.body.empty() || relayed.body == before));
        }
      }
    }
  }
}

TEST_CASE("a stream that ends between events is complete by its framing") {
  const std::string body = kEvent + "id: 2\ndata: y\n\n";
  for (const std::string& answer :
       {Unframed(body), WithLength(body), Chunked(body)}) {
    INFO(answer);
    const Relayed relayed = RelayAnswer(Relay::kStream, answer, false);
    CHECK_FALSE(relayed.failure);
    CHECK(relayed.finished);
    CHECK(relayed.body == body);
  }
  for (const std::string& answer :
       {WithLength(body, 5), Chunked(body, false)}) {
    INFO(answer);
    CHECK(RelayAnswer(Relay::kStream, answer, false).failure);
  }
  for (const std::string& answer :
       {Unframed(body), WithLength(body, 5), Chunked(body, false)}) {
    INFO(answer);
    CHECK(RelayAnswer(Relay::kStream, answer, true).failure);
  }
}

// Guards against a stream that looks complete because its endpoint crashed
// between two events: without framing, only the end of the endpoint shows it.
TEST_CASE("an unframed stream whose endpoint has ended has been broken off") {
  const Relayed crashed =
      RelayAnswer(Relay::kStream, Unframed(kEvent), false, false);
  CHECK(crashed.failure == SendFailure::kBroken);
  CHECK_FALSE(crashed.finished);
  CHECK(crashed.body == kEvent);
  for (const std::string& answer : {WithLength(kEvent), Chunked(kEvent)}) {
    INFO(answer);
    CHECK(RelayAnswer(Relay::kStream, answer, false, false).finished);
  }
}

// Guards against an empty success from an endpoint that has failed between the
// head and the first event. Only framing can say that a stream has no events.
TEST_CASE("an unframed stream without events has been broken off") {
  for (const char* body : {"", ": wait\n\n", "\n"}) {
    for (const bool reset : {false, true}) {
      INFO(body << " reset: " << reset);
      const Relayed relayed =
          RelayAnswer(Relay::kStream, Unframed(body), reset);
      CHECK(relayed.failure == SendFailure::kBroken);
      CHECK_FALSE(relayed.finished);
    }
  }
  for (const std::string& answer : {WithLength(""), Chunked("")}) {
    INFO(answer);
    CHECK(RelayAnswer(Relay::kStream, answer, false).finished);
  }
}

// Comments are no events, so a stream may end in one.
TEST_CASE("a stream that ends in a comment is complete") {
  const std::string body = kEvent + ": end\n";
  for (const std::string& answer :
       {Unframed(body), WithLength(body), Chunked(body)}) {
    INFO(answer);
    const Relayed relayed = RelayAnswer(Relay::kStream, answer, false);
    CHECK(relayed.finished);
    CHECK(relayed.body == body);
  }
}

TEST_CASE("an answer that ends inside its head has been broken off") {
  for (const Relay relay : {Relay::kStream, Relay::kWhole}) {
    for (const bool reset : {false, true}) {
      CHECK(RelayAnswer(relay, kHead, reset).failure == SendFailure::kBroken);
    }
  }
}

TEST_CASE("a whole answer is complete by its framing") {
  const std::string body = "ok";
  for (const std::string& answer :
       {Unframed(body), WithLength(body), Chunked(body), Unframed("")}) {
    INFO(answer);
    const Relayed relayed = RelayAnswer(Relay::kWhole, answer, false);
    CHECK_FALSE(relayed.failure);
    CHECK(relayed.finished);
  }
  for (const std::string& answer :
       {WithLength(body, 5), Chunked(body, false)}) {
    INFO(answer);
    CHECK(RelayAnswer(Relay::kWhole, answer, false).failure);
  }
  for (const std::string& answer :
       {Unframed(body), WithLength(body, 5), Chunked(body, false)}) {
    INFO(answer);
    CHECK(RelayAnswer(Relay::kWhole, answer, true).failure);
  }
}

// Guards against a short body of a plain answer that looks whole because its
// endpoint crashed: without framing, only the end of the endpoint shows it.
TEST_CASE("an unframed answer whose endpoint has ended has been broken off") {
  const std::string long_body(2 * ResponseRelay::kMaxCollectedBytes, 'x');
  for (const std::string& body : {std::string("o"), std::string(), long_body}) {
    INFO(body.size());
    const Relayed crashed =
        RelayAnswer(Relay::kWhole, Unframed(body), false, false);
    CHECK(crashed.failure == SendFailure::kBroken);
    CHECK_FALSE(crashed.finished);
    for (const std::string& answer : {WithLength(body), Chunked(body)}) {
      CHECK(RelayAnswer(Relay::kWhole, answer, false, false).finished);
    }
  }
}

// Guards against keeping a connection whose end was the end of the answer, and
// against a log that calls it open.
TEST_CASE("the connection of an unframed answer ends with it") {
  const std::string body = "ok";
  CHECK(RelayAnswer(Relay::kWhole, Unframed(body), false).connection_end ==
        ConnectionEnd::kPeer);
  CHECK(RelayAnswer(Relay::kWhole, Unframed(body), true).connection_end ==
        ConnectionEnd::kBroken);
  CHECK(RelayAnswer(Relay::kWhole, WithLength(body), false).connection_end ==
        ConnectionEnd::kOpen);
}

// A body above the limit of collected bytes is passed on as it arrives.
TEST_CASE("a long unframed answer is complete unless it is reset") {
  const std::string body(2 * ResponseRelay::kMaxCollectedBytes, 'x');
  const Relayed complete = RelayAnswer(Relay::kWhole, Unframed(body), false);
  CHECK(complete.finished);
  CHECK(complete.body.size() == body.size());
  const Relayed broken = RelayAnswer(Relay::kWhole, Unframed(body), true);
  CHECK(broken.failure == SendFailure::kBroken);
  CHECK_FALSE(broken.finished);
}

// Guards against bytes of an answer that continues no stream in the middle of
// one, and against taking its end for the end of the stream.
TEST_CASE("only an answer that continues a stream resumes it") {
  const std::string first = Chunked(kEvent + kPartialEvent);
  const std::string rest = "id: 2\ndata: y\n\n";
  const auto answer = [&](const std::string& head) {
    return head + "Content-Length: " + std::to_string(rest.size()) +
           "\r\n\r\n" + rest;
  };
  const std::string id = "Id: a\r\n";
  const std::string type = "Content-Type: text/event-stream\r\n";
  for (const std::string& foreign :
       {"HTTP/1.1 200 OK\r\n" + id + "Content-Type: text/plain\r\n",
        "HTTP/1.1 200 OK\r\n" + id, "HTTP/1.1 206 Part\r\n" + id + type,
        "HTTP/1.1 500 Error\r\n" + id + type,
        "HTTP/1.1 200 OK\r\n" + id + type + "Content-Range: bytes 0-9/30\r\n",
        "HTTP/1.1 200 OK\r\n" + id + type + "Content-Encoding: gzip\r\n"}) {
    INFO(foreign);
    const Relayed relayed = RelayResumed(first, answer(foreign));
    CHECK(relayed.failure == SendFailure::kMalformed);
    CHECK_FALSE(relayed.finished);
    CHECK(relayed.body == kEvent);
  }
  for (const char* spelling : {"text/event-stream", "Text/Event-Stream",
                               "text/event-stream;charset=utf-8"}) {
    INFO(spelling);
    const Relayed relayed =
        RelayResumed(first, answer("HTTP/1.1 200 OK\r\n" + id +
                                   "Content-Type: " + spelling + "\r\n"));
    CHECK(relayed.finished);
    CHECK(relayed.body == kEvent + rest);
  }
}

// Guards against a check for broken events that hangs on the spelling of a
// type.
TEST_CASE(
    "a stream of any type that ends inside an event has been broken off") {
  for (const char* type : {"Content-Type: text/plain\r\n",
                           "Content-Type: Text/Event-Stream\r\n", ""}) {
    INFO(type);
    const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\n";
    const Relayed cut = RelayAnswer(
        Relay::kStream, head + type + "\r\n" + kEvent + kPartialEvent, false);
    CHECK(cut.failure == SendFailure::kBroken);
    CHECK_FALSE(cut.finished);
    CHECK(cut.body == kEvent);
    CHECK(RelayAnswer(Relay::kStream, head + type + "\r\n" + kEvent, false)
              .finished);
  }
}

}  // namespace
}  // namespace jujuberock::forward
