#ifndef CORE_TABLE_EDIT_H_
#define CORE_TABLE_EDIT_H_

#include <optional>
#include <string>

#include "core/platform/object.h"

namespace jujuberock::table {

enum class EditStep { kWrite, kRead, kDone };

enum class EditResult {
  kAccepted,  // the change took effect
  kConflict,  // another change was made first; current() has it
  kRejected,  // the platform rejected the write; nothing changed
  kUnknown,   // the response was lost and the outcome could not be determined
};

struct EditOptions {
  // Maximum number of reads and repeated writes to resolve a lost response.
  int attempts = 5;
};

// State machine of one conditional update (compare-and-set by version) of an
// object by an operator. The caller makes the call that step() returns and
// reports its result, until step() is kDone.
// - If the response to a write is lost, the object is read back. If it has the
//   token of this edit, the write was accepted. If it still has the expected
//   version, the write is repeated with the same token and condition, so that
//   it takes effect at most once even if the first one arrives late.
class Edit {
 public:
  // `expected` is the version that the operator saw; 0 creates the object. A
  // deletion has no token; after a lost response it counts as accepted if the
  // object does not exist.
  Edit(platform::Object wanted,
       platform::Version expected,
       EditOptions options = {});

  EditStep step() const { return this->next; }
  const platform::Object& wanted() const { return this->object; }
  platform::Version expected() const { return this->expected_version; }

  void OnWriteReply(const platform::WriteResult& reply);
  // `current` is nullopt if the object does not exist.
  void OnReadReply(const std::optional<platform::Object>& current);
  void OnReadFailed(const std::string& detail);

  // Valid once step() is kDone.
  EditResult result() const { return this->edit_result; }
  // The accepted version.
  platform::Version version() const { return this->accepted_version; }
  // After a conflict: the current object; nullopt if it does not exist.
  const std::optional<platform::Object>& current() const {
    return this->conflicting_object;
  }
  // After a conflict that followed a lost response: this change may have taken
  // effect before another one replaced it.
  bool may_have_taken_effect() const { return this->response_lost; }
  const std::string& detail() const { return this->error_detail; }

 private:
  void Finish(EditResult result);
  void Resolve(const std::optional<platform::Object>& current);
  bool Retry(EditStep step);

  platform::Object object;
  platform::Version expected_version;
  EditOptions options;
  EditStep next = EditStep::kWrite;
  EditResult edit_result = EditResult::kUnknown;
  platform::Version accepted_version = 0;
  std::optional<platform::Object> conflicting_object;
  bool response_lost = false;
  int attempts = 0;
  std::string error_detail;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_EDIT_H_
