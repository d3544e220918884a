#ifndef CORE_GATEWAY_STORE_WATCH_H_
#define CORE_GATEWAY_STORE_WATCH_H_

#include <set>
#include <string>

#include "core/catalog/config_view.h"
#include "core/events/event_log.h"
#include "core/gateway/endpoint_control.h"
#include "core/reuse/store_book.h"

namespace jujuberock::gateway {

// Follows the events of every cache store of the configuration, one fiber a
// store, and keeps the book of their contents.
class StoreWatch {
 public:
  StoreWatch(EndpointControl& control,
             reuse::StoreBook& book,
             events::EventLog& log)
      : control(control), book(book), log(log) {}

  // Starts to follow stores that are new in the configuration.
  void Refresh(const catalog::ConfigView& config);
  void Stop() { this->stopping = true; }

 private:
  void Follow(const std::string& address);

  EndpointControl& control;
  reuse::StoreBook& book;
  events::EventLog& log;
  // Stores that the configuration in force has.
  std::set<std::string> wanted;
  // Stores that a fiber follows.
  std::set<std::string> followed;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_STORE_WATCH_H_
