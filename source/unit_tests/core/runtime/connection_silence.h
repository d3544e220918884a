#ifndef UNIT_TESTS_CORE_RUNTIME_CONNECTION_SILENCE_H_
#define UNIT_TESTS_CORE_RUNTIME_CONNECTION_SILENCE_H_

#include <atomic>

#include <boost/fiber/fss.hpp>

#include "core/runtime/sleep.h"

namespace jujuberock::runtime {

// Makes the open connections of an HttpServer fall silent for good, while new
// ones are answered. The server runs each connection on a fiber of its own, so
// the epoch in which it was opened is kept in fiber-local storage.
class ConnectionSilence {
 public:
  // Silences the connections that have carried a request so far.
  void SilenceOpenConnections() { ++this->epoch; }
  // Resumes all silent connections, so that the server can be destroyed.
  void Release() { this->released = true; }

  // Called by the handler at the start of each request.
  void OnRequest() {
    if (!this->opened_epoch.get())
      this->opened_epoch.reset(new int(this->epoch));
  }
  // Called by the handler before each response.
  void WaitWhileSilent() const {
    while (!this->released && this->IsSilent())
      SleepFor(std::chrono::milliseconds(5));
  }
  // Called by a handler that has no response until its connection is silent.
  void WaitUntilSilent() const {
    while (!this->released && !this->IsSilent())
      SleepFor(std::chrono::milliseconds(5));
  }

 private:
  bool IsSilent() const { return *this->opened_epoch != this->epoch; }

  std::atomic<int> epoch{0};
  std::atomic<bool> released{false};
  boost::fibers::fiber_specific_ptr<int> opened_epoch;
};

}  // namespace jujuberock::runtime

#endif  // UNIT_TESTS_CORE_RUNTIME_CONNECTION_SILENCE_H_
