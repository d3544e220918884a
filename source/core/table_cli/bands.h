#ifndef CORE_TABLE_CLI_BANDS_H_
#define CORE_TABLE_CLI_BANDS_H_

#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::table_cli {

// A new value for one field of a band, as typed by the operator: "weight=3".
struct Assignment {
  std::string field;
  // JSON text of the value.
  std::string value;
};

// Throws common::Error kUsage if the text is not "field=number".
Assignment ParseAssignment(std::string_view text);

// Sets fields of the object's bands within the time range ("06:00-09:00").
// Bands that overlap the range only partly are split; adjacent bands with equal
// fields are merged. Returns the new body, which is not validated. Throws
// common::Error kUsage for a malformed range and kInvalidTable if the body has
// no bands.
std::string EditBands(std::string_view body,
                      std::string_view range,
                      const std::vector<Assignment>& assignments);

}  // namespace jujuberock::table_cli

#endif  // CORE_TABLE_CLI_BANDS_H_
