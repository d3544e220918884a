#include "core/table/sync_message.h"

#include <msgpack.hpp>

#include "core/common/error.h"
#include "core/common/msgpack_unpack.h"
#include "core/table/parse.h"

namespace jujuberock::table {

namespace {

using common::Error;
using common::ResultCode;
using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr int kFormatVersion = 1;
constexpr size_t kElements = 7;
constexpr size_t kObjectElements = 4;

void PackDigest(Packer* packer, const std::optional<Digest>& digest) {
  if (!digest) {
    packer->pack_nil();
    return;
  }
  packer->pack_array(kBucketCount * 2);
  for (const BucketDigest& bucket : digest->buckets) {
    packer->pack(bucket.max_version);
    packer->pack(bucket.hash);
  }
}

void PackObject(Packer* packer, const Object& object) {
  packer->pack_array(kObjectElements);
  packer->pack(object.kind);
  packer->pack(object.name);
  packer->pack(object.version);
  if (object.deleted)
    packer->pack_nil();
  else
    packer->pack(object.body);
}

const msgpack::object_array& ArrayOf(const msgpack::object& value,
                                     size_t size) {
  if (value.type != msgpack::type::ARRAY || value.via.array.size != size)
    throw msgpack::type_error();
  return value.via.array;
}

std::optional<Digest> ReadDigest(const msgpack::object& value) {
  if (value.is_nil())
    return std::nullopt;
  const auto& array = ArrayOf(value, kBucketCount * 2);
  Digest digest;
  for (size_t i = 0; i < kBucketCount; ++i) {
    digest.buckets[i].max_version = array.ptr[2 * i].as<Version>();
    digest.buckets[i].hash = array.ptr[2 * i + 1].as<uint64_t>();
  }
  return digest;
}

Object ReadObject(const msgpack::object& value) {
  const auto& array = ArrayOf(value, kObjectElements);
  Object object;
  object.kind = array.ptr[0].as<std::string>();
  object.name = array.ptr[1].as<std::string>();
  object.version = array.ptr[2].as<Version>();
  object.deleted = array.ptr[3].is_nil();
  if (!object.deleted)
    object.body = array.ptr[3].as<std::string>();
  if (!KindOf(object.kind) || !IsObjectName(object.name))
    throw msgpack::type_error();
  return object;
}

std::vector<Object> ReadObjects(const msgpack::object& value) {
  if (value.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  std::vector<Object> objects;
  objects.reserve(value.via.array.size);
  for (uint32_t i = 0; i < value.via.array.size; ++i)
    objects.push_back(ReadObject(value.via.array.ptr[i]));
  return objects;
}

}  // namespace

std::string Encode(const SyncMessage& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kElements);
  packer.pack(kFormatVersion);
  packer.pack(message.ready);
  packer.pack(message.summary.max_version);
  packer.pack(message.summary.hash);
  PackDigest(&packer, message.digest);
  packer.pack_array(static_cast<uint32_t>(message.objects.size()));
  for (const Object& object : message.objects)
    PackObject(&packer, object);
  packer.pack(message.more);
  return std::string(buffer.data(), buffer.size());
}

SyncMessage DecodeSyncMessage(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = common::UnpackMessage(bytes);
    const auto& array = ArrayOf(handle.get(), kElements);
    if (array.ptr[0].as<int>() != kFormatVersion)
      throw Error(ResultCode::kProtocolError,
                  "table message has an unsupported format version");
    SyncMessage message;
    message.ready = array.ptr[1].as<bool>();
    message.summary.max_version = array.ptr[2].as<Version>();
    message.summary.hash = array.ptr[3].as<uint64_t>();
    message.digest = ReadDigest(array.ptr[4]);
    message.objects = ReadObjects(array.ptr[5]);
    message.more = array.ptr[6].as<bool>();
    return message;
  } catch (const msgpack::unpack_error& error) {
    throw Error(ResultCode::kProtocolError,
                std::string("malformed table message: ") + error.what());
  } catch (const msgpack::type_error&) {
    throw Error(ResultCode::kProtocolError, "malformed table message");
  }
}

}  // namespace jujuberock::table
