#ifndef STANDIN_ANSWER_TEXT_H_
#define STANDIN_ANSWER_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::standin {

// Bytes of prompt text in one token and tokens in one cache block.
constexpr uint64_t kTokenBytes = 4;
constexpr uint64_t kBlockTokens = 2000;
constexpr uint64_t kBlockBytes = kTokenBytes * kBlockTokens;

// 64 lower-case hexadecimal digits of the SHA-256.
std::string Sha256Hex(std::string_view bytes);

// Digests of the whole blocks of a prompt, in order.
std::vector<std::string> BlockDigests(std::string_view prompt);

// The seed of an answer: SHA-256 of "VERSION\n", the digests of the prompt's
// blocks and the digest of its rest. Clients compute the same to verify.
std::string AnswerSeed(std::string_view version,
                       const std::vector<std::string>& block_digests,
                       std::string_view rest);

// Text of one token: the first 7 digits of SHA-256("SEED:OFFSET") and a space.
std::string AnswerToken(std::string_view seed, uint64_t offset);

}  // namespace jujuberock::standin

#endif  // STANDIN_ANSWER_TEXT_H_
