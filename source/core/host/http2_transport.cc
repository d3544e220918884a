#include "core/host/http2_transport.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/mutex.hpp>

#include "core/common/hash.h"
#include "core/host/handshake.h"
#include "core/host/http2_session.h"
#include "core/runtime/await.h"
#include "core/runtime/sleep.h"

namespace jujuberock::host {

using boost::asio::ip::tcp;
using boost::system::error_code;
using common::Error;
using common::Outcome;
using common::ResultCode;
using runtime::Await;
using Clock = Http2Session::Clock;
using SessionPtr = std::shared_ptr<Http2Session>;
using TcpStream = boost::beast::tcp_stream;

namespace {

constexpr common::Duration kHealthCheckPeriod = std::chrono::milliseconds(100);
constexpr common::Duration kAcceptBackoff = std::chrono::milliseconds(50);
// After a failed connect, calls to that peer fail immediately for this long, so
// that calls to a dead host do not each wait for the connect timeout.
constexpr common::Duration kConnectBackoff = std::chrono::milliseconds(200);
// Limit on concurrent handshakes; further connections are closed on
// accept.
constexpr size_t kMaxConcurrentHandshakes = 1024;

[[noreturn]] void ThrowUnavailable(const std::string& detail) {
  throw Error(ResultCode::kPeerUnavailable, detail, Outcome::kNotRun);
}

void SendBytes(TcpStream& stream, const std::string& bytes) {
  error_code error;
  boost::asio::async_write(stream, boost::asio::buffer(bytes), Await(error));
  if (error)
    ThrowUnavailable("handshake: " + error.message());
}

template <size_t kSize>
void ReceiveBytes(TcpStream& stream, std::array<uint8_t, kSize>* bytes) {
  error_code error;
  boost::asio::async_read(stream, boost::asio::buffer(*bytes), Await(error));
  if (error)
    ThrowUnavailable("handshake: " + error.message());
}

std::string ReceiveName(TcpStream& stream) {
  std::array<uint8_t, 1> length{};
  ReceiveBytes(stream, &length);
  if (length[0] == 0 || length[0] > kMaxNameBytes)
    ThrowUnavailable("handshake: malformed name");
  std::string name(length[0], '\0');
  error_code error;
  boost::asio::async_read(stream, boost::asio::buffer(name), Await(error));
  if (error)
    ThrowUnavailable("handshake: " + error.message());
  return name;
}

template <typename Bytes>
void AppendBytes(std::string* output, const Bytes& bytes) {
  output->append(bytes.begin(), bytes.end());
}

void AppendLengthPrefixed(std::string* output, const std::string& name) {
  output->push_back(static_cast<char>(name.size()));
  output->append(name);
}

// Authenticates both ends and returns the server's name.
std::string PerformClientHandshake(TcpStream& stream,
                                   const std::string& key,
                                   const std::string& own_name) {
  HandshakeTranscript transcript;
  std::array<uint8_t, kHandshakeMagic.size()> magic{};
  ReceiveBytes(stream, &magic);
  if (!std::equal(magic.begin(), magic.end(), kHandshakeMagic.begin()))
    ThrowUnavailable("handshake: the peer is not a jujuberock host");
  ReceiveBytes(stream, &transcript.server_nonce);
  transcript.client_nonce = GenerateNonce();
  transcript.client_name = own_name;
  std::string reply;
  AppendBytes(&reply, transcript.client_nonce);
  AppendLengthPrefixed(&reply, own_name);
  AppendBytes(&reply, ComputeProof(key, Role::kClient, transcript));
  SendBytes(stream, reply);
  transcript.server_name = ReceiveName(stream);
  Proof proof{};
  ReceiveBytes(stream, &proof);
  if (!ProofsEqual(proof, ComputeProof(key, Role::kServer, transcript)))
    ThrowUnavailable("handshake: the peer does not hold the deployment key");
  return transcript.server_name;
}

// Authenticates both ends and returns the client's name.
std::string PerformServerHandshake(TcpStream& stream,
                                   const std::string& key,
                                   const std::string& own_name) {
  HandshakeTranscript transcript;
  transcript.server_nonce = GenerateNonce();
  std::string challenge(kHandshakeMagic);
  AppendBytes(&challenge, transcript.server_nonce);
  SendBytes(stream, challenge);
  ReceiveBytes(stream, &transcript.client_nonce);
  transcript.client_name = ReceiveName(stream);
  Proof proof{};
  ReceiveBytes(stream, &proof);
  if (!ProofsEqual(proof, ComputeProof(key, Role::kClient, transcript)))
    ThrowUnavailable("handshake: the peer does not hold the deployment key");
  transcript.server_name = own_name;
  std::string reply;
  AppendLengthPrefixed(&reply, own_name);
  AppendBytes(&reply, ComputeProof(key, Role::kServer, transcript));
  SendBytes(stream, reply);
  return transcript.client_name;
}

// Outgoing connection to one peer. Used only on the worker that the peer's name
// hashes to.
struct Peer {
  SessionPtr session;
  bool connecting = false;
  Clock::time_point retry_at{};
  std::string last_failure;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
};

using PeerPtr = std::shared_ptr<Peer>;

}  // namespace

struct Http2Transport::State : std::enable_shared_from_this<State> {
  State(runtime::WorkerPool& pool,
        common::TimerService& timers,
        common::MetricRegistry& counters,
        Http2TransportOptions options,
        HostResolver resolve)
      : pool(pool),
        timers(timers),
        counters(counters),
        options(std::move(options)),
        resolve(std::move(resolve)),
        wire{counters.GetCounter("host_wire_bytes_total",
                                 {{"direction", "sent"}}),
             counters.GetCounter("host_wire_bytes_total",
                                 {{"direction", "received"}})},
        opened(ConnectionCounter("opened")),
        accepted(ConnectionCounter("accepted")),
        refused(ConnectionCounter("refused")),
        replaced(ConnectionCounter("replaced_silent")),
        peers(pool.size()),
        inbound(pool.size()) {}

