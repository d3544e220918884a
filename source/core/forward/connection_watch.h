#ifndef CORE_FORWARD_CONNECTION_WATCH_H_
#define CORE_FORWARD_CONNECTION_WATCH_H_

#include <string>

#include "core/forward/connection_pool.h"

namespace jujuberock::forward {

// Told what becomes of the connections of a ConnectionWatch.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;

  virtual void OnConnected() = 0;
  // The peer has closed the connection.
  virtual void OnClosed() = 0;
  // The peer did not answer keep-alive probes.
  virtual void OnSilent() = 0;
  virtual void OnConnectFailed() = 0;
  // The peer closes each connection at once; the next one is opened later.
  virtual void OnUnwatched() = 0;
};

// Keeps a connection to an address open on which nothing is sent, and opens a
// new one as soon as the peer closes it. Used on one worker.
class ConnectionWatch {
 public:
  ConnectionWatch(ConnectionPool& pool,
                  std::string address,
                  ConnectionObserver& observer);

  // Runs on a fiber of its own until Stop() is called.
  void Run();
  void Stop();

 private:
  // Waits until the connection has ended. Returns whether the peer closed it.
  bool AwaitEnd();
  void OnEnded(common::TimePoint opened_at);

  ConnectionPool& pool;
  std::string address;
  ConnectionObserver& observer;
  ConnectionPtr connection;
  // Connections in a row that were closed at once, or could not be opened.
  int short_lived = 0;
  int failures = 0;
  bool stopping = false;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_CONNECTION_WATCH_H_
