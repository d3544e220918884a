#ifndef UNIT_TESTS_CORE_FUZZ_MUTATION_H_
#define UNIT_TESTS_CORE_FUZZ_MUTATION_H_

#include <string>
#include <string_view>

#include "core/common/random.h"

namespace jujuberock::fuzz {

// Replaces the first run of digits behind `from`, if there is one.
inline void ReplaceNumber(std::string& text,
                          size_t from,
                          std::string_view replacement) {
  constexpr std::string_view kDigits = "0123456789";
  const size_t begin = text.find_first_of(kDigits, from);
  if (begin == std::string::npos)
    return;
  const size_t end = text.find_first_not_of(kDigits, begin);
  const size_t length = end == std::string::npos ? end : end - begin;
  text.replace(begin, length, replacement);
}

// Applies one to eight random edits: a flipped bit, a deleted or duplicated
// range, or a token (an overflowing number, bytes special to parsers, or
// nesting) that is inserted or replaces a number, which often leaves the text
// well-formed.
inline std::string Mutate(std::string_view input, common::Random& random) {
  static const std::string kArrays(4000, '[');
  static const std::string kClosedArrays =
      kArrays + std::string(kArrays.size(), ']');
  // MessagePack arrays and maps with one element each.
  static const std::string kPackedArrays(4000, '\x91');
  static const std::string kPackedMaps(4000, '\x81');
  static const std::string_view kTokens[] = {kArrays,
                                             kClosedArrays,
                                             kPackedArrays,
                                             kPackedMaps,
                                             "99999999999999999999",
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
    const std::string_view token =
        kTokens[random.NextBelow(std::size(kTokens))];
    switch (random.NextBelow(5)) {
      case 0:
        text[at] = static_cast<char>(text[at] ^ (1 << random.NextBelow(8)));
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      case 3:
        text.insert(at, token);
        break;
      default:
        ReplaceNumber(text, at, token);
    }
  }
  return text;
}

}  // namespace jujuberock::fuzz

#endif  // UNIT_TESTS_CORE_FUZZ_MUTATION_H_
