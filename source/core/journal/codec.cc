#include "core/journal/codec.h"

#include <msgpack.hpp>

#include "core/common/error.h"
#include "core/common/msgpack_unpack.h"

namespace jujuberock::journal {

namespace {

constexpr uint32_t kFormatVersion = 1;

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename PackFields>
std::string PackMessage(uint32_t field_count, PackFields pack_fields) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(field_count + 1);
  packer.pack(kFormatVersion);
  pack_fields(packer);
  return {buffer.data(), buffer.size()};
}

void PackBytes(Packer& packer, const std::string& bytes) {
  packer.pack_bin(static_cast<uint32_t>(bytes.size()));
  packer.pack_bin_body(bytes.data(), static_cast<uint32_t>(bytes.size()));
}

void PackAnswer(Packer& packer, const SavedAnswer& answer) {
  packer.pack_array(6);
  packer.pack(answer.status);
  PackBytes(packer, answer.content_type);
  packer.pack(answer.digest);
  packer.pack(answer.body_bytes);
  packer.pack(answer.body_kept);
  PackBytes(packer, answer.body);
}

void PackReports(Packer& packer, const std::vector<OutcomeReport>& reports) {
  packer.pack_array(static_cast<uint32_t>(reports.size()));
  for (const OutcomeReport& report : reports) {
    packer.pack_array(6);
    packer.pack(report.shard);
    packer.pack(report.key.team);
    packer.pack(report.key.key);
    packer.pack(report.call_id);
    packer.pack(static_cast<int>(report.outcome));
    PackAnswer(packer, report.answer);
  }
}

[[noreturn]] void ThrowMalformed() {
  throw common::Error(common::ResultCode::kProtocolError,
                      "journal: a host sent a malformed message");
}

// Reads the elements of a msgpack array in order.
class ArrayReader {
 public:
  explicit ArrayReader(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY)
      ThrowMalformed();
    this->array = object.via.array;
  }

  const msgpack::object& Next() {
    if (this->next == this->array.size)
      ThrowMalformed();
    return this->array.ptr[this->next++];
  }

  template <typename Value>
  Value Read() {
    return this->Next().as<Value>();
  }

  std::string ReadBytes() {
    const msgpack::object& object = this->Next();
    if (object.type != msgpack::type::BIN)
      ThrowMalformed();
    return {object.via.bin.ptr, object.via.bin.size};
  }

  template <typename Enum>
  Enum ReadEnum(Enum last) {
    const int value = this->Read<int>();
    if (value < 0 || value > static_cast<int>(last))
      ThrowMalformed();
    return static_cast<Enum>(value);
  }

  uint32_t remaining() const { return this->array.size - this->next; }

 private:
  msgpack::object_array array{};
  uint32_t next = 0;
};

template <typename Parse>
auto ParseMessage(std::string_view bytes, Parse parse) {
  try {
    const msgpack::object_handle handle = common::UnpackMessage(bytes);
    ArrayReader reader(handle.get());
    if (reader.Read<uint32_t>() != kFormatVersion)
      ThrowMalformed();
    return parse(reader);
  } catch (const msgpack::type_error&) {
    ThrowMalformed();
  } catch (const msgpack::unpack_error&) {
    // Also thrown for sizes above the unpacker's limits.
    ThrowMalformed();
  }
}

SavedAnswer ReadAnswer(ArrayReader reader) {
  SavedAnswer answer;
  answer.status = reader.Read<int>();
  answer.content_type = reader.ReadBytes();
  answer.digest = reader.Read<std::string>();
  answer.body_bytes = reader.Read<uint64_t>();
  answer.body_kept = reader.Read<bool>();
  answer.body = reader.ReadBytes();
  return answer;
}

std::vector<OutcomeReport> ReadReports(ArrayReader reader) {
  std::vector<OutcomeReport> reports;
  while (reader.remaining() > 0) {
    ArrayReader item(reader.Next());
    OutcomeReport report;
    report.shard = item.Read<ShardId>();
    report.key.team = item.Read<std::string>();
    report.key.key = item.Read<std::string>();
    report.call_id = item.Read<std::string>();
    report.outcome = item.ReadEnum(CallOutcome::kDone);
    report.answer = ReadAnswer(ArrayReader(item.Next()));
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace

std::string Encode(const PermitRequest& request) {
  return PackMessage(9, [&](Packer& packer) {
    packer.pack(request.shard);
    packer.pack(request.key.team);
    packer.pack(request.key.key);
    packer.pack(request.request_hash);
    packer.pack(int64_t{request.issued.time_since_epoch().count()});
    packer.pack(request.host);
    packer.pack(request.call_id);
    packer.pack(int64_t{request.timeout.count()});
    PackReports(packer, request.outcomes);
  });
}

std::string Encode(const PermitReply& reply) {
  return PackMessage(5, [&](Packer& packer) {
    packer.pack(static_cast<int>(reply.decision));
    packer.pack(reply.term);
    packer.pack(reply.holder);
    packer.pack(reply.owner);
    PackAnswer(packer, reply.answer);
  });
}

std::string Encode(const OutcomeRequest& request) {
  return PackMessage(2, [&](Packer& packer) {
    packer.pack(request.shard);
    PackReports(packer, request.outcomes);
  });
}

std::string Encode(const OutcomeReply& reply) {
  return PackMessage(1, [&](Packer& packer) { packer.pack(reply.accepted); });
}

PermitRequest DecodePermitRequest(std::string_view bytes) {
  return ParseMessage(bytes, [](ArrayReader& reader) {
    PermitRequest request;
    request.shard = reader.Read<ShardId>();
    request.key.team = reader.Read<std::string>();
    request.key.key = reader.Read<std::string>();
    request.request_hash = reader.Read<std::string>();
    request.issued =
        common::UnixTime(std::chrono::milliseconds(reader.Read<int64_t>()));
    request.host = reader.Read<std::string>();
    request.call_id = reader.Read<std::string>();
    request.timeout = std::chrono::milliseconds(reader.Read<int64_t>());
    request.outcomes = ReadReports(ArrayReader(reader.Next()));
    return request;
  });
}

PermitReply DecodePermitReply(std::string_view bytes) {
  return ParseMessage(bytes, [](ArrayReader& reader) {
    PermitReply reply;
    reply.decision = reader.ReadEnum(PermitDecision::kUnavailable);
    reply.term = reader.Read<Term>();
    reply.holder = reader.Read<std::string>();
    reply.owner = reader.Read<std::string>();
    reply.answer = ReadAnswer(ArrayReader(reader.Next()));
    return reply;
  });
}

OutcomeRequest DecodeOutcomeRequest(std::string_view bytes) {
  return ParseMessage(bytes, [](ArrayReader& reader) {
    OutcomeRequest request;
    request.shard = reader.Read<ShardId>();
    request.outcomes = ReadReports(ArrayReader(reader.Next()));
    return request;
  });
}

OutcomeReply DecodeOutcomeReply(std::string_view bytes) {
  return ParseMessage(bytes, [](ArrayReader& reader) {
    return OutcomeReply{.accepted = reader.Read<bool>()};
  });
}

}  // namespace jujuberock::journal
