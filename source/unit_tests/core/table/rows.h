#ifndef UNIT_TESTS_CORE_TABLE_ROWS_H_
#define UNIT_TESTS_CORE_TABLE_ROWS_H_

#include <string>

#include "core/table/types.h"

namespace jujuberock::table {

// A valid team. Tests use the patience to tell the versions of a row apart.
inline Object TeamRow(const std::string& name,
                      Version version,
                      int patience_ms) {
  return {"team",
          name,
          version,
          false,
          R"({"keys":[],"bands":[{"from":"00:00","to":"24:00","weight":1,)"
          R"("max_running":8,"patience_ms":)" +
              std::to_string(patience_ms) + "}]}",
          ""};
}

inline Object Tombstone(const std::string& name, Version version) {
  return {"team", name, version, true, "", ""};
}

}  // namespace jujuberock::table

#endif  // UNIT_TESTS_CORE_TABLE_ROWS_H_
