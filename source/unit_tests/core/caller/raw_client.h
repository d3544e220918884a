#ifndef UNIT_TESTS_CORE_CALLER_RAW_CLIENT_H_
#define UNIT_TESTS_CORE_CALLER_RAW_CLIENT_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <string>

#include "core/runtime/http_types.h"

namespace jujuberock {

// Blocking TCP client that sends exactly the given bytes.
class RawClient {
 public:
  explicit RawClient(const runtime::Address& address)
      : socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    connect(this->socket, reinterpret_cast<sockaddr*>(&target), sizeof(target));
    // Longer than any response in the tests takes.
    const timeval limit{10, 0};
    setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  ~RawClient() { close(this->socket); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& bytes) {
    ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  // Closes the sending side only; the response can still be read.
  void ShutdownSend() { shutdown(this->socket, SHUT_WR); }

  // Reads until `text` has arrived or the connection ends.
  std::string ReadUntil(const std::string& text) {
    std::array<char, 4096> buffer;
    while (text.empty() || this->received.find(text) == std::string::npos) {
      const ssize_t bytes = recv(this->socket, buffer.data(), buffer.size(), 0);
      this->is_reset |= bytes < 0 && errno == ECONNRESET;
      if (bytes <= 0)
        break;
      this->received.append(buffer.data(), static_cast<size_t>(bytes));
    }
    return this->received;
  }
  std::string ReadAll() { return this->ReadUntil(""); }
  // Whether the connection ended with a reset.
  bool was_reset() const { return this->is_reset; }

 private:
  int socket;
  std::string received;
  bool is_reset = false;
};

// Returns the HTTP status of a response, or 0 if the connection ended without
// one.
inline int StatusOf(const std::string& response) {
  return response.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(response.c_str() + 9)
                                             : 0;
}

}  // namespace jujuberock

#endif  // UNIT_TESTS_CORE_CALLER_RAW_CLIENT_H_
