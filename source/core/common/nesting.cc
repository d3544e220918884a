#include "core/common/nesting.h"

namespace jujuberock::common {
namespace {

// Position of the quote that ends the string whose content starts at `begin`,
// or the end of the text.
size_t FindStringEnd(std::string_view json, size_t begin) {
  size_t at = begin;
  while (at < json.size() && json[at] != '"')
    at += json[at] == '\\' ? 2 : 1;
  return at;
}

}  // namespace

bool ExceedsNesting(std::string_view json, size_t limit) {
  size_t depth = 0;
  for (size_t at = 0; at < json.size(); ++at) {
    switch (json[at]) {
      case '"':
        at = FindStringEnd(json, at + 1);
        break;
      case '[':
      case '{':
        if (++depth > limit)
          return true;
        break;
      case ']':
      case '}':
        if (depth > 0)
          --depth;
        break;
      default:
        break;
    }
  }
  return false;
}

}  // namespace jujuberock::common
