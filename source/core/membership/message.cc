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
constexpr size_t kMessageFields = 6;
constexpr size_t kHostFields = 5;
constexpr size_t kItemOverhead = 8;

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

void PackHostFields(Packer* packer, const HostInfo& host) {
  packer->pack(host.name);
  packer->pack(host.zone);
  packer->pack(host.address);
  packer->pack(host.incarnation);
  packer->pack(static_cast<int>(host.state));
}

void PackGossipItem(Packer* packer, const GossipItem& item) {
  std::visit(Overloaded{
                 [&](const HostInfo& host) {
                   packer->pack_array(1 + kHostFields);
                   packer->pack(0);
                   PackHostFields(packer, host);
                 },
                 [&](const LeavingEndpoint& leaving) {
                   packer->pack_array(4);
                   packer->pack(1);
                   packer->pack(leaving.endpoint);
                   packer->pack(leaving.version);
                   packer->pack(leaving.round);
                 },
                 [&](const ZoneSummary& zone) {
                   packer->pack_array(6);
                   packer->pack(2);
                   packer->pack(zone.zone);
                   packer->pack(zone.author);
                   packer->pack(zone.sequence);
                   packer->pack(zone.live_hosts);
                   packer->pack_array(
                       static_cast<uint32_t>(zone.delegates.size() * 2));
                   for (const Delegate& delegate : zone.delegates) {
                     packer->pack(delegate.name);
                     packer->pack(delegate.address);
                   }
                 },
             },
             item);
}

const msgpack::object_array& AsArray(const msgpack::object& value,
                                     size_t min_size) {
  if (value.type != msgpack::type::ARRAY || value.via.array.size < min_size)
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

HostInfo ReadHostFields(const msgpack::object* fields) {
  HostInfo host;
  host.name = fields[0].as<std::string>();
  host.zone = fields[1].as<std::string>();
  host.address = fields[2].as<std::string>();
  host.incarnation = fields[3].as<uint64_t>();
  host.state = ReadEnum<HostState>(fields[4], kHostStates);
  return host;
}

LeavingEndpoint ReadLeavingEndpoint(const msgpack::object* fields) {
  return {fields[0].as<std::string>(), fields[1].as<table::Version>(),
          fields[2].as<uint64_t>()};
}

ZoneSummary ReadZoneSummary(const msgpack::object* fields) {
  ZoneSummary zone;
  zone.zone = fields[0].as<std::string>();
  zone.author = fields[1].as<std::string>();
  zone.sequence = fields[2].as<uint64_t>();
  zone.live_hosts = fields[3].as<uint64_t>();
  const auto& delegates = AsArray(fields[4], 0);
  for (uint32_t i = 0; i + 1 < delegates.size; i += 2)
    zone.delegates.push_back({delegates.ptr[i].as<std::string>(),
                              delegates.ptr[i + 1].as<std::string>()});
  return zone;
}

GossipItem ReadGossipItem(const msgpack::object& value) {
  const auto& array = AsArray(value, 1);
  const msgpack::object* fields = array.ptr + 1;
  switch (array.ptr[0].as<int>()) {
    case 0:
      AsArray(value, 1 + kHostFields);
      return ReadHostFields(fields);
    case 1:
      AsArray(value, 4);
      return ReadLeavingEndpoint(fields);
    case 2:
      AsArray(value, 6);
      return ReadZoneSummary(fields);
    default:
      throw msgpack::type_error();
  }
}

Message ReadMessage(const msgpack::object& value) {
  const auto& array = AsArray(value, kMessageFields);
  if (array.ptr[0].as<int>() != kFormatVersion)
    throw Error(ResultCode::kProtocolError,
                "membership message of an unknown format version");
  Message message;
  message.type = ReadEnum<MessageType>(array.ptr[1], kMessageTypes);
  message.sequence = array.ptr[2].as<uint64_t>();
  message.subject = array.ptr[3].as<std::string>();
  message.sender = ReadHostFields(AsArray(array.ptr[4], kHostFields).ptr);
  const auto& items = AsArray(array.ptr[5], 0);
  for (uint32_t i = 0; i < items.size; ++i)
    message.gossip.push_back(ReadGossipItem(items.ptr[i]));
  return message;
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kMessageFields);
  packer.pack(kFormatVersion);
  packer.pack(static_cast<int>(message.type));
  packer.pack(message.sequence);
  packer.pack(message.subject);
  packer.pack_array(kHostFields);
  PackHostFields(&packer, message.sender);
  packer.pack_array(static_cast<uint32_t>(message.gossip.size()));
  for (const GossipItem& item : message.gossip)
    PackGossipItem(&packer, item);
  return std::string(buffer.data(), buffer.size());
}

Message DecodeMessage(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = common::UnpackMessage(bytes);
    return ReadMessage(handle.get());
  } catch (const msgpack::unpack_error& error) {
    throw Error(ResultCode::kProtocolError,
                std::string("membership message: ") + error.what());
  } catch (const msgpack::type_error&) {
    throw Error(ResultCode::kProtocolError, "malformed membership message");
  }
}

size_t EstimatedSize(const GossipItem& item) {
  return kItemOverhead +
         std::visit(Overloaded{
                        [](const HostInfo& host) {
                          return host.name.size() + host.zone.size() +
                                 host.address.size() + 11;
                        },
                        [](const LeavingEndpoint& leaving) {
                          return leaving.endpoint.size() + 11;
                        },
                        [](const ZoneSummary& zone) {
                          size_t size = zone.zone.size() + zone.author.size();
                          for (const Delegate& delegate : zone.delegates)
                            size += delegate.name.size() +
                                    delegate.address.size() + 2;
                          return size + 14;
                        },
                    },
                    item);
}

}  // namespace jujuberock::membership
