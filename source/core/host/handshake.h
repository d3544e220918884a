#ifndef CORE_HOST_HANDSHAKE_H_
#define CORE_HOST_HANDSHAKE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujuberock::host {

// Proof that both ends of a new connection hold the deployment key. It comes
// before the first HTTP/2 byte:
//   server: "JJB1", nonce[32]
//   client: nonce[32], length of name[1], name, HMAC[32]
//   server: length of name[1], name, HMAC[32]
// The HMAC-SHA-256 covers the role, both nonces and both names. It proves the
// deployment to each end at connect; it does not encrypt what follows.
constexpr std::string_view kHandshakeMagic = "JJB1";
constexpr size_t kNonceBytes = 32;
constexpr size_t kProofBytes = 32;
constexpr size_t kMaxNameBytes = 63;

using Nonce = std::array<uint8_t, kNonceBytes>;
using Proof = std::array<uint8_t, kProofBytes>;

enum class Role : char { kClient = 'c', kServer = 's' };

struct HandshakeFacts {
  Nonce server_nonce{};
  Nonce client_nonce{};
  std::string client_name;
  // Empty in the client's proof, which is made before the server is known.
  std::string server_name;
};

// Random bytes from OpenSSL; throws common::Error kInternal without entropy.
Nonce MakeNonce();

Proof MakeProof(std::string_view key, Role role, const HandshakeFacts& facts);

// Compares in constant time.
bool SameProof(const Proof& left, const Proof& right);

}  // namespace jujuberock::host

#endif  // CORE_HOST_HANDSHAKE_H_
