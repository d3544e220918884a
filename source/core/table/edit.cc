#include "core/table/edit.h"

#include <utility>

namespace jujuberock::table {

using platform::WriteState;

Edit::Edit(platform::Object wanted,
           platform::Version expected,
           EditOptions options)
    : object(std::move(wanted)), expected_version(expected), options(options) {}

void Edit::Finish(EditResult result) {
  this->edit_result = result;
  this->next = EditStep::kDone;
}

bool Edit::Retry(EditStep step) {
  if (this->attempts >= this->options.attempts)
    return false;
  ++this->attempts;
  this->next = step;
  return true;
}

void Edit::OnWriteReply(const platform::WriteResult& reply) {
  this->error_detail = reply.detail;
  switch (reply.state) {
    case WriteState::kWritten:
      this->accepted_version = reply.version;
      this->Finish(EditResult::kAccepted);
      return;
    case WriteState::kConflict:
      this->Resolve(reply.current);
      return;
    case WriteState::kRejected:
      // An earlier attempt whose response was lost may have taken effect.
      if (!this->response_lost)
        this->Finish(EditResult::kRejected);
      else if (!this->Retry(EditStep::kRead))
        this->Finish(EditResult::kUnknown);
      return;
    case WriteState::kUnknown:
      this->response_lost = true;
      if (!this->Retry(EditStep::kRead))
        this->Finish(EditResult::kUnknown);
      return;
  }
}

void Edit::OnReadReply(const std::optional<platform::Object>& current) {
  const platform::Version version = current ? current->version : 0;
  const bool unchanged = version == this->expected_version;
  if (!unchanged) {
    this->Resolve(current);
    return;
  }
  if (!this->Retry(EditStep::kWrite))
    this->Finish(EditResult::kUnknown);
}

void Edit::OnReadFailed(const std::string& detail) {
  this->error_detail = detail;
  if (!this->Retry(EditStep::kRead))
    this->Finish(EditResult::kUnknown);
}

// Decides the result when the object is no longer at the expected version:
// either this change was applied or another one was.
void Edit::Resolve(const std::optional<platform::Object>& current) {
  const bool own_write = current && !this->object.deleted &&
                         !current->token.empty() &&
                         current->token == this->object.token;
  const bool own_delete =
      !current && this->object.deleted && this->response_lost;
  if (own_write || own_delete) {
    this->accepted_version = current ? current->version : 0;
    this->Finish(EditResult::kAccepted);
    return;
  }
  this->conflicting_object = current;
  this->Finish(EditResult::kConflict);
}

}  // namespace jujuberock::table
