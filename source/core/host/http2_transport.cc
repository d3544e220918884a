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

constexpr common::Duration kHealthPeriod = std::chrono::milliseconds(100);
constexpr common::Duration kAcceptBackoff = std::chrono::milliseconds(50);
// Time in which a peer that could not be reached is not tried again, so that
// many calls to a dead host do not each pay the connect timeout.
constexpr common::Duration kConnectBackoff = std::chrono::milliseconds(200);
// Connections in the handshake at once; more are closed at once.
constexpr size_t kMaxHandshakes = 1024;

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
void AppendBytes(std::string* text, const Bytes& bytes) {
  text->append(bytes.begin(), bytes.end());
}

void AppendName(std::string* text, const std::string& name) {
  text->push_back(static_cast<char>(name.size()));
  text->append(name);
}

// Returns the name that the server proved.
std::string ShakeAsClient(TcpStream& stream,
                          const std::string& key,
                          const std::string& own_name) {
  HandshakeFacts facts;
  std::array<uint8_t, kHandshakeMagic.size()> magic{};
  ReceiveBytes(stream, &magic);
  if (!std::equal(magic.begin(), magic.end(), kHandshakeMagic.begin()))
    ThrowUnavailable("handshake: not a host of this system");
  ReceiveBytes(stream, &facts.server_nonce);
  facts.client_nonce = MakeNonce();
  facts.client_name = own_name;
  std::string reply;
  AppendBytes(&reply, facts.client_nonce);
  AppendName(&reply, own_name);
  AppendBytes(&reply, MakeProof(key, Role::kClient, facts));
  SendBytes(stream, reply);
  facts.server_name = ReceiveName(stream);
  Proof proof{};
  ReceiveBytes(stream, &proof);
  if (!SameProof(proof, MakeProof(key, Role::kServer, facts)))
    ThrowUnavailable("handshake: the peer does not hold the deployment key");
  return facts.server_name;
}

// Returns the name that the client proved.
std::string ShakeAsServer(TcpStream& stream,
                          const std::string& key,
                          const std::string& own_name) {
  HandshakeFacts facts;
  facts.server_nonce = MakeNonce();
  std::string challenge(kHandshakeMagic);
  AppendBytes(&challenge, facts.server_nonce);
  SendBytes(stream, challenge);
  ReceiveBytes(stream, &facts.client_nonce);
  facts.client_name = ReceiveName(stream);
  Proof proof{};
  ReceiveBytes(stream, &proof);
  if (!SameProof(proof, MakeProof(key, Role::kClient, facts)))
    ThrowUnavailable("handshake: the peer does not hold the deployment key");
  facts.server_name = own_name;
  std::string reply;
  AppendName(&reply, own_name);
  AppendBytes(&reply, MakeProof(key, Role::kServer, facts));
  SendBytes(stream, reply);
  return facts.client_name;
}

// The connection to one peer. Lives on the worker of the peer's name.
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
        common::CounterRegistry& counters,
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
        opened(Event("opened")),
        accepted(Event("accepted")),
        refused(Event("refused")),
        replaced(Event("replaced_silent")),
        peers(pool.size()),
        inbound(pool.size()) {}

  common::Counter& Event(const char* event) {
    return this->counters.GetCounter("host_connections_total",
                                     {{"event", event}});
  }

  void Listen();
  void Accept(size_t worker);
  void ServeConnection(size_t worker, tcp::socket socket);
  Answer Respond(const std::string& from,
                 const std::string& message,
                 const std::string& body);

  size_t WorkerOf(const std::string& host) const {
    return common::Hash64(host) % this->pool.size();
  }
  Answer CallHere(const std::string& host,
                  const std::string& message,
                  const std::string& body,
                  Clock::time_point deadline);
  SessionPtr WaitForSession(const std::string& host,
                            const PeerPtr& peer,
                            Clock::time_point deadline);
  void StartConnecting(const std::string& host, const PeerPtr& peer);
  SessionPtr Connect(const std::string& host);
  void CheckHealth(size_t worker);
  void ReplaceIfNewOneAnswers(const std::string& host, const PeerPtr& peer);
  void StartFiber(std::function<void()> body);
  void Count(const char* direction, const std::string& message, size_t bytes);
  void CloseAll();

  SessionLimits Limits() const {
    return {this->options.max_message_bytes, this->options.max_buffered_bytes,
            this->options.write_timeout, this->options.idle_limit};
  }

  runtime::WorkerPool& pool;
  common::TimerService& timers;
  common::CounterRegistry& counters;
  Http2TransportOptions options;
  HostResolver resolve;
  WireCounters wire;
  common::Counter& opened;
  common::Counter& accepted;
  common::Counter& refused;
  common::Counter& replaced;
  std::map<std::string, MessageHandler, std::less<>> handlers;
  runtime::Address bound;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
  // Each touched on its own worker only.
  std::vector<std::map<std::string, PeerPtr>> peers;
  std::vector<std::set<SessionPtr>> inbound;
  std::vector<common::TimerSubscription> subscriptions;
  std::atomic<size_t> handshakes{0};
  std::atomic<size_t> fibers{0};
  std::atomic<bool> stopping{false};
};

