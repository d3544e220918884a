#ifndef CORE_SERVE_HOST_H_
#define CORE_SERVE_HOST_H_

#include <functional>
#include <memory>
#include <string>

#include "core/runtime/http_types.h"
#include "core/serve/settings.h"

namespace jujuberock::serve {

// How a planned stop ended.
struct StopReport {
  // Requests that were still running at the limit.
  size_t cut_off = 0;
};

// One host: all parts of the process, wired together. Create, start, stop and
// destroy it on a thread that is not a worker.
class Host {
 public:
  // Listens and starts to serve. `on_stop_requested` runs on a worker when an
  // operator asks for the planned stop. Throws common::Error kInvalidSettings
  // when an address can not be bound.
  Host(const Settings& settings, std::function<void()> on_stop_requested);
  // Cuts off what still runs.
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  runtime::Address caller_address() const;
  runtime::Address operator_address() const;

  // The planned stop: refuses new requests, waits until the running ones have
  // ended or the limit is reached, and releases the host's duties.
  StopReport Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_HOST_H_
