#ifndef CORE_RUNTIME_HTTP_TYPES_H_
#define CORE_RUNTIME_HTTP_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::runtime {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Header fields in order of arrival. Names are case-insensitive.
class HttpHeaders {
 public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> fields) : fields(fields) {}

  void Add(std::string name, std::string value) {
    this->fields.push_back({std::move(name), std::move(value)});
  }
  // Replaces all fields of that name with one.
  void Set(std::string_view name, std::string value);
  void Remove(std::string_view name);
  // Returns the first value of that name. The view is valid until the headers
  // change.
  std::optional<std::string_view> Find(std::string_view name) const;

  const std::vector<HttpHeader>& all() const { return this->fields; }

 private:
  std::vector<HttpHeader> fields;
};

// Status of a response that precedes the one to the request (RFC 9110, section
// 15.2).
constexpr bool IsInterimStatus(int status) {
  return status >= 100 && status < 200;
}

// Status of the response to a request.
constexpr bool IsFinalStatus(int status) {
  return status >= 200 && status < 600;
}

// Whether HTTP has such a status. Parsers accept any three digits, but a
// response with another status is malformed.
constexpr bool IsValidStatus(int status) {
  return IsInterimStatus(status) || IsFinalStatus(status);
}

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

// A TCP address: numeric IP address and port.
struct Address {
  std::string ip;
  uint16_t port = 0;

  // Parses "ip:port" or "[ip6]:port". Returns nullopt if the text is malformed.
  static std::optional<Address> Parse(std::string_view text);
  std::string ToString() const;

  auto operator<=>(const Address&) const = default;
};

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_HTTP_TYPES_H_