void Http2Transport::State::StartFiber(std::function<void()> body) {
  ++this->fibers;
  runtime::SpawnHere([self = this->shared_from_this(), body = std::move(body)] {
    try {
      body();
    } catch (const std::exception& error) {
      LOG(ERROR) << "host transport: " << error.what();
    }
    --self->fibers;
  });
}

void Http2Transport::State::Count(const char* direction,
                                  const std::string& message,
                                  size_t bytes) {
  // A peer may send any name, so unknown ones share one series.
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
      auto acceptor = std::make_unique<tcp::acceptor>(this->pool.IoOf(i));
      acceptor->open(endpoint.protocol());
      acceptor->set_option(tcp::acceptor::reuse_address(true));
      acceptor->set_option(ReusePort(true));
      acceptor->bind(endpoint);
      acceptor->listen(boost::asio::socket_base::max_listen_connections);
      endpoint = acceptor->local_endpoint();
      this->acceptors.push_back(std::move(acceptor));
    }
    this->bound = {this->options.listen.ip, endpoint.port()};
  } catch (const boost::system::system_error& error) {
    throw Error(ResultCode::kInvalidSettings,
                "can not listen on " + this->options.listen.ToString() + ": " +
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
    if (this->handshakes >= kMaxHandshakes) {
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
  ++this->handshakes;
  try {
    from =
        ShakeAsServer(stream, this->options.deployment_key, this->options.name);
  } catch (const Error&) {
    this->refused.Add();
  }
  --this->handshakes;
  if (from.empty() || this->stopping)
    return;
  this->accepted.Add();
  auto session = std::make_shared<Http2Session>(
      Http2Session::Side::kServer, std::move(stream), this->Limits(),
      this->wire,
      [self = this->shared_from_this(), from](const std::string& message,
                                              std::string body) {
        ++self->fibers;
        Answer answer = self->Respond(from, message, body);
        --self->fibers;
        return answer;
      });
  this->inbound[worker].insert(session);
  session->Run();
  this->inbound[worker].erase(session);
}

Answer Http2Transport::State::Respond(const std::string& from,
                                      const std::string& message,
                                      const std::string& body) {
  this->Count("received", message, body.size());
  const auto handler = this->handlers.find(message);
  if (handler == this->handlers.end())
    return {ResultCode::kProtocolError, Outcome::kNotRun,
            "unknown message: " + message};
  if (this->stopping)
    return {ResultCode::kStopping, Outcome::kNotRun, "the host is stopping"};
  try {
    Answer answer;
    answer.body = handler->second(from, body);
    this->Count("sent", message, answer.body.size());
    return answer;
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
    ThrowUnavailable("not an IP number: " + address->ip);
  TcpStream stream(runtime::CurrentIo());
  stream.expires_after(this->options.connect_timeout);
  stream.async_connect(tcp::endpoint(ip, address->port), Await(error));
  if (error)
    ThrowUnavailable("connect to " + host + ": " + error.message());
  stream.socket().set_option(tcp::no_delay(true), error);
  stream.expires_after(this->options.handshake_timeout);
  const std::string name =
      ShakeAsClient(stream, this->options.deployment_key, this->options.name);
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
  // While a new connection is probed in place of a suspect one, the call waits
  // for the result; on the suspect one its outcome would be unknown.
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
                "no connection to " + host + " within the deadline",
                Outcome::kNotRun);
  ThrowUnavailable(peer->last_failure);
}

Answer Http2Transport::State::CallHere(const std::string& host,
                                       const std::string& message,
                                       const std::string& body,
                                       Clock::time_point deadline) {
  if (body.size() > this->options.max_message_bytes)
    return {ResultCode::kValueTooLarge, Outcome::kNotRun,
            "the message exceeds the limit"};
  auto& known = this->peers[this->WorkerOf(host)];
  PeerPtr& slot = known[host];
  if (!slot)
    slot = std::make_shared<Peer>();
  const PeerPtr peer = slot;
  try {
    const SessionPtr session = this->WaitForSession(host, peer, deadline);
    this->Count("sent", message, body.size());
    Answer answer = session->Exchange(message, body, deadline);
    if (answer.code == ResultCode::kOk)
      this->Count("received", message, answer.body.size());
    return answer;
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
      // Forgets hosts that are gone, so that replaced hosts leave nothing.
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
          [this, host, peer] { this->ReplaceIfNewOneAnswers(host, peer); });
    }
  }
}

