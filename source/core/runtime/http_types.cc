#include "core/runtime/http_types.h"

#include <strings.h>

#include <charconv>

namespace jujuberock::runtime {

namespace {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

void HttpHeaders::Set(std::string_view name, std::string value) {
  this->Remove(name);
  this->Add(std::string(name), std::move(value));
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(this->fields, [name](const HttpHeader& field) {
    return EqualsIgnoreCase(field.name, name);
  });
}

std::optional<std::string_view> HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader& field : this->fields) {
    if (EqualsIgnoreCase(field.name, name))
      return field.value;
  }
  return std::nullopt;
}

std::optional<Address> Address::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return std::nullopt;
  std::string_view ip = text.substr(0, colon);
  if (ip.front() == '[') {
    if (ip.size() < 3 || ip.back() != ']')
      return std::nullopt;
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size())
    return std::nullopt;
  return Address{std::string(ip), port};
}

std::string Address::ToString() const {
  const bool is_v6 = this->ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? '[' + this->ip + ']' : this->ip;
  return host + ':' + std::to_string(this->port);
}

}  // namespace jujuberock::runtime
