#ifndef CORE_DISPATCH_ADMISSION_FLOOR_H_
#define CORE_DISPATCH_ADMISSION_FLOOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/dispatch/decaying_rate.h"

namespace jujuberock::dispatch {

// Size of a prompt among those of its route: one of the largest tenth, of the
// fifth below it, or of the rest.
enum class SizeClass { kUsual, kLarge, kLargest };

// Tracks how often the requests of each group of callers are admitted: those of
// a team, and those of a route by size. A group that is admitted less than half
// as often as all requests of the service is below the floor, so its requests
// go first. It bounds what an order by urgency, deadline and work can cost a
// group. Not thread-safe.
class AdmissionFloor {
 public:
  // Classifies a prompt among the recent ones of its route.
  SizeClass SizeOf(std::string_view route, int64_t prompt_tokens);
  // Records a decision about a request of these groups.
  void OnAdmitted(const std::vector<std::string>& groups,
                  common::TimePoint now);
  void OnRefused(const std::vector<std::string>& groups, common::TimePoint now);
  bool IsBelow(const std::vector<std::string>& groups,
               common::TimePoint now) const;

 private:
  static constexpr size_t kMaxGroups = 1024;

  struct Decisions {
    DecayingRate admitted;
    DecayingRate refused;

    double Total(common::TimePoint now) const {
      return this->admitted.At(now) + this->refused.At(now);
    }
    double Share(common::TimePoint now) const {
      return this->admitted.At(now) / this->Total(now);
    }
  };
  // Estimates of the sizes below which 70 and 90 of 100 prompts are.
  struct Sizes {
    double large = 0;
    double largest = 0;
  };

  Decisions* Find(const std::string& group);

  std::map<std::string, Decisions> decisions;
  Decisions all;
  std::map<std::string, Sizes, std::less<>> sizes;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ADMISSION_FLOOR_H_
