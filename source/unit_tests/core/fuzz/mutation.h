#ifndef UNIT_TESTS_CORE_FUZZ_MUTATION_H_
#define UNIT_TESTS_CORE_FUZZ_MUTATION_H_

#include <string>
#include <string_view>

#include "core/common/random.h"

namespace jujuberock::fuzz {

// Applies one to eight random edits: a flipped bit, a deleted or duplicated
// range, or an inserted token (an overflowing number or bytes special to
// parsers).
inline std::string Mutate(std::string_view input, common::Random& random) {
  static constexpr std::string_view kTokens[] = {"99999999999999999999",
                                                 "-1",
                                                 "null",
                                                 "{",
                                                 "[",
                                                 "\"",
                                                 "\\u0000",
                                                 "\xff\xfe",
                                                 "1e400",
                                                 "/*",
                                                 "//",
                                                 "\xc1",
                                                 "\xdf\xff\xff\xff\xff"};
  std::string text(input);
  const uint64_t edits = 1 + random.NextBelow(8);
  for (uint64_t i = 0; i < edits && !text.empty(); ++i) {
    const size_t at = random.NextBelow(text.size());
    const size_t length = 1 + random.NextBelow(text.size() - at);
    switch (random.NextBelow(4)) {
      case 0:
        text[at] = static_cast<char>(text[at] ^ (1 << random.NextBelow(8)));
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      default:
        text.insert(at, kTokens[random.NextBelow(std::size(kTokens))]);
    }
  }
  return text;
}

}  // namespace jujuberock::fuzz

#endif  // UNIT_TESTS_CORE_FUZZ_MUTATION_H_
