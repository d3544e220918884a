#include "core/relay/message.h"

#include <algorithm>
#include <span>

#include <msgpack.hpp>

#include "core/common/error.h"
#include "core/common/msgpack_unpack.h"

namespace jujuberock::relay {

namespace {

using catalog::ObjectChange;
using catalog::ObjectFault;
using catalog::ObjectKind;
using common::Duration;
using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr uint32_t kFormat = 1;
constexpr size_t kRequestFields = 6;
constexpr size_t kAnswerFields = 7;
constexpr size_t kChangeFields = 5;
// Longer ages are sent as this, so that they can be computed with.
constexpr Duration kMaxAge = std::chrono::hours(24);
constexpr Duration kMaxWait = std::chrono::seconds(30);

[[noreturn]] void ThrowMalformed() {
  throw common::Error(common::ResultCode::kProtocolError,
                      "malformed message of a relay");
}

std::span<const msgpack::object> FieldsOf(const msgpack::object& value) {
  if (value.type != msgpack::type::ARRAY)
    ThrowMalformed();
  return {value.via.array.ptr, value.via.array.size};
}

// Returns the fields of a record. Later versions may add some at its end.
std::span<const msgpack::object> RecordOf(const msgpack::object& value,
                                          size_t minimum) {
  const auto fields = FieldsOf(value);
  if (fields.size() < minimum)
    ThrowMalformed();
  return fields;
}

std::span<const msgpack::object> MessageOf(const msgpack::object& value,
                                           size_t minimum) {
  const auto fields = RecordOf(value, minimum);
  if (fields[0].as<uint32_t>() != kFormat)
    ThrowMalformed();
  return fields;
}

template <typename Enum, size_t kCount>
Enum DecodeEnum(const msgpack::object& value,
                const common::NameTable<Enum, kCount>&) {
  const auto number = value.as<uint32_t>();
  if (number >= kCount)
    ThrowMalformed();
  return static_cast<Enum>(number);
}

Duration DecodeDuration(const msgpack::object& value,
                        Duration minimum,
                        Duration maximum) {
  const Duration duration(value.as<int64_t>());
  if (duration < minimum || duration > maximum)
    ThrowMalformed();
  return duration;
}

void PackAge(Packer& packer, Duration age) {
  packer.pack(std::clamp(age, -kMaxAge, kMaxAge).count());
}

void PackChange(Packer& packer, const ObjectChange& change) {
  packer.pack_array(kChangeFields);
  packer.pack(change.object.name);
  packer.pack(change.object.revision);
  packer.pack(change.object.content);
  packer.pack(static_cast<uint32_t>(change.object.fault));
  packer.pack(change.deleted);
}

ObjectChange DecodeChange(const msgpack::object& value) {
  const auto fields = RecordOf(value, kChangeFields);
  ObjectChange change;
  change.object.name = fields[0].as<std::string>();
  change.object.revision = fields[1].as<uint64_t>();
  change.object.content = fields[2].as<std::string>();
  change.object.fault = DecodeEnum(fields[3], catalog::kObjectFaultNames);
  change.deleted = fields[4].as<bool>();
  return change;
}

RelayRequest DecodeRequestFields(const msgpack::object& value) {
  const auto fields = MessageOf(value, kRequestFields);
  RelayRequest request;
  request.kind = DecodeEnum(fields[1], catalog::kObjectKindNames);
  if (!catalog::IsWatched(request.kind))
    ThrowMalformed();
  if (!fields[2].is_nil())
    request.revision = fields[2].as<uint64_t>();
  request.era = fields[3].as<uint64_t>();
  request.wait = DecodeDuration(fields[4], Duration(0), kMaxWait);
  request.age = DecodeDuration(fields[5], -kMaxAge, kMaxAge);
  return request;
}

RelayAnswer DecodeAnswerFields(const msgpack::object& value) {
  const auto fields = MessageOf(value, kAnswerFields);
  RelayAnswer answer;
  answer.status = DecodeEnum(fields[1], kRelayStatusNames);
  answer.era = fields[2].as<uint64_t>();
  answer.revision = fields[3].as<uint64_t>();
  answer.age = DecodeDuration(fields[4], -kMaxAge, kMaxAge);
  if (!fields[5].is_nil())
    answer.change_age = DecodeDuration(fields[5], -kMaxAge, kMaxAge);
  for (const msgpack::object& change : FieldsOf(fields[6]))
    answer.changes.push_back(DecodeChange(change));
  return answer;
}

template <typename Decoded>
Decoded Decode(std::string_view bytes,
               Decoded (*decode)(const msgpack::object&)) {
  try {
    return decode(common::UnpackMessage(bytes).get());
  } catch (const msgpack::unpack_error&) {
    ThrowMalformed();
  } catch (const msgpack::type_error&) {
    ThrowMalformed();
  }
}

}  // namespace

std::string Encode(const RelayRequest& request) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kRequestFields);
  packer.pack(kFormat);
  packer.pack(static_cast<uint32_t>(request.kind));
  if (request.revision)
    packer.pack(*request.revision);
  else
    packer.pack_nil();
  packer.pack(request.era);
  packer.pack(std::clamp(request.wait, Duration(0), kMaxWait).count());
  PackAge(packer, request.age);
  return {buffer.data(), buffer.size()};
}

std::string Encode(const RelayAnswer& answer) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kAnswerFields);
  packer.pack(kFormat);
  packer.pack(static_cast<uint32_t>(answer.status));
  packer.pack(answer.era);
  packer.pack(answer.revision);
  PackAge(packer, answer.age);
  if (answer.change_age)
    PackAge(packer, *answer.change_age);
  else
    packer.pack_nil();
  packer.pack_array(static_cast<uint32_t>(answer.changes.size()));
  for (const ObjectChange& change : answer.changes)
    PackChange(packer, change);
  return {buffer.data(), buffer.size()};
}

RelayRequest DecodeRequest(std::string_view bytes) {
  return Decode(bytes, DecodeRequestFields);
}

RelayAnswer DecodeAnswer(std::string_view bytes) {
  return Decode(bytes, DecodeAnswerFields);
}

}  // namespace jujuberock::relay
