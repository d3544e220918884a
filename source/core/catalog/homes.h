#ifndef CORE_CATALOG_HOMES_H_
#define CORE_CATALOG_HOMES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujuberock::catalog {

// The region of each availability zone.
class ZoneRegions {
 public:
  ZoneRegions() = default;
  explicit ZoneRegions(std::map<std::string, std::string, std::less<>> regions)
      : regions(std::move(regions)) {}
  // Parses "zone=region,zone=region,...". Returns nothing if it is malformed.
  static std::optional<ZoneRegions> Parse(std::string_view text);

  // Empty if the zone is not known.
  std::string_view RegionOf(std::string_view zone) const;

 private:
  std::map<std::string, std::string, std::less<>> regions;
};

// The regions that may see a request: those that its route names and those that
// its team names, where they name any. What they point to must outlive it.
class Homes {
 public:
  // Allows all zones.
  Homes() = default;
  Homes(const ZoneRegions& regions,
        const std::vector<std::string>& of_route,
        const std::vector<std::string>& of_team)
      : regions(&regions), of_route(&of_route), of_team(&of_team) {}

  // Whether what is in this zone may see the request. A zone whose region is
  // not known may not, if there are homes at all.
  bool Allow(std::string_view zone) const;

 private:
  const ZoneRegions* regions = nullptr;
  const std::vector<std::string>* of_route = nullptr;
  const std::vector<std::string>* of_team = nullptr;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_HOMES_H_
