// Measures what a host adds to requests, on loopback and in one process. Fakes,
// hosts and load generators run on workers of their own.

#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "bench/fakes.h"
#include "core/caller/key_directory.h"
#include "core/runtime/await.h"
#include "core/runtime/http_client.h"
#include "core/runtime/sleep.h"
#include "core/serve/host.h"

namespace jujuberock::bench {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using runtime::Address;
using runtime::HttpRequest;
using Clock = std::chrono::steady_clock;

constexpr const char* kKey = "bench-key";
constexpr int kLatencyRequests = 4000;
constexpr int kWarmUpRequests = 500;
constexpr int kRounds = 5;
constexpr std::chrono::seconds kThroughputTime{2};
constexpr int kThroughputConnections = 32;
constexpr int kOpenStreams = 1000;

// Goals of section 9 of the design.
constexpr double kMedianGoalMs = 0.3;
constexpr double kTailGoalMs = 1.0;
constexpr double kShareGoal = 1.0 / 3;
constexpr double kMemoryGoalMb = 64;

std::string HexHash(const std::string& key) {
  std::string hex;
  for (const uint8_t byte : caller::HashKey(key)) {
    char digits[3];
    std::snprintf(digits, sizeof(digits), "%02x", byte);
    hex += digits;
  }
  return hex;
}

double ResidentMb() {
  std::ifstream statm("/proc/self/statm");
  size_t pages = 0;
  size_t resident = 0;
  statm >> pages >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

// A bare Beast echo on the same scheduler and one worker: the reference for
// forwarded requests per second.
class BareEcho {
 public:
  BareEcho() {
    this->pool.Run([this] {
      this->acceptor = std::make_unique<tcp::acceptor>(
          runtime::CurrentIo(),
          tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
      runtime::SpawnHere([this] { this->Accept(); });
    });
  }
  ~BareEcho() {
    this->pool.Run([this] { this->acceptor->close(); });
  }

  Address address() const {
    return {"127.0.0.1", this->acceptor->local_endpoint().port()};
  }

 private:
  void Accept() {
    while (true) {
      boost::system::error_code error;
      auto socket = std::make_shared<tcp::socket>(
          this->acceptor->async_accept(runtime::Await(error)));
      if (error)
        return;
      runtime::SpawnHere([socket] { Echo(std::move(*socket)); });
    }
  }

  static void Echo(tcp::socket socket) {
    boost::system::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (!error) {
      http::request<http::string_body> request;
      http::async_read(stream, buffer, request, runtime::Await(error));
      if (error)
        return;
      http::response<http::string_body> response(http::status::ok, 11);
      response.body() = std::move(request.body());
      response.prepare_payload();
      http::async_write(stream, response, runtime::Await(error));
    }
  }

  runtime::WorkerPool pool{1};
  std::unique_ptr<tcp::acceptor> acceptor;
};

struct Latency {
  double median = 0;
  double p99 = 0;
};

Latency LatencyOf(std::vector<double>& milliseconds) {
  std::sort(milliseconds.begin(), milliseconds.end());
  return {milliseconds[milliseconds.size() / 2],
          milliseconds[milliseconds.size() * 99 / 100]};
}

// Sends one request after the other on one connection.
std::vector<double> Time(runtime::HttpClient& client,
                         const Address& address,
                         const HttpRequest& request,
                         int count) {
  std::vector<double> milliseconds;
  for (int i = 0; i < count; ++i) {
    const auto start = Clock::now();
    const auto response = client.Fetch(address, request);
    const std::chrono::duration<double, std::milli> took = Clock::now() - start;
    CHECK_EQ(response.status, 200) << response.body;
    milliseconds.push_back(took.count());
  }
  return milliseconds;
}

struct Pair {
  Address direct_address;
  HttpRequest direct;
  Address forwarded_address;
  HttpRequest forwarded;
};

// Direct and forwarded calls take turns in short rounds, so that what else the
// machine does meets both alike.
void MeasureLatency(const char* name, const Pair& pair) {
  runtime::WorkerPool pool(1);
  std::vector<double> direct;
  std::vector<double> forwarded;
  pool.Run([&] {
    runtime::HttpClient client(pool, {});
    Time(client, pair.direct_address, pair.direct, kWarmUpRequests);
    Time(client, pair.forwarded_address, pair.forwarded, kWarmUpRequests);
    for (int i = 0; i < kRounds * 8; ++i) {
      const int count = kLatencyRequests / (kRounds * 8);
      for (const double ms :
           Time(client, pair.direct_address, pair.direct, count))
        direct.push_back(ms);
      for (const double ms :
           Time(client, pair.forwarded_address, pair.forwarded, count))
        forwarded.push_back(ms);
    }
  });
  const Latency without = LatencyOf(direct);
  const Latency with = LatencyOf(forwarded);
  std::printf(
      "%-18s direct p50 %.3f p99 %.3f ms; through a host p50 %.3f p99 %.3f "
      "ms; added p50 %.3f (goal < %.1f) p99 %.3f (goal < %.1f)\n",
      name, without.median, without.p99, with.median, with.p99,
      with.median - without.median, kMedianGoalMs, with.p99 - without.p99,
      kTailGoalMs);
}

// Requests per second with many connections at once.
double Throughput(const Address& address, const HttpRequest& request) {
  runtime::WorkerPool pool(3);
  runtime::HttpClient client(pool, {});
  std::atomic<uint64_t> done{0};
  std::atomic<int> running{kThroughputConnections};
  const auto end = Clock::now() + kThroughputTime;
  for (int i = 0; i < kThroughputConnections; ++i) {
    pool.Spawn([&] {
      while (Clock::now() < end) {
        CHECK_EQ(client.Fetch(address, request).status, 200);
        ++done;
      }
      --running;
    });
  }
  while (running > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  return static_cast<double>(done) / common::ToSeconds(kThroughputTime);
}

void MeasureThroughput(const Address& host,
                       const HttpRequest& plain,
                       const HttpRequest& completion) {
  BareEcho echo;
  const HttpRequest bare{"POST", "/", {}, plain.body};
  std::vector<double> bare_rates;
  std::vector<double> plain_rates;
  std::vector<double> completion_rates;
  for (int i = 0; i < kRounds; ++i) {
    bare_rates.push_back(Throughput(echo.address(), bare));
    plain_rates.push_back(Throughput(host, plain));
    completion_rates.push_back(Throughput(host, completion));
  }
  const double bare_rate = LatencyOf(bare_rates).median;
  const double plain_rate = LatencyOf(plain_rates).median;
  const double completion_rate = LatencyOf(completion_rates).median;
  std::printf(
      "requests/s, one worker: bare echo %.0f; plain calls %.0f, share %.2f "
      "(goal >= %.2f); completions of one token %.0f, share %.2f\n",
      bare_rate, plain_rate, plain_rate / bare_rate, kShareGoal,
      completion_rate, completion_rate / bare_rate);
}

// Open sockets of callers, without buffers of an HTTP client, since all run in
// this process.
void MeasureMemory(const Address& host, const std::string& request) {
  boost::asio::io_context io;
  const tcp::endpoint target(boost::asio::ip::make_address(host.ip), host.port);
  std::vector<tcp::socket> callers;
  const double before = ResidentMb();
  for (int i = 0; i < kOpenStreams; ++i) {
    callers.emplace_back(io);
    callers.back().connect(target);
    boost::asio::write(callers.back(), boost::asio::buffer(request));
  }
  for (tcp::socket& caller : callers) {
    // The first event of the stream has arrived.
    char bytes[2048];
    std::string received;
    while (received.find("data: ") == std::string::npos)
      received.append(bytes, caller.read_some(boost::asio::buffer(bytes)));
  }
  std::printf(
      "%d open streams: %.1f MB resident, host and fake engine together (goal "
      "for the host < %.0f)\n",
      kOpenStreams, ResidentMb() - before, kMemoryGoalMb);
}

serve::Settings HostSettings(const Address& platform) {
  serve::Settings settings;
  settings.host_name = "bench";
  settings.zone = "sauce";
  settings.caller_address = "127.0.0.1:0";
  settings.operator_address = "127.0.0.1:0";
  settings.host_address = "127.0.0.1:0";
  settings.platform_address = platform.ToString();
  settings.deployment_key = "0123456789abcdef";
  settings.worker_threads = 1;
  // Streams that are held send nothing for longer than usual.
  settings.token_idle_limit = std::chrono::seconds(60);
  return settings;
}

void WaitReady(const Address& operators) {
  runtime::WorkerPool pool(1);
  pool.Run([&] {
    runtime::HttpClient client(pool, {});
    while (client.Fetch(operators, {"GET", "/readyz", {}, ""}).status != 200)
      runtime::SleepFor(std::chrono::milliseconds(20));
  });
}

HttpRequest Authorized(std::string target, std::string body) {
  return {"POST",
          std::move(target),
          {{"Authorization", std::string("Bearer ") + kKey}},
          std::move(body)};
}

void RunOverhead() {
  FakeEngine engine;
  FakeServer plain(
      [](const HttpRequest& request, runtime::ResponseWriter& writer) {
        writer.Send({200, {}, request.body});
      });
  FakeServer platform(FixedPlatform(engine.address().ToString(),
                                    plain.address().ToString(), HexHash(kKey)));
  serve::Host host(HostSettings(platform.address()), [] {});
  WaitReady(host.operator_address());
  const Address callers = host.caller_address();
  const std::string text(128, 'x');
  const HttpRequest plain_call = Authorized("/services/echo/x", text);
  const HttpRequest completion = Authorized(
      "/v1/completions", "{\"model\":\"model-a\",\"prompt\":\"" + text +
                             "\",\"max_tokens\":1,\"stream\":true}");
  const HttpRequest generate{"POST",
                             "/v1/generate",
                             {},
                             "{\"request_id\":\"r\",\"team\":\"alfa\","
                             "\"model\":\"model-a\",\"version\":\"v1\","
                             "\"prompt\":\"" +
                                 text + "\",\"max_tokens\":1}"};
  MeasureLatency("completion",
                 {engine.address(), generate, callers, completion});
  MeasureLatency(
      "plain call",
      {plain.address(), {"POST", "/x", {}, text}, callers, plain_call});
  MeasureThroughput(callers, plain_call, completion);
  const std::string held =
      "{\"model\":\"model-a\",\"prompt\":\"hold\",\"max_tokens\":1,"
      "\"stream\":true}";
  MeasureMemory(
      callers, std::string("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                           "Authorization: Bearer ") +
                   kKey + "\r\nContent-Length: " + std::to_string(held.size()) +
                   "\r\n\r\n" + held);
  engine.Release();
}

}  // namespace
}  // namespace jujuberock::bench

int main(int, char** argv) {
  google::InitGoogleLogging(argv[0]);
  jujuberock::bench::RunOverhead();
  std::fflush(stdout);
  // The callers' sockets are closed and nothing is left to release.
  std::_Exit(0);
}
