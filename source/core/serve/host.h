#ifndef CORE_SERVE_HOST_H_
#define CORE_SERVE_HOST_H_

#include <functional>
#include <memory>
#include <string>

#include "core/runtime/http_types.h"
#include "core/serve/settings.h"

namespace jujuberock::serve {

// Result of a planned stop.
struct StopReport {
  // Number of requests still running when the stop limit was reached.
  size_t cut_off = 0;
};

// One host process: creates and connects all components. Create, stop and
// destroy it on a thread that is not a worker.
class Host {
 public:
  // Binds the listen addresses and starts serving. `on_stop_requested` runs on
  // a worker when an operator requests a planned stop. Throws common::Error
  // kInvalidSettings when an address can not be bound.
  Host(const Settings& settings, std::function<void()> on_stop_requested);
  // Aborts requests that are still running.
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  runtime::Address caller_address() const;
  runtime::Address operator_address() const;

  // Shuts down gracefully: refuses new requests, waits until the running ones
  // have ended or the stop limit is reached, then releases the journal's shards
  // and stops rollouts. Requests that are cut off before their answer has
  // started get one with an unknown outcome.
  StopReport Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_HOST_H_
