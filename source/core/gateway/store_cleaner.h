#ifndef CORE_GATEWAY_STORE_CLEANER_H_
#define CORE_GATEWAY_STORE_CLEANER_H_

#include <map>
#include <string>

#include "core/events/event_log.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/endpoint_control.h"
#include "core/gateway/host_board.h"
#include "core/gateway/view_keeper.h"
#include "core/reuse/retirement.h"
#include "core/reuse/store_book.h"

namespace jujuberock::gateway {

// Frees the parts of replaced weights in the cache stores, which drop nothing
// on their own and would otherwise be full after a few changes of weights. The
// hosts share the stores by rendezvous hashing; the next in order follows when
// the first leaves parts behind. A second order to free is harmless, since
// nothing is saved again under an old version.
class StoreCleaner {
 public:
  StoreCleaner(const ViewKeeper& view,
               Dispatcher& dispatcher,
               const HostBoard& hosts,
               reuse::StoreBook& book,
               EndpointControl& control,
               events::EventLog& log)
      : view(view),
        dispatcher(dispatcher),
        hosts(hosts),
        book(book),
        control(control),
        log(log) {}

  // Runs until Stop(); on a fiber of its own.
  void Run();
  void Stop() { this->stopping = true; }

 private:
  struct Model {
    reuse::Retirement retirement;
    uint64_t oldest = 0;
    common::TimePoint oldest_since;
  };

  void Observe(common::TimePoint now);
  void ObservePool(const dispatch::ServicePool& pool,
                   const std::vector<std::string>& models,
                   common::TimePoint now);
  void Clean(const std::string& model, uint64_t oldest, size_t most_rank);
  // Returns whether there may be more to free.
  bool CleanStore(const std::string& address,
                  const std::string& model,
                  uint64_t oldest);

  const ViewKeeper& view;
  Dispatcher& dispatcher;
  const HostBoard& hosts;
  reuse::StoreBook& book;
  EndpointControl& control;
  events::EventLog& log;
  std::map<std::string, Model> models;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_STORE_CLEANER_H_
