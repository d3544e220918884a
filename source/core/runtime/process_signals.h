#ifndef CORE_RUNTIME_PROCESS_SIGNALS_H_
#define CORE_RUNTIME_PROCESS_SIGNALS_H_

#include <deque>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace jujuberock::runtime {

// What a signal asks a host to do.
enum class ProcessSignal {
  kStop,    // SIGTERM, SIGINT
  kReload,  // SIGHUP
};

// Receives the signals that control a host. From its construction to its
// destruction none of them ends the process, whether or not Next() is waiting
// for it, so a host that is stopping can finish its requests. Create it before
// the host starts, and keep it until the process exits.
class ProcessSignals {
 public:
  ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

  // Blocks until the next signal, in order of arrival. Called on one thread.
  ProcessSignal Next();
  // Has the effect of SIGTERM. May be called on any thread.
  void RequestStop();

 private:
  void Receive();

  boost::asio::io_context io;
  boost::asio::signal_set signals;
  std::deque<ProcessSignal> received;
};

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_PROCESS_SIGNALS_H_