void Http2Transport::State::ReplaceIfNewOneAnswers(const std::string& host,
                                                   const PeerPtr& peer) {
  const SessionPtr old = peer->session;
  SessionPtr fresh;
  bool answers = false;
  try {
    fresh = this->Connect(host);
    answers = fresh->PingAndWait(Clock::now() + this->options.ping_timeout);
  } catch (const Error& error) {
    peer->last_failure = error.what();
  }
  if (old->last_received() > old->ping_sent_at() && !old->closed()) {
    // The old connection was slow, not silent.
    old->suspect = false;
    if (fresh)
      fresh->Close("not needed");
  } else if (answers) {
    this->replaced.Add();
    peer->session = fresh;
    old->Close("silent; a new connection answers");
  } else {
    // The host answers on neither, so calls fail now rather than wait.
    if (fresh)
      fresh->Close("silent");
    peer->retry_at = Clock::now() + kConnectBackoff;
    if (peer->last_failure.empty())
      peer->last_failure = "host " + host + " is silent";
    old->Close("host is silent");
  }
  if (this->stopping && peer->session)
    peer->session->Close("the host is stopping");
  peer->changed.notify_all();
}

void Http2Transport::State::CloseAll() {
  this->stopping = true;
  for (size_t i = 0; i < this->pool.size(); ++i) {
    ++this->fibers;
    this->pool.Spawn(i, [self = this->shared_from_this(), i] {
      error_code ignored;
      self->acceptors[i]->close(ignored);
      for (const SessionPtr& session : self->inbound[i])
        session->Close("the host is stopping");
      for (auto& [host, peer] : self->peers[i]) {
        if (peer->session)
          peer->session->Close("the host is stopping");
      }
      --self->fibers;
    });
  }
}

Http2Transport::Http2Transport(runtime::WorkerPool& pool,
                               common::TimerService& timers,
                               common::CounterRegistry& counters,
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
                "the name of the host has 0 or more than 63 bytes");
  this->state->Listen();
}

Http2Transport::~Http2Transport() {
  this->state->subscriptions.clear();
  this->state->CloseAll();
  while (this->state->fibers.load() > 0) {
    if (runtime::WorkerPool::CurrentWorker())
      runtime::SleepFor(std::chrono::milliseconds(1));
    else
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void Http2Transport::Serve() {
  for (size_t i = 0; i < this->state->pool.size(); ++i) {
    ++this->state->fibers;
    this->state->pool.Spawn(i, [state = this->state, i] {
      state->Accept(i);
      --state->fibers;
    });
  }
  const std::weak_ptr<State> weak = this->state;
  this->state->subscriptions.push_back(
      this->state->timers.Every(kHealthPeriod, [weak](common::TimePoint) {
        const auto state = weak.lock();
        if (!state || state->stopping)
          return;
        for (size_t i = 0; i < state->pool.size(); ++i) {
          ++state->fibers;
          state->pool.Spawn(i, [state, i] {
            state->CheckHealth(i);
            --state->fibers;
          });
        }
      }));
}

runtime::Address Http2Transport::address() const {
  return this->state->bound;
}

void Http2Transport::Handle(std::string message, MessageHandler handler) {
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
  Answer answer;
  if (runtime::WorkerPool::CurrentWorker() == worker) {
    answer = this->state->CallHere(host, name, bytes, until);
  } else {
    // Shared, since the worker may still be inside set_value() when the caller
    // has already gone on.
    auto promise = std::make_shared<boost::fibers::promise<Answer>>();
    auto future = promise->get_future();
    ++this->state->fibers;
    this->state->pool.Spawn(
        worker, [state = this->state, promise, host, name, bytes, until] {
          promise->set_value(state->CallHere(host, name, bytes, until));
          --state->fibers;
        });
    answer = future.get();
  }
  if (answer.code != ResultCode::kOk)
    throw Error(answer.code, answer.body, answer.outcome);
  return std::move(answer.body);
}

}  // namespace jujuberock::host
