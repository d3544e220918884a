#include "core/catalog/homes.h"

#include <algorithm>

namespace jujuberock::catalog {

namespace {

bool Includes(const std::vector<std::string>& homes, std::string_view region) {
  return homes.empty() ||
         std::find(homes.begin(), homes.end(), region) != homes.end();
}

}  // namespace

std::optional<ZoneRegions> ZoneRegions::Parse(std::string_view text) {
  std::map<std::string, std::string, std::less<>> regions;
  while (!text.empty()) {
    const size_t end = std::min(text.find(','), text.size());
    const std::string_view entry = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const size_t separator = entry.find('=');
    if (separator == std::string_view::npos || separator == 0 ||
        separator + 1 == entry.size())
      return std::nullopt;
    regions.insert_or_assign(std::string(entry.substr(0, separator)),
                             std::string(entry.substr(separator + 1)));
  }
  return ZoneRegions(std::move(regions));
}

std::string_view ZoneRegions::RegionOf(std::string_view zone) const {
  const auto found = this->regions.find(zone);
  return found == this->regions.end() ? std::string_view() : found->second;
}

bool Homes::Allow(std::string_view zone) const {
  if (!this->regions || (this->of_route->empty() && this->of_team->empty()))
    return true;
  const std::string_view region = this->regions->RegionOf(zone);
  return !region.empty() && Includes(*this->of_route, region) &&
         Includes(*this->of_team, region);
}

}  // namespace jujuberock::catalog
