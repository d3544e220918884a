#include "core/runtime/process_signals.h"

#include <csignal>

#include <boost/asio/post.hpp>

namespace jujuberock::runtime {

ProcessSignals::ProcessSignals() : signals(this->io, SIGTERM, SIGINT, SIGHUP) {
  this->Receive();
}

ProcessSignal ProcessSignals::Next() {
  while (this->received.empty())
    this->io.run_one();
  const ProcessSignal next = this->received.front();
  this->received.pop_front();
  return next;
}

void ProcessSignals::RequestStop() {
  boost::asio::post(this->io,
                    [this] { this->received.push_back(ProcessSignal::kStop); });
}

void ProcessSignals::Receive() {
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int number) {
        if (error)
          return;
        this->received.push_back(number == SIGHUP ? ProcessSignal::kReload
                                                  : ProcessSignal::kStop);
        this->Receive();
      });
}

}  // namespace jujuberock::runtime
