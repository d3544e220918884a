#ifndef CORE_CATALOG_VIEW_AGE_H_
#define CORE_CATALOG_VIEW_AGE_H_

#include <optional>

#include "core/common/time.h"

namespace jujuberock::catalog {

struct ViewAgeOptions {
  // Maximum time that a revoked API key may still be accepted.
  common::Duration revocation_bound = std::chrono::seconds(5);
  // The platform may confirm a view that is already this old: a watch can
  // deliver nothing for a second while changes are being made.
  common::Duration confirmation_lag = std::chrono::milliseconds(1200);

  // Age of the last confirmation from which on no API key may be accepted.
  common::Duration MaxKeyAge() const {
    return this->revocation_bound - this->confirmation_lag;
  }
};

// Tracks when the platform last confirmed the configuration in force. Without a
// recent confirmation, a host must stop accepting API keys, because it cannot
// know which of them were revoked.
class ViewAge {
 public:
  explicit ViewAge(ViewAgeOptions options) : options(options) {}

  // Records a successful read. `earliest_answer` is the earliest time at which
  // the platform can have produced the response.
  void OnConfirmed(common::TimePoint earliest_answer) {
    if (!this->confirmed_at || earliest_answer > *this->confirmed_at)
      this->confirmed_at = earliest_answer;
  }

  // Time since the last confirmation; nullopt before the first one.
  std::optional<common::Duration> AgeAt(common::TimePoint now) const {
    if (!this->confirmed_at)
      return std::nullopt;
    return now - *this->confirmed_at;
  }

  // Whether the view is recent enough to authenticate API keys.
  bool KeysUsable(common::TimePoint now) const {
    const auto age = this->AgeAt(now);
    return age && *age < this->options.MaxKeyAge();
  }

  // Whether the host should report ready. Turns false before KeysUsable() does,
  // so that new callers go to other hosts first.
  bool IsFresh(common::TimePoint now) const {
    const auto age = this->AgeAt(now);
    return age && *age < this->options.MaxKeyAge() * 8 / 10;
  }

 private:
  ViewAgeOptions options;
  std::optional<common::TimePoint> confirmed_at;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_VIEW_AGE_H_
