#include "standin/silence.h"

#include "core/runtime/sleep.h"
#include "standin/http_json.h"

namespace jujuberock::standin {

namespace {

constexpr common::Duration kPoll = std::chrono::milliseconds(50);

}  // namespace

void Silence::HoldIfSilent() {
  if (!this->opened_in.get())
    this->opened_in.reset(new uint64_t(this->epoch));
  if (*this->opened_in == this->epoch)
    return;
  while (!this->released)
    runtime::SleepFor(kPoll);
  DropConnection();
}

}  // namespace jujuberock::standin
