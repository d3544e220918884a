#include "core/serve/limit_updater.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace jujuberock::serve {

namespace {

// Number of hosts that share limits and capacity, including this one.
size_t CountLiveHosts(const table::Snapshot& rows) {
  size_t count = 0;
  for (const auto& [name, host] : rows.hosts()) {
    if (host->state == table::MemberState::kLive)
      ++count;
  }
  return std::max<size_t>(1, count);
}

// Fraction of each team's limit that this zone may use. Shares are configured
// per service but limits per team, so this is the mean over all services. It
// sums to one over the zones if the shares of each service do.
double ZoneShare(const table::Snapshot& rows, const std::string& zone) {
  std::set<std::string> zones{zone};
  for (const auto& [name, host] : rows.hosts())
    zones.insert(host->zone);
  const double even_share = 1.0 / static_cast<double>(zones.size());
  double sum = 0;
  for (const auto& [name, service] : rows.services()) {
    const auto found = service->zone_shares.find(zone);
    if (service->zone_shares.empty())
      sum += even_share;
    else if (found != service->zone_shares.end())
      sum += found->second;
  }
  const size_t services = rows.services().size();
  return services == 0 ? even_share : sum / static_cast<double>(services);
}

template <typename BandType>
const BandType* BandAt(const std::vector<BandType>& bands, int minute) {
  for (const BandType& band : bands) {
    if (minute >= band.from_minute && minute < band.to_minute)
      return &band;
  }
  return nullptr;
}

uint32_t ToCount(double value) {
  return static_cast<uint32_t>(std::clamp(value, 0.0, 1e9));
}

}  // namespace

void LimitUpdater::Update() {
  const table::SnapshotPtr rows = this->view.Current();
  // Every host may use the link of every store, so all hosts share it.
  this->router.With([&](routing::Router& router) {
    router.SetHostCount(CountLiveHosts(*rows));
  });
  for (const auto& [name, service] : rows->services())
    this->UpdateService(*rows, *service);
  for (const auto& [name, team] : rows->teams())
    this->UpdateTeam(*rows, *team);
}

void LimitUpdater::UpdateService(const table::Snapshot& rows,
                                 const table::Service& service) {
  this->budget.With([&](admission::RetryBudget& budget) {
    budget.SetShare(service.name, service.retry_budget);
  });
  const int minute = rows.MinuteOfDay(this->timers.WallNow());
  const table::ServiceBand* band = BandAt(service.bands, minute);
  const std::optional<uint32_t> slots =
      this->endpoint_monitor.SlotsOf(service.name);
  if (!band || !slots)
    return;
  // The load balancer spreads callers unevenly over hosts, so each host may use
  // somewhat more than an even share of the slots.
  const double share = *slots * this->settings.capacity_headroom /
                       static_cast<double>(CountLiveHosts(rows));
  this->gate.SetService(service.name, ToCount(std::max(1.0, std::ceil(share))),
                        ToCount(static_cast<double>(band->max_queue)));
}

void LimitUpdater::UpdateTeam(const table::Snapshot& rows,
                              const table::Team& team) {
  const int minute = rows.MinuteOfDay(this->timers.WallNow());
  const table::TeamBand* band = BandAt(team.bands, minute);
  if (!band || band->weight <= 0)
    return;
  const double zone_limit = static_cast<double>(band->max_running) *
                            ZoneShare(rows, this->settings.zone);
  // A limit below the number of zones still allows one request in each zone.
  const double minimum = band->max_running > 0 ? 1.0 : 0.0;
  this->peer_sync.SetTeam(team.name, band->weight,
                          ToCount(std::max(minimum, std::floor(zone_limit))));
}

}  // namespace jujuberock::serve
