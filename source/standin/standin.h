#ifndef STANDIN_STANDIN_H_
#define STANDIN_STANDIN_H_

#include "core/runtime/http_server.h"
#include "core/runtime/http_types.h"

namespace jujuberock::standin {

// A test double of an external system with an HTTP interface. All calls come
// from fibers of the process's only worker, so code that does not suspend needs
// no locks.
class Standin {
 public:
  virtual ~Standin() = default;

  // Starts background fibers. Called once, on the worker, before any request.
  virtual void Start() {}

  virtual void Handle(const runtime::HttpRequest& request,
                      runtime::ResponseWriter& writer) = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_STANDIN_H_
