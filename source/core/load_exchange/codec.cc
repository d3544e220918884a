#include "core/load_exchange/codec.h"

#include <cstdint>

#include <msgpack.hpp>

#include "core/common/error.h"
#include "core/common/msgpack_unpack.h"

namespace jujuberock::load_exchange {

namespace {

constexpr int kFormat = 1;
constexpr size_t kBasicFields = 4;
constexpr size_t kExtendedFields = 6;
constexpr size_t kFullFields = 11;
constexpr size_t kCacheFields = 3;

using Packer = msgpack::packer<msgpack::sbuffer>;

void PackFull(Packer& packer, const LoadEntry::Full& full) {
  packer.pack_array(kFullFields);
  packer.pack(full.endpoint);
  packer.pack(full.report.as_of.count());
  packer.pack(full.report.running);
  packer.pack(full.report.queued_tokens);
  packer.pack(full.report.slots);
  packer.pack(full.report.prefill_tokens_per_s);
  packer.pack(full.report.decode_ms);
  packer.pack(full.report.kv_capacity_blocks);
  packer.pack(full.report.kv_used_blocks);
  packer.pack(full.report.version);
  packer.pack(full.report.leaving);
}

void PackCache(Packer& packer, const EventBatch& batch) {
  packer.pack_array(kCacheFields);
  packer.pack(batch.first_sequence);
  packer.pack(batch.restarted);
  packer.pack_array(static_cast<uint32_t>(batch.events.size()));
  for (const routing::CacheEvent& event : batch.events) {
    packer.pack_array(3);
    packer.pack(event.op == routing::CacheEvent::Op::kAdd);
    packer.pack(event.key.high);
    packer.pack(event.key.low);
  }
}

void PackEntry(Packer& packer, const LoadEntry& entry) {
  const bool extended = entry.full || entry.cache_events;
  packer.pack_array(extended ? kExtendedFields : kBasicFields);
  packer.pack(entry.endpoint_id);
  packer.pack(entry.as_of_ms_low);
  packer.pack(entry.running);
  packer.pack(entry.queued_steps);
  if (!extended)
    return;
  if (entry.full)
    PackFull(packer, *entry.full);
  else
    packer.pack_nil();
  if (entry.cache_events)
    PackCache(packer, *entry.cache_events);
  else
    packer.pack_nil();
}

// Returns the elements of an array that has at least `size` elements.
const msgpack::object* Elements(const msgpack::object& object, size_t size) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size < size)
    throw msgpack::type_error();
  return object.via.array.ptr;
}

LoadEntry::Full UnpackFull(const msgpack::object& object) {
  const msgpack::object* fields = Elements(object, kFullFields);
  LoadEntry::Full full;
  full.endpoint = fields[0].as<std::string>();
  full.report.as_of = common::Duration(fields[1].as<int64_t>());
  full.report.running = fields[2].as<uint32_t>();
  full.report.queued_tokens = fields[3].as<uint64_t>();
  full.report.slots = fields[4].as<uint32_t>();
  full.report.prefill_tokens_per_s = fields[5].as<double>();
  full.report.decode_ms = fields[6].as<double>();
  full.report.kv_capacity_blocks = fields[7].as<uint64_t>();
  full.report.kv_used_blocks = fields[8].as<uint64_t>();
  full.report.version = fields[9].as<std::string>();
  full.report.leaving = fields[10].as<bool>();
  return full;
}

EventBatch UnpackCache(const msgpack::object& object) {
  const msgpack::object* fields = Elements(object, kCacheFields);
  const msgpack::object* events = Elements(fields[2], 0);
  EventBatch batch;
  batch.first_sequence = fields[0].as<uint64_t>();
  batch.restarted = fields[1].as<bool>();
  for (size_t i = 0; i < fields[2].via.array.size; ++i) {
    const msgpack::object* event = Elements(events[i], 3);
    const bool added = event[0].as<bool>();
    batch.events.push_back(
        {added ? routing::CacheEvent::Op::kAdd
               : routing::CacheEvent::Op::kRemove,
         {event[1].as<uint64_t>(), event[2].as<uint64_t>()}});
  }
  return batch;
}

LoadEntry UnpackEntry(const msgpack::object& object) {
  const msgpack::object* fields = Elements(object, kBasicFields);
  LoadEntry entry;
  entry.endpoint_id = fields[0].as<uint32_t>();
  entry.as_of_ms_low = fields[1].as<uint16_t>();
  entry.running = fields[2].as<uint32_t>();
  entry.queued_steps = fields[3].as<uint32_t>();
  if (object.via.array.size < kExtendedFields)
    return entry;
  if (!fields[4].is_nil())
    entry.full = UnpackFull(fields[4]);
  if (!fields[5].is_nil())
    entry.cache_events = UnpackCache(fields[5]);
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
