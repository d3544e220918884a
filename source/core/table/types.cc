#include "core/table/types.h"

#include "core/common/name_table.h"

namespace jujuberock::table {

namespace {

constexpr common::NameTable<Kind, kKindCount> kKindNames({"team", "service",
                                                          "endpoint", "host",
                                                          "store"});

}  // namespace

std::string_view NameOf(Kind kind) {
  return kKindNames.NameOf(kind);
}

std::optional<Kind> KindOf(std::string_view name) {
  return kKindNames.ValueOf(name);
}

}  // namespace jujuberock::table
