#include "core/load_exchange/codec.h"

#include <cstdint>

#include <msgpack.hpp>

#include "core/common/error.h"
#include "core/common/msgpack_unpack.h"

namespace jujuberock::load_exchange {

namespace {

constexpr int kFormat = 1;
constexpr size_t kShortFields = 5;
constexpr size_t kFullFields = 6;

using Packer = msgpack::packer<msgpack::sbuffer>;

void PackFull(Packer& packer, const LoadEntry::Full& full) {
  packer.pack_array(kFullFields + 1);
  packer.pack(full.endpoint);
  packer.pack(full.report.slots);
  packer.pack(full.report.prefill_tokens_per_s);
  packer.pack(full.report.decode_ms);
  packer.pack(full.report.kv_capacity_blocks);
  packer.pack(full.report.version);
  packer.pack(full.report.leaving);
}

void PackEntry(Packer& packer, const LoadEntry& entry) {
  packer.pack_array(entry.full ? kShortFields + 1 : kShortFields);
  packer.pack(entry.endpoint_id);
  packer.pack(entry.as_of.count());
  packer.pack(entry.figures.running);
  packer.pack(entry.figures.queued_tokens);
  packer.pack(entry.figures.kv_used_blocks);
  if (entry.full)
    PackFull(packer, *entry.full);
}

// The elements of an array of at least `size` elements.
const msgpack::object* Elements(const msgpack::object& object, size_t size) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size < size)
    throw msgpack::type_error();
  return object.via.array.ptr;
}

LoadEntry::Full UnpackFull(const msgpack::object& object) {
  const msgpack::object* fields = Elements(object, kFullFields + 1);
  LoadEntry::Full full;
  full.endpoint = fields[0].as<std::string>();
  full.report.slots = fields[1].as<uint32_t>();
  full.report.prefill_tokens_per_s = fields[2].as<double>();
  full.report.decode_ms = fields[3].as<double>();
  full.report.kv_capacity_blocks = fields[4].as<uint64_t>();
  full.report.version = fields[5].as<std::string>();
  full.report.leaving = fields[6].as<bool>();
  return full;
}

LoadEntry UnpackEntry(const msgpack::object& object) {
  const msgpack::object* fields = Elements(object, kShortFields);
  LoadEntry entry;
  entry.endpoint_id = fields[0].as<uint64_t>();
  entry.as_of = common::Duration(fields[1].as<int64_t>());
  entry.figures.running = fields[2].as<uint32_t>();
  entry.figures.queued_tokens = fields[3].as<uint64_t>();
  entry.figures.kv_used_blocks = fields[4].as<uint64_t>();
  if (object.via.array.size > kShortFields)
    entry.full = UnpackFull(fields[kShortFields]);
  return entry;
}

LoadMessage UnpackMessage(const msgpack::object& object) {
  const msgpack::object* fields = Elements(object, 2);
  if (fields[0].as<int>() != kFormat)
    throw msgpack::type_error();
  const msgpack::object* entries = Elements(fields[1], 0);
  LoadMessage message;
  for (size_t i = 0; i < fields[1].via.array.size; ++i)
    message.entries.push_back(UnpackEntry(entries[i]));
  return message;
}

}  // namespace

std::string Encode(const LoadMessage& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(2);
  packer.pack(kFormat);
  packer.pack_array(static_cast<uint32_t>(message.entries.size()));
  for (const LoadEntry& entry : message.entries)
    PackEntry(packer, entry);
  return {buffer.data(), buffer.size()};
}

LoadMessage Decode(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = common::UnpackMessage(bytes);
    return UnpackMessage(handle.get());
  } catch (const std::exception&) {
    throw common::Error(common::ResultCode::kProtocolError,
                        "malformed load_reports message");
  }
}

}  // namespace jujuberock::load_exchange
