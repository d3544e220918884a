#ifndef CORE_TABLE_CLI_BANDS_H_
#define CORE_TABLE_CLI_BANDS_H_

#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::table_cli {

// A change of some cells of a row, as typed: "weight=3".
struct Assignment {
  std::string field;
  // JSON text of the value.
  std::string value;
};

// Throws common::Error kUsage when the text is not "field=number".
Assignment ParseAssignment(std::string_view text);

// Sets fields in the hours `range` ("06:00-09:00") of the object's bands.
// Bands that the range cuts are split; equal neighbours are joined again.
// Returns the new body, which is not validated yet. Throws common::Error
// kUsage for a malformed range, kInvalidTable when the body has no bands.
std::string EditBands(std::string_view body,
                      std::string_view range,
                      const std::vector<Assignment>& assignments);

}  // namespace jujuberock::table_cli

#endif  // CORE_TABLE_CLI_BANDS_H_
