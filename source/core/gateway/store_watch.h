#ifndef CORE_GATEWAY_STORE_WATCH_H_
#define CORE_GATEWAY_STORE_WATCH_H_

#include <map>
#include <optional>
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
  // Where this host stands among all hosts, in the order of their names.
  void SetHosts(size_t count, size_t rank);
  void Stop() { this->stopping = true; }

 private:
  void Follow(const std::string& address);
  // Time between two questions to a store that answers this many at once;
  // nothing when other hosts use up its places.
  std::optional<common::Duration> AskPeriod(int64_t places) const;
  void SetPeriod();

  EndpointControl& control;
  reuse::StoreBook& book;
  events::EventLog& log;
  // Stores that the configuration in force has, with their places for
  // questions.
  std::map<std::string, int64_t> wanted;
  size_t host_count = 1;
  size_t host_rank = 0;
  // Stores that a fiber follows.
  std::set<std::string> followed;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_STORE_WATCH_H_
