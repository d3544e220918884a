#ifndef CORE_HOST_HANDSHAKE_H_
#define CORE_HOST_HANDSHAKE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujuberock::host {

// Mutual authentication of a new connection with the pre-shared deployment key.
// It precedes the first HTTP/2 byte:
//   server: "JJB1", nonce[32]
//   client: nonce[32], length of name[1], name, HMAC[32]
//   server: length of name[1], name, HMAC[32]
// The HMAC-SHA-256 covers the magic, the sender's role, both nonces and both
// names. It proves to each peer that the other belongs to the deployment;
// subsequent traffic is not encrypted.
constexpr std::string_view kHandshakeMagic = "JJB1";
constexpr size_t kNonceBytes = 32;
constexpr size_t kProofBytes = 32;
constexpr size_t kMaxNameBytes = 63;

using Nonce = std::array<uint8_t, kNonceBytes>;
using Proof = std::array<uint8_t, kProofBytes>;

enum class Role : char { kClient = 'c', kServer = 's' };

struct HandshakeTranscript {
  Nonce server_nonce{};
  Nonce client_nonce{};
  std::string client_name;
  // Empty in the client's proof, which is computed before the client learns
  // the server's name.
  std::string server_name;
};

// Returns random bytes from OpenSSL. Throws common::Error kInternal if the
// generator fails.
Nonce GenerateNonce();

// Computes the HMAC of the transcript for the given role.
Proof ComputeProof(std::string_view key,
                   Role role,
                   const HandshakeTranscript& transcript);

// Compares in constant time.
bool ProofsEqual(const Proof& left, const Proof& right);

}  // namespace jujuberock::host

#endif  // CORE_HOST_HANDSHAKE_H_
