#ifndef STANDIN_CONNECTION_STALL_H_
#define STANDIN_CONNECTION_STALL_H_

#include <cstdint>

#include <boost/fiber/fss.hpp>

namespace jujuberock::standin {

// Makes the connections that are open at some moment stall for good, while
// later ones work. Each connection of the HTTP server is one fiber, so the
// connection's epoch is kept in fiber-local storage.
class ConnectionStall {
 public:
  // Stalls every connection that has carried a request so far.
  void StallOpenConnections() { ++this->epoch; }
  // Resumes the stalled fibers, which closes their connections.
  void Release() { this->released = true; }

  // Called before each write: blocks on a stalled connection until
  // Release(), and then throws common::Error kCanceled.
  void WaitIfStalled();

 private:
  uint64_t epoch = 1;
  bool released = false;
  boost::fibers::fiber_specific_ptr<uint64_t> opened_epoch;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_CONNECTION_STALL_H_
