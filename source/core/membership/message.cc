#include "core/membership/message.h"

#include <msgpack.hpp>

#include "core/common/error.h"
#include "core/common/msgpack_unpack.h"

namespace jujuberock::membership {

namespace {

using common::Error;
using common::ResultCode;
using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr int kFormatVersion = 1;
constexpr size_t kElements = 6;
constexpr size_t kHostElements = 5;
constexpr size_t kNewsOverhead = 8;

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

void PackHostFields(Packer* packer, const HostNews& host) {
  packer->pack(host.name);
  packer->pack(host.zone);
  packer->pack(host.address);
  packer->pack(host.incarnation);
  packer->pack(static_cast<int>(host.state));
}

void PackNews(Packer* packer, const News& news) {
  std::visit(
      Overloaded{
          [&](const HostNews& host) {
            packer->pack_array(1 + kHostElements);
            packer->pack(0);
            PackHostFields(packer, host);
          },
          [&](const LeavingNews& leaving) {
            packer->pack_array(4);
            packer->pack(1);
            packer->pack(leaving.endpoint);
            packer->pack(leaving.version);
            packer->pack(leaving.round);
          },
          [&](const ZoneNews& zone) {
            packer->pack_array(6);
            packer->pack(2);
            packer->pack(zone.zone);
            packer->pack(zone.author);
            packer->pack(zone.sequence);
            packer->pack(zone.live_hosts);
            packer->pack_array(static_cast<uint32_t>(zone.contacts.size() * 2));
            for (const Contact& contact : zone.contacts) {
              packer->pack(contact.name);
              packer->pack(contact.address);
            }
          },
      },
      news);
}

const msgpack::object_array& ArrayOf(const msgpack::object& value,
                                     size_t at_least) {
  if (value.type != msgpack::type::ARRAY || value.via.array.size < at_least)
    throw msgpack::type_error();
  return value.via.array;
}

template <typename Enum>
Enum ReadEnum(const msgpack::object& value, size_t size) {
  const auto number = value.as<uint64_t>();
  if (number >= size)
    throw msgpack::type_error();
  return static_cast<Enum>(number);
}

HostNews ReadHostFields(const msgpack::object* fields) {
  HostNews host;
  host.name = fields[0].as<std::string>();
  host.zone = fields[1].as<std::string>();
  host.address = fields[2].as<std::string>();
  host.incarnation = fields[3].as<uint64_t>();
  host.state = ReadEnum<HostState>(fields[4], kHostStates);
  return host;
}

LeavingNews ReadLeaving(const msgpack::object* fields) {
  return {fields[0].as<std::string>(), fields[1].as<table::Version>(),
          fields[2].as<uint64_t>()};
}

ZoneNews ReadZone(const msgpack::object* fields) {
  ZoneNews zone;
  zone.zone = fields[0].as<std::string>();
  zone.author = fields[1].as<std::string>();
  zone.sequence = fields[2].as<uint64_t>();
  zone.live_hosts = fields[3].as<uint64_t>();
  const auto& contacts = ArrayOf(fields[4], 0);
  for (uint32_t i = 0; i + 1 < contacts.size; i += 2)
    zone.contacts.push_back({contacts.ptr[i].as<std::string>(),
                             contacts.ptr[i + 1].as<std::string>()});
  return zone;
}

News ReadNews(const msgpack::object& value) {
  const auto& array = ArrayOf(value, 1);
  const msgpack::object* fields = array.ptr + 1;
  switch (array.ptr[0].as<int>()) {
    case 0:
      ArrayOf(value, 1 + kHostElements);
      return ReadHostFields(fields);
    case 1:
      ArrayOf(value, 4);
      return ReadLeaving(fields);
    case 2:
      ArrayOf(value, 6);
      return ReadZone(fields);
    default:
      throw msgpack::type_error();
  }
}

Message ReadMessage(const msgpack::object& value) {
  const auto& array = ArrayOf(value, kElements);
  if (array.ptr[0].as<int>() != kFormatVersion)
    throw Error(ResultCode::kProtocolError, "probe of an unknown format");
  Message message;
  message.type = ReadEnum<MessageType>(array.ptr[1], kMessageTypes);
  message.sequence = array.ptr[2].as<uint64_t>();
  message.subject = array.ptr[3].as<std::string>();
  message.sender = ReadHostFields(ArrayOf(array.ptr[4], kHostElements).ptr);
  const auto& news = ArrayOf(array.ptr[5], 0);
  for (uint32_t i = 0; i < news.size; ++i)
    message.news.push_back(ReadNews(news.ptr[i]));
  return message;
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kElements);
  packer.pack(kFormatVersion);
  packer.pack(static_cast<int>(message.type));
  packer.pack(message.sequence);
  packer.pack(message.subject);
  packer.pack_array(kHostElements);
  PackHostFields(&packer, message.sender);
  packer.pack_array(static_cast<uint32_t>(message.news.size()));
  for (const News& news : message.news)
    PackNews(&packer, news);
  return std::string(buffer.data(), buffer.size());
}

Message DecodeMessage(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = common::UnpackMessage(bytes);
    return ReadMessage(handle.get());
  } catch (const msgpack::unpack_error& error) {
    throw Error(ResultCode::kProtocolError,
                std::string("probe: ") + error.what());
  } catch (const msgpack::type_error&) {
    throw Error(ResultCode::kProtocolError, "malformed probe");
  }
}

size_t SizeOf(const News& news) {
  return kNewsOverhead +
         std::visit(Overloaded{
                        [](const HostNews& host) {
                          return host.name.size() + host.zone.size() +
                                 host.address.size() + 11;
                        },
                        [](const LeavingNews& leaving) {
                          return leaving.endpoint.size() + 11;
                        },
                        [](const ZoneNews& zone) {
                          size_t size = zone.zone.size() + zone.author.size();
                          for (const Contact& contact : zone.contacts)
                            size += contact.name.size() +
                                    contact.address.size() + 2;
                          return size + 14;
                        },
                    },
                    news);
}

}  // namespace jujuberock::membership
