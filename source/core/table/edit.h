#ifndef CORE_TABLE_EDITOR_H_
#define CORE_TABLE_EDITOR_H_

#include <optional>
#include <string>

#include "core/platform/object.h"

namespace jujuberock::table {

enum class EditStep { kWrite, kRead, kDone };

enum class EditResult {
  kAccepted,  // the change took effect
  kConflict,  // another change came first; both values are shown
  kRejected,  // the platform refused; nothing changed
  kUnknown,   // the platform could not be asked what happened
};

struct EditOptions {
  // Reads and writes made to settle a lost answer before giving up.
  int attempts = 5;
};

// One conditional update of an object by an operator. The driver makes the
// call that step() names and reports its result until step() is kDone.
// - A write whose answer was lost is settled by reading the object back: the
//   writer's own token means accepted. While the object still has the expected
//   version, the write is repeated with the same token and condition, so that
//   it takes effect at most once even when the first one arrives late.
class Edit {
 public:
  // `expected` is the version that the operator saw; 0 creates. A deletion has
  // no token, so its lost answer is settled by the object's absence.
  Edit(platform::Object wanted,
       platform::Version expected,
       EditOptions options = {});

  EditStep step() const { return this->next; }
  const platform::Object& wanted() const { return this->object; }
  platform::Version expected() const { return this->expected_version; }

  void OnWriteReply(const platform::WriteResult& reply);
  // `current` is nothing when the object does not exist.
  void OnReadReply(const std::optional<platform::Object>& current);
  void OnReadFailed(const std::string& detail);

  // Valid once step() is kDone.
  EditResult result() const { return this->outcome; }
  // The accepted version.
  platform::Version version() const { return this->accepted_version; }
  // After a conflict: what is in force instead; nothing when deleted.
  const std::optional<platform::Object>& current() const {
    return this->in_force;
  }
  // After a conflict that followed a lost answer: this change may have been in
  // force before the other one replaced it.
  bool may_have_been_in_force() const { return this->answer_lost; }
  const std::string& detail() const { return this->why; }

 private:
  void Finish(EditResult result);
  void Settle(const std::optional<platform::Object>& current);
  bool TryAgain(EditStep step);

  platform::Object object;
  platform::Version expected_version;
  EditOptions options;
  EditStep next = EditStep::kWrite;
  EditResult outcome = EditResult::kUnknown;
  platform::Version accepted_version = 0;
  std::optional<platform::Object> in_force;
  bool answer_lost = false;
  int attempts = 0;
  std::string why;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_EDITOR_H_
