#include "core/table/editor.h"

#include <utility>

namespace jujuberock::table {

using platform::WriteState;

Edit::Edit(platform::Object wanted,
           platform::Version expected,
           EditOptions options)
    : object(std::move(wanted)), expected_version(expected), options(options) {}

void Edit::Finish(EditResult result) {
  this->outcome = result;
  this->next = EditStep::kDone;
}

bool Edit::TryAgain(EditStep step) {
  if (this->attempts >= this->options.attempts)
    return false;
  ++this->attempts;
  this->next = step;
  return true;
}

void Edit::OnWriteReply(const platform::WriteResult& reply) {
  this->why = reply.detail;
  switch (reply.state) {
    case WriteState::kWritten:
      this->accepted_version = reply.version;
      this->Finish(EditResult::kAccepted);
      return;
    case WriteState::kConflict:
      this->Settle(reply.current);
      return;
    case WriteState::kRejected:
      // An earlier write of this change may still have taken effect.
      if (!this->answer_lost)
        this->Finish(EditResult::kRejected);
      else if (!this->TryAgain(EditStep::kRead))
        this->Finish(EditResult::kUnknown);
      return;
    case WriteState::kUnknown:
      this->answer_lost = true;
      if (!this->TryAgain(EditStep::kRead))
        this->Finish(EditResult::kUnknown);
      return;
  }
}

void Edit::OnReadReply(const std::optional<platform::Object>& current) {
  const platform::Version version = current ? current->version : 0;
  const bool unchanged = version == this->expected_version;
  if (!unchanged) {
    this->Settle(current);
    return;
  }
  if (!this->TryAgain(EditStep::kWrite))
    this->Finish(EditResult::kUnknown);
}

void Edit::OnReadFailed(const std::string& detail) {
  this->why = detail;
  if (!this->TryAgain(EditStep::kRead))
    this->Finish(EditResult::kUnknown);
}

// The object is not at the expected version: either this change made it so or
// another one did.
void Edit::Settle(const std::optional<platform::Object>& current) {
  const bool own_write = current && !this->object.deleted &&
                         !current->token.empty() &&
                         current->token == this->object.token;
  const bool own_delete = !current && this->object.deleted && this->answer_lost;
  if (own_write || own_delete) {
    this->accepted_version = current ? current->version : 0;
    this->Finish(EditResult::kAccepted);
    return;
  }
  this->in_force = current;
  this->Finish(EditResult::kConflict);
}

}  // namespace jujuberock::table
