#include "standin/connection_stall.h"

#include "core/runtime/sleep.h"
#include "standin/http_json.h"

namespace jujuberock::standin {

namespace {

constexpr common::Duration kPollInterval = std::chrono::milliseconds(50);

}  // namespace

void ConnectionStall::WaitIfStalled() {
  if (!this->opened_epoch.get())
    this->opened_epoch.reset(new uint64_t(this->epoch));
  if (*this->opened_epoch == this->epoch)
    return;
  while (!this->released)
    runtime::SleepFor(kPollInterval);
  DropConnection();
}

}  // namespace jujuberock::standin