  common::Counter& ConnectionCounter(const char* event) {
    return this->counters.GetCounter("host_connections_total",
                                     {{"event", event}});
  }

  void Listen();
  void Accept(size_t worker);
  void ServeConnection(size_t worker, tcp::socket socket);
  Response Respond(const std::string& from,
                   const std::string& message,
                   const std::string& body);

  size_t WorkerOf(const std::string& host) const {
    return common::Hash64(host) % this->pool.size();
  }
  Response CallOnPeerWorker(const std::string& host,
                            const std::string& message,
                            const std::string& body,
                            Clock::time_point deadline);
  SessionPtr WaitForSession(const std::string& host,
                            const PeerPtr& peer,
                            Clock::time_point deadline);
  void StartConnecting(const std::string& host, const PeerPtr& peer);
  SessionPtr Connect(const std::string& host);
  void CheckHealth(size_t worker);
  void ProbeAndReplace(const std::string& host, const PeerPtr& peer);
  void StartFiber(std::function<void()> body);
  void CountMessage(const char* direction,
                    const std::string& message,
                    size_t bytes);
  void CloseAll();

  SessionLimits Limits() const {
    return {this->options.max_message_bytes, this->options.max_buffered_bytes,
            this->options.write_timeout, this->options.idle_timeout};
  }

