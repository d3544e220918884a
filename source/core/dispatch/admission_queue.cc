#include "core/dispatch/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace jujuberock::dispatch {

namespace {

// Deadlines that fall into the same interval count as equal, so that a long
// prompt does not go before a short one because it arrived a moment earlier.
constexpr common::Duration kDeadlineStep = std::chrono::milliseconds(100);

auto RankOf(const WaitingRequest& request, common::TimePoint now) {
  const bool is_late = request.latest_start < now;
  const int64_t deadline =
      request.latest_start.time_since_epoch() / kDeadlineStep;
  return std::make_tuple(!request.is_below_floor, request.urgency, is_late,
                         deadline, request.work_ms);
}

}  // namespace

bool GoesBefore(const WaitingRequest& a,
                const WaitingRequest& b,
                common::TimePoint now) {
  return RankOf(a, now) < RankOf(b, now);
}

AdmissionQueue::Place AdmissionQueue::Add(const WaitingRequest& request) {
  const Place place = this->next_place++;
  this->waiting.emplace(place, request);
  return place;
}

void AdmissionQueue::SetWaitsForRoom(Place place, bool waits_for_room) {
  const auto found = this->waiting.find(place);
  if (found != this->waiting.end())
    found->second.waits_for_room = waits_for_room;
}

bool AdmissionQueue::MustWait(const WaitingRequest& arrived,
                              common::TimePoint now) const {
  return std::any_of(this->waiting.begin(), this->waiting.end(),
                     [&](const auto& entry) {
                       return entry.second.waits_for_room &&
                              GoesBefore(entry.second, arrived, now);
                     });
}

std::vector<AdmissionQueue::Place> AdmissionQueue::First(
    size_t count,
    common::TimePoint now) const {
  std::vector<Place> places;
  places.reserve(this->waiting.size());
  for (const auto& [place, request] : this->waiting)
    places.push_back(place);
  const size_t taken = std::min(count, places.size());
  std::partial_sort(places.begin(),
                    places.begin() + static_cast<ptrdiff_t>(taken),
                    places.end(), [&](Place a, Place b) {
                      const WaitingRequest& first = this->waiting.at(a);
                      const WaitingRequest& second = this->waiting.at(b);
                      if (GoesBefore(first, second, now))
                        return true;
                      // The longest wait decides between equals.
                      return !GoesBefore(second, first, now) && a < b;
                    });
  places.resize(taken);
  return places;
}

}  // namespace jujuberock::dispatch
