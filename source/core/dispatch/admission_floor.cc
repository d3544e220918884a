#include "core/dispatch/admission_floor.h"

#include <algorithm>

namespace jujuberock::dispatch {

namespace {

// The share of all requests that are admitted, times this, is the floor.
constexpr double kFloorRatio = 0.5;
// Groups with fewer decisions per second are not judged.
constexpr double kMinDecisionsPerSecond = 1;
constexpr double kLargeQuantile = 0.7;
constexpr double kLargestQuantile = 0.9;
// Relative step of the quantile estimates for one prompt.
constexpr double kQuantileStep = 0.02;

// Moves the estimate of a quantile by one observation. It rests where the share
// `quantile` of the observations is below it.
void MoveQuantile(double& estimate, double quantile, double observed) {
  if (estimate <= 0)
    estimate = observed;
  estimate *= observed > estimate ? 1 + kQuantileStep * quantile
                                  : 1 - kQuantileStep * (1 - quantile);
}

}  // namespace

SizeClass AdmissionFloor::SizeOf(std::string_view route,
                                 int64_t prompt_tokens) {
  auto found = this->sizes.find(route);
  if (found == this->sizes.end())
    found = this->sizes.emplace(std::string(route), Sizes()).first;
  Sizes& limits = found->second;
  const auto tokens = static_cast<double>(prompt_tokens);
  MoveQuantile(limits.large, kLargeQuantile, tokens);
  MoveQuantile(limits.largest, kLargestQuantile, tokens);
  if (tokens > limits.largest)
    return SizeClass::kLargest;
  return tokens > limits.large ? SizeClass::kLarge : SizeClass::kUsual;
}

AdmissionFloor::Decisions* AdmissionFloor::Find(const std::string& group) {
  const auto found = this->decisions.find(group);
  if (found != this->decisions.end())
    return &found->second;
  if (this->decisions.size() >= kMaxGroups)
    return nullptr;
  return &this->decisions[group];
}

void AdmissionFloor::OnAdmitted(const std::vector<std::string>& groups,
                                common::TimePoint now) {
  this->all.admitted.Add(1, now);
  for (const std::string& group : groups) {
    if (Decisions* entry = this->Find(group))
      entry->admitted.Add(1, now);
  }
}

void AdmissionFloor::OnRefused(const std::vector<std::string>& groups,
                               common::TimePoint now) {
  this->all.refused.Add(1, now);
  for (const std::string& group : groups) {
    if (Decisions* entry = this->Find(group))
      entry->refused.Add(1, now);
  }
}

bool AdmissionFloor::IsBelow(const std::vector<std::string>& groups,
                             common::TimePoint now) const {
  if (this->all.Total(now) < kMinDecisionsPerSecond)
    return false;
  const double floor = kFloorRatio * this->all.Share(now);
  return std::any_of(
      groups.begin(), groups.end(), [&](const std::string& group) {
        const auto found = this->decisions.find(group);
        return found != this->decisions.end() &&
               found->second.Total(now) >= kMinDecisionsPerSecond &&
               found->second.Share(now) < floor;
      });
}

}  // namespace jujuberock::dispatch
