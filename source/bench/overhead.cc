// Measures the overhead that a host adds to requests, over loopback in a single
// process. Fakes, hosts and load generators each run on their own workers.

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
#include "core/caller/api_key_registry.h"
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
constexpr std::chrono::seconds kThroughputDuration{2};
constexpr int kThroughputConnections = 32;
constexpr int kOpenStreams = 1000;

// Performance goals from section 9 of the design.
constexpr double kMedianGoalMs = 0.3;
constexpr double kTailGoalMs = 1.0;
constexpr double kThroughputShareGoal = 1.0 / 3;
constexpr double kMemoryGoalMb = 64;

std::string HexKeyHash(const std::string& key) {
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

// A minimal Beast echo server on one worker with the same scheduler:
// the baseline for forwarded requests per second.
class BareEchoServer {
 public:
  BareEchoServer() {
    this->pool.Run([this] {
      this->acceptor = std::make_unique<tcp::acceptor>(
          runtime::CurrentIoContext(),
          tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
      runtime::SpawnLocal([this] { this->Accept(); });
    });
  }
  ~BareEchoServer() {
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
      runtime::SpawnLocal([socket] { EchoRequests(std::move(*socket)); });
    }
  }

  static void EchoRequests(tcp::socket socket) {
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

// Median and 99th percentile of a series of measurements.
struct Summary {
  double median = 0;
  double p99 = 0;
};

// Sorts `values` in place.
Summary Summarize(std::vector<double>& values) {
  std::sort(values.begin(), values.end());
  return {values[values.size() / 2], values[values.size() * 99 / 100]};
}

// Sends `count` requests sequentially on one connection and returns the times
// in milliseconds.
std::vector<double> MeasureTimes(runtime::HttpClient& client,
                                 const Address& address,
                                 const HttpRequest& request,
                                 int count) {
  std::vector<double> milliseconds;
  for (int i = 0; i < count; ++i) {
    const auto start = Clock::now();
    const auto response = client.Fetch(
        address, request, {.body_limit_bytes = runtime::kStreamLimitBytes});
    const std::chrono::duration<double, std::milli> took = Clock::now() - start;
    CHECK_EQ(response.status, 200) << response.body;
    milliseconds.push_back(took.count());
  }
  return milliseconds;
}

struct RequestPair {
  Address direct_address;
  HttpRequest direct;
  Address forwarded_address;
  HttpRequest forwarded;
};

// Direct and forwarded calls alternate in short rounds, so that other load on
// the machine affects both equally.
void MeasureLatency(const char* name, const RequestPair& pair) {
  runtime::WorkerPool pool(1);
  std::vector<double> direct;
  std::vector<double> forwarded;
  pool.Run([&] {
    runtime::HttpClient client(pool, {});
    MeasureTimes(client, pair.direct_address, pair.direct, kWarmUpRequests);
    MeasureTimes(client, pair.forwarded_address, pair.forwarded,
                 kWarmUpRequests);
    for (int i = 0; i < kRounds * 8; ++i) {
      const int count = kLatencyRequests / (kRounds * 8);
      for (const double ms :
           MeasureTimes(client, pair.direct_address, pair.direct, count))
        direct.push_back(ms);
      for (const double ms :
           MeasureTimes(client, pair.forwarded_address, pair.forwarded, count))
        forwarded.push_back(ms);
    }
  });
  const Summary without = Summarize(direct);
  const Summary with = Summarize(forwarded);
  std::printf(
      "%-18s direct p50 %.3f p99 %.3f ms; through a host p50 %.3f p99 %.3f "
      "ms; added p50 %.3f (goal < %.1f) p99 %.3f (goal < %.1f)\n",
      name, without.median, without.p99, with.median, with.p99,
      with.median - without.median, kMedianGoalMs, with.p99 - without.p99,
      kTailGoalMs);
}

// Returns requests per second over many concurrent connections.
double Throughput(const Address& address, const HttpRequest& request) {
  runtime::WorkerPool pool(3);
  runtime::HttpClient client(pool, {});
  std::atomic<uint64_t> done{0};
  std::atomic<int> running{kThroughputConnections};
  const auto end = Clock::now() + kThroughputDuration;
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
  return static_cast<double>(done) / common::ToSeconds(kThroughputDuration);
}

void MeasureThroughput(const Address& host,
                       const HttpRequest& plain,
                       const HttpRequest& completion) {
  BareEchoServer echo;
  const HttpRequest bare{"POST", "/", {}, plain.body};
  std::vector<double> bare_rates;
  std::vector<double> plain_rates;
  std::vector<double> completion_rates;
  for (int i = 0; i < kRounds; ++i) {
    bare_rates.push_back(Throughput(echo.address(), bare));
    plain_rates.push_back(Throughput(host, plain));
    completion_rates.push_back(Throughput(host, completion));
  }
  const double bare_rate = Summarize(bare_rates).median;
  const double plain_rate = Summarize(plain_rates).median;
  const double completion_rate = Summarize(completion_rates).median;
  std::printf(
      "requests/s, one worker: bare echo %.0f; plain calls %.0f, share %.2f "
      "(goal >= %.2f); completions of one token %.0f, share %.2f\n",
      bare_rate, plain_rate, plain_rate / bare_rate, kThroughputShareGoal,
      completion_rate, completion_rate / bare_rate);
}

// Opens streams that stay open and returns the growth of resident memory in MB.
// The callers are plain sockets, because their memory is counted too: they run
// in this process.
double MeasureStreamMemory(const Address& server,
                           const std::string& request,
                           std::vector<tcp::socket>& callers) {
  static boost::asio::io_context io;
  const tcp::endpoint target(boost::asio::ip::make_address(server.ip),
                             server.port);
  const double before = ResidentMb();
  const size_t first = callers.size();
  for (int i = 0; i < kOpenStreams; ++i) {
    callers.emplace_back(io);
    callers.back().connect(target);
    boost::asio::write(callers.back(), boost::asio::buffer(request));
  }
  for (size_t i = first; i < callers.size(); ++i) {
    // Wait for the first event of the stream.
    char bytes[2048];
    std::string received;
    while (received.find("data: ") == std::string::npos)
      received.append(bytes, callers[i].read_some(boost::asio::buffer(bytes)));
  }
  return ResidentMb() - before;
}

std::string RawPost(const HttpRequest& request) {
  std::string text =
      request.method + " " + request.target + " HTTP/1.1\r\nHost: x\r\n";
  for (const runtime::HttpHeader& field : request.headers.all())
    text += field.name + ": " + field.value + "\r\n";
  return text + "Content-Length: " + std::to_string(request.body.size()) +
         "\r\n\r\n" + request.body;
}

// Streams opened directly to the engine measure the memory of the engine and
// the callers, which is subtracted.
void MeasureMemory(const Address& engine,
                   const HttpRequest& generate,
                   const Address& host,
                   const HttpRequest& completion) {
  std::vector<tcp::socket> callers;
  callers.reserve(2 * kOpenStreams);
  const double direct = MeasureStreamMemory(engine, RawPost(generate), callers);
  const double via_host =
      MeasureStreamMemory(host, RawPost(completion), callers);
  std::printf(
      "%d open streams: %.1f MB resident through a host, %.1f MB direct; host "
      "%.1f MB (goal < %.0f)\n",
      kOpenStreams, via_host, direct, via_host - direct, kMemoryGoalMb);
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
  // Held streams send nothing for longer than the default limit.
  settings.token_idle_limit = std::chrono::seconds(60);
  return settings;
}

void WaitUntilReady(const Address& operators) {
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

void MeasureOverhead() {
  FakeEngine engine;
  FakeServer plain(
      [](const HttpRequest& request, runtime::ResponseWriter& writer) {
        writer.Send({200, {}, request.body});
      });
  FakeServer platform(MakeFakePlatform(engine.address().ToString(),
                                       plain.address().ToString(),
                                       HexKeyHash(kKey)));
  serve::Host host(HostSettings(platform.address()), [] {});
  WaitUntilReady(host.operator_address());
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
  HttpRequest held_generate = generate;
  held_generate.body.replace(held_generate.body.find(text), text.size(),
                             "hold");
  HttpRequest held_completion = completion;
  held_completion.body.replace(held_completion.body.find(text), text.size(),
                               "hold");
  MeasureMemory(engine.address(), held_generate, callers, held_completion);
  engine.Release();
}

}  // namespace
}  // namespace jujuberock::bench

int main(int, char** argv) {
  google::InitGoogleLogging(argv[0]);
  jujuberock::bench::MeasureOverhead();
  std::fflush(stdout);
  // Exits without destructors: the callers' sockets are closed and nothing
  // else needs to be released.
  std::_Exit(0);
}
