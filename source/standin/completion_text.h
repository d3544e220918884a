#ifndef STANDIN_COMPLETION_TEXT_H_
#define STANDIN_COMPLETION_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::standin {

// Prompt bytes per token, and tokens per cache block.
constexpr uint64_t kTokenBytes = 4;
constexpr uint64_t kBlockTokens = 2000;
constexpr uint64_t kBlockBytes = kTokenBytes * kBlockTokens;

// Returns the SHA-256 digest as 64 lowercase hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

// Returns the digests of the complete blocks of a prompt, in order. A partial
// block at the end is left out.
std::vector<std::string> BlockDigests(std::string_view prompt);

// Returns the seed of a completion: the SHA-256 of "VERSION\n", the digests of
// the prompt's blocks and the digest of the remaining text. Clients compute the
// same seed to verify a completion.
std::string CompletionSeed(std::string_view version,
                           const std::vector<std::string>& block_digests,
                           std::string_view rest);

// Returns the text of one generated token: the first 7 digits of
// SHA-256("SEED:OFFSET") and a space.
std::string CompletionToken(std::string_view seed, uint64_t offset);

}  // namespace jujuberock::standin

#endif  // STANDIN_COMPLETION_TEXT_H_
