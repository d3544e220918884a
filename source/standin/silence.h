#ifndef STANDIN_SILENCE_H_
#define STANDIN_SILENCE_H_

#include <cstdint>

#include <boost/fiber/fss.hpp>

namespace jujuberock::standin {

// Makes the connections that are open at some moment silent for good, while
// later ones work. Each connection of the HTTP server is one fiber, so the
// connection's age is kept in fiber-local storage.
class Silence {
 public:
  // Silences every connection that has carried a request so far.
  void Begin() { ++this->epoch; }
  // Lets the held fibers go on, which closes their connections.
  void Release() { this->released = true; }

  // Called before each write: does not return on a silent connection until
  // Release(), and throws common::Error kCanceled then.
  void HoldIfSilent();

 private:
  uint64_t epoch = 1;
  bool released = false;
  boost::fibers::fiber_specific_ptr<uint64_t> opened_in;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_SILENCE_H_