  runtime::WorkerPool& pool;
  common::TimerService& timers;
  common::MetricRegistry& counters;
  Http2TransportOptions options;
  HostResolver resolve;
  WireCounters wire;
  common::Counter& opened;
  common::Counter& accepted;
  common::Counter& refused;
  common::Counter& replaced;
  std::map<std::string, MessageHandler, std::less<>> handlers;
  runtime::Address bound_address;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
  // Indexed by worker; each element is accessed only on its own worker.
  std::vector<std::map<std::string, PeerPtr>> peers;
  std::vector<std::set<SessionPtr>> inbound;
  std::vector<common::TimerSubscription> subscriptions;
  std::atomic<size_t> active_handshakes{0};
  std::atomic<size_t> running_fibers{0};
  std::atomic<bool> stopping{false};
};

void Http2Transport::State::StartFiber(std::function<void()> body) {
  ++this->running_fibers;
  runtime::SpawnLocal(
      [self = this->shared_from_this(), body = std::move(body)] {
        try {
          body();
        } catch (const std::exception& error) {
          LOG(ERROR) << "host transport: " << error.what();
        }
        --self->running_fibers;
      });
}

void Http2Transport::State::CountMessage(const char* direction,
                                         const std::string& message,
                                         size_t bytes) {
  // Peers can send arbitrary message names; unknown ones share one time series
  // to bound the number of labels.
  const std::string name = this->handlers.contains(message) ? message : "other";
  const std::vector<common::Label> labels = {{"direction", direction},
                                             {"message", name}};
  this->counters.GetCounter("host_messages_total", labels).Add();
  this->counters.GetCounter("host_message_bytes_total", labels).Add(bytes);
}

void Http2Transport::State::Listen() {
  try {
    tcp::endpoint endpoint(
        boost::asio::ip::make_address(this->options.listen.ip),
        this->options.listen.port);
    using ReusePort =
        boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    for (size_t i = 0; i < this->pool.size(); ++i) {
      auto acceptor =
          std::make_unique<tcp::acceptor>(this->pool.IoContextOf(i));
      acceptor->open(endpoint.protocol());
      acceptor->set_option(tcp::acceptor::reuse_address(true));
      acceptor->set_option(ReusePort(true));
      acceptor->bind(endpoint);
      acceptor->listen(boost::asio::socket_base::max_listen_connections);
      endpoint = acceptor->local_endpoint();
      this->acceptors.push_back(std::move(acceptor));
    }
    this->bound_address = {this->options.listen.ip, endpoint.port()};
  } catch (const boost::system::system_error& error) {
    throw Error(ResultCode::kInvalidSettings,
                "cannot listen on " + this->options.listen.ToString() + ": " +
                    error.what());
  }
}

void Http2Transport::State::Accept(size_t worker) {
  tcp::acceptor& acceptor = *this->acceptors[worker];
  while (!this->stopping) {
    error_code error;
    tcp::socket socket = acceptor.async_accept(Await(error));
    if (error == boost::asio::error::operation_aborted || !acceptor.is_open())
      return;
    if (error) {
      runtime::SleepFor(kAcceptBackoff);
      continue;
    }
    if (this->active_handshakes >= kMaxConcurrentHandshakes) {
      this->refused.Add();
      continue;
    }
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    this->StartFiber([this, worker, shared] {
      this->ServeConnection(worker, std::move(*shared));
    });
  }
}

void Http2Transport::State::ServeConnection(size_t worker, tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  TcpStream stream(std::move(socket));
  stream.expires_after(this->options.handshake_timeout);
  std::string from;
  ++this->active_handshakes;
  try {
    from = PerformServerHandshake(stream, this->options.deployment_key,
                                  this->options.name);
  } catch (const Error&) {
    this->refused.Add();
  }
  --this->active_handshakes;
  if (from.empty() || this->stopping)
    return;
  this->accepted.Add();
  auto session = std::make_shared<Http2Session>(
      Http2Session::Side::kServer, std::move(stream), this->Limits(),
      this->wire,
      [self = this->shared_from_this(), from](const std::string& message,
                                              std::string body) {
        ++self->running_fibers;
        Response response = self->Respond(from, message, body);
        --self->running_fibers;
        return response;
      });
  this->inbound[worker].insert(session);
  session->Run();
  this->inbound[worker].erase(session);
}

Response Http2Transport::State::Respond(const std::string& from,
                                        const std::string& message,
                                        const std::string& body) {
  this->CountMessage("received", message, body.size());
  const auto handler = this->handlers.find(message);
  if (handler == this->handlers.end())
    return {ResultCode::kProtocolError, Outcome::kNotRun,
            "unknown message: " + message};
  if (this->stopping)
    return {ResultCode::kStopping, Outcome::kNotRun, "the host is stopping"};
  try {
    Response response;
    response.body = handler->second(from, body);
    this->CountMessage("sent", message, response.body.size());
    return response;
  } catch (const Error& error) {
    return {error.code(), error.outcome(), error.what()};
  } catch (const std::exception& error) {
    return {ResultCode::kInternal, Outcome::kUnknown, error.what()};
  }
}

SessionPtr Http2Transport::State::Connect(const std::string& host) {
  const auto address = this->resolve(host);
  if (!address)
    ThrowUnavailable("unknown host: " + host);
  error_code error;
  const auto ip = boost::asio::ip::make_address(address->ip, error);
  if (error)
    ThrowUnavailable("not an IP address: " + address->ip);
  TcpStream stream(runtime::CurrentIoContext());
  stream.expires_after(this->options.connect_timeout);
  stream.async_connect(tcp::endpoint(ip, address->port), Await(error));
  if (error)
    ThrowUnavailable("connect to " + host + ": " + error.message());
  stream.socket().set_option(tcp::no_delay(true), error);
  stream.expires_after(this->options.handshake_timeout);
  const std::string name = PerformClientHandshake(
      stream, this->options.deployment_key, this->options.name);
  if (name != host)
    ThrowUnavailable("the address of " + host + " belongs to " + name);
  auto session = std::make_shared<Http2Session>(
      Http2Session::Side::kClient, std::move(stream), this->Limits(),
      this->wire, nullptr);
  this->opened.Add();
  this->StartFiber([session] { session->Run(); });
  return session;
}

void Http2Transport::State::StartConnecting(const std::string& host,
                                            const PeerPtr& peer) {
  peer->connecting = true;
  this->StartFiber([this, host, peer] {
    try {
      peer->session = this->Connect(host);
    } catch (const Error& error) {
      peer->last_failure = error.what();
      peer->retry_at = Clock::now() + kConnectBackoff;
    }
    peer->connecting = false;
    if (this->stopping && peer->session)
      peer->session->Close("the host is stopping");
    peer->changed.notify_all();
  });
}

SessionPtr Http2Transport::State::WaitForSession(const std::string& host,
                                                 const PeerPtr& peer,
                                                 Clock::time_point deadline) {
  const auto usable = [&] {
    return peer->session && !peer->session->closed() && !peer->session->suspect;
  };
  if (usable())
    return peer->session;
  const bool probing = peer->session && !peer->session->closed();
  if (!probing && !peer->connecting) {
    if (Clock::now() < peer->retry_at)
      ThrowUnavailable(peer->last_failure);
    this->StartConnecting(host, peer);
  }
  // While the replacement of a suspect connection is probed, the call waits for
  // the result: if sent on the suspect connection, it could fail with an
  // unknown outcome.
  std::unique_lock lock(peer->mutex);
  const bool in_time = peer->changed.wait_until(lock, deadline, [&] {
    const bool undecided =
        peer->connecting ||
        (peer->session && !peer->session->closed() && peer->session->suspect);
    return usable() || !undecided;
  });
  if (usable())
    return peer->session;
  if (!in_time)
    throw Error(ResultCode::kDeadlineExceeded,
                "no connection to " + host + " before the deadline",
                Outcome::kNotRun);
  ThrowUnavailable(peer->last_failure);
}

Response Http2Transport::State::CallOnPeerWorker(const std::string& host,
                                                 const std::string& message,
                                                 const std::string& body,
                                                 Clock::time_point deadline) {
  if (body.size() > this->options.max_message_bytes)
    return {ResultCode::kValueTooLarge, Outcome::kNotRun,
            "the message exceeds the size limit"};
  auto& worker_peers = this->peers[this->WorkerOf(host)];
  PeerPtr& slot = worker_peers[host];
  if (!slot)
    slot = std::make_shared<Peer>();
  const PeerPtr peer = slot;
  try {
    const SessionPtr session = this->WaitForSession(host, peer, deadline);
    this->CountMessage("sent", message, body.size());
    Response response = session->Exchange(message, body, deadline);
    if (response.code == ResultCode::kOk)
      this->CountMessage("received", message, response.body.size());
    return response;
  } catch (const Error& error) {
    return {error.code(), error.outcome(), error.what()};
  }
}

void Http2Transport::State::CheckHealth(size_t worker) {
  const auto now = Clock::now();
  for (auto it = this->peers[worker].begin();
       it != this->peers[worker].end();) {
    const std::string host = it->first;
    const PeerPtr peer = it->second;
    const SessionPtr session = peer->session;
    if (!session || session->closed()) {
      // Drops peers that no longer resolve, so that entries of replaced hosts
      // do not accumulate.
      const bool forget = !peer->connecting && !this->resolve(host);
      it = forget ? this->peers[worker].erase(it) : std::next(it);
      continue;
    }
    ++it;
    if (session->suspect)
      continue;
    const auto silence = now - session->last_received();
    const auto limit = session->has_calls() ? this->options.ping_after
                                            : this->options.idle_ping_after;
    if (!session->ping_pending()) {
      if (silence >= limit)
        session->Ping();
      continue;
    }
    const auto waited = now - session->ping_sent_at();
    if (waited >= this->options.ping_timeout &&
        silence >= this->options.ping_timeout) {
      session->suspect = true;
      this->StartFiber(
          [this, host, peer] { this->ProbeAndReplace(host, peer); });
    }
  }
}

void Http2Transport::State::ProbeAndReplace(const std::string& host,
                                            const PeerPtr& peer) {
  const SessionPtr old = peer->session;
  SessionPtr replacement;
  bool responds = false;
  try {
    replacement = this->Connect(host);
    responds =
        replacement->PingAndWait(Clock::now() + this->options.ping_timeout);
  } catch (const Error& error) {
    peer->last_failure = error.what();
  }
  if (old->last_received() > old->ping_sent_at() && !old->closed()) {
    // The old connection has received data since the PING: it is slow, not
    // dead.
    old->suspect = false;
    if (replacement)
      replacement->Close("replacement not needed");
  } else if (responds) {
    this->replaced.Add();
    peer->session = replacement;
    old->Close("no PING response; replaced by a new connection");
  } else {
    // The host responds on neither connection, so pending calls fail now
    // instead of waiting for their deadlines.
    if (replacement)
      replacement->Close("silent");
    peer->retry_at = Clock::now() + kConnectBackoff;
    if (peer->last_failure.empty())
      peer->last_failure = "host " + host + " does not respond";
    old->Close("the host does not respond");
  }
  if (this->stopping && peer->session)
    peer->session->Close("the host is stopping");
  peer->changed.notify_all();
}

void Http2Transport::State::CloseAll() {
  this->stopping = true;
  for (size_t i = 0; i < this->pool.size(); ++i) {
    ++this->running_fibers;
    this->pool.Spawn(i, [self = this->shared_from_this(), i] {
      error_code ignored;
      self->acceptors[i]->close(ignored);
      for (const SessionPtr& session : self->inbound[i])
        session->Close("the host is stopping");
      for (auto& [host, peer] : self->peers[i]) {
        if (peer->session)
          peer->session->Close("the host is stopping");
      }
      --self->running_fibers;
    });
  }
}

Http2Transport::Http2Transport(runtime::WorkerPool& pool,
                               common::TimerService& timers,
                               common::MetricRegistry& counters,
                               Http2TransportOptions options,
                               HostResolver resolve)
    : state(std::make_shared<State>(pool,
                                    timers,
                                    counters,
                                    std::move(options),
                                    std::move(resolve))) {
  if (this->state->options.deployment_key.empty())
    throw Error(ResultCode::kInvalidSettings, "the deployment key is empty");
  const size_t name_bytes = this->state->options.name.size();
  if (name_bytes == 0 || name_bytes > kMaxNameBytes)
    throw Error(ResultCode::kInvalidSettings,
                "the host name must have 1 to 63 bytes");
  this->state->Listen();
}

Http2Transport::~Http2Transport() {
  this->state->subscriptions.clear();
  this->state->CloseAll();
  while (this->state->running_fibers.load() > 0) {
    if (runtime::WorkerPool::CurrentWorker())
      runtime::SleepFor(std::chrono::milliseconds(1));
    else
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void Http2Transport::Serve() {
  for (size_t i = 0; i < this->state->pool.size(); ++i) {
    ++this->state->running_fibers;
    this->state->pool.Spawn(i, [state = this->state, i] {
      state->Accept(i);
      --state->running_fibers;
    });
  }
  const std::weak_ptr<State> weak = this->state;
  this->state->subscriptions.push_back(
      this->state->timers.Every(kHealthCheckPeriod, [weak](common::TimePoint) {
        const auto state = weak.lock();
        if (!state || state->stopping)
          return;
        for (size_t i = 0; i < state->pool.size(); ++i) {
          ++state->running_fibers;
          state->pool.Spawn(i, [state, i] {
            state->CheckHealth(i);
            --state->running_fibers;
          });
        }
      }));
}

runtime::Address Http2Transport::address() const {
  return this->state->bound_address;
}

void Http2Transport::RegisterHandler(std::string message,
                                     MessageHandler handler) {
  this->state->handlers[std::move(message)] = std::move(handler);
}

std::string Http2Transport::Call(const std::string& host,
                                 std::string_view message,
                                 std::string_view body,
                                 common::TimePoint deadline) {
  const auto left = deadline - this->state->timers.Now();
  const Clock::time_point until = Clock::now() + left;
  const size_t worker = this->state->WorkerOf(host);
  const std::string name(message);
  const std::string bytes(body);
  Response response;
  if (runtime::WorkerPool::CurrentWorker() == worker) {
    response = this->state->CallOnPeerWorker(host, name, bytes, until);
  } else {
    // Shared ownership, because the worker may still be inside set_value()
    // after the caller has resumed.
    auto promise = std::make_shared<boost::fibers::promise<Response>>();
    auto future = promise->get_future();
    ++this->state->running_fibers;
    this->state->pool.Spawn(
        worker, [state = this->state, promise, host, name, bytes, until] {
          promise->set_value(state->CallOnPeerWorker(host, name, bytes, until));
          --state->running_fibers;
        });
    response = future.get();
  }
  if (response.code != ResultCode::kOk)
    throw Error(response.code, response.body, response.outcome);
  return std::move(response.body);
}

}  // namespace jujuberock::host
