#ifndef CORE_CATALOG_VIEW_AGE_H_
#define CORE_CATALOG_VIEW_AGE_H_

#include <optional>

#include "core/common/time.h"

namespace jujuberock::catalog {

struct ViewAgeOptions {
  // A key that was taken away must not be accepted longer than this.
  common::Duration revocation_bound = std::chrono::seconds(5);
  // Time by which the platform may confirm a view that is already old: a
  // watch may hear nothing for a second while changes are made.
  common::Duration confirmation_lag = std::chrono::milliseconds(1200);
};

// Tells how long ago the platform confirmed the configuration in force. A host
// that has not confirmed it for long must not accept keys any more, since it
// can not know which of them were taken away.
class ViewAge {
 public:
  explicit ViewAge(ViewAgeOptions options) : options(options) {}

  // The platform answered a read that was sent at `sent` and could not be
  // answered earlier than `earliest_answer`.
  void OnConfirmed(common::TimePoint earliest_answer) {
    if (!this->confirmed_at || earliest_answer > *this->confirmed_at)
      this->confirmed_at = earliest_answer;
  }

  // Time since the last confirmation; nothing before the first one.
  std::optional<common::Duration> AgeAt(common::TimePoint now) const {
    if (!this->confirmed_at)
      return std::nullopt;
    return now - *this->confirmed_at;
  }

  // Whether keys may be checked against the view.
  bool KeysUsable(common::TimePoint now) const {
    const auto age = this->AgeAt(now);
    return age && *age < this->KeyLimit();
  }

  // Whether new callers should be sent to other hosts: the view will be too
  // old soon unless the platform answers.
  bool IsFresh(common::TimePoint now) const {
    const auto age = this->AgeAt(now);
    return age && *age < this->KeyLimit() * 8 / 10;
  }

 private:
  common::Duration KeyLimit() const {
    return this->options.revocation_bound - this->options.confirmation_lag;
  }

  ViewAgeOptions options;
  std::optional<common::TimePoint> confirmed_at;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_VIEW_AGE_H_
