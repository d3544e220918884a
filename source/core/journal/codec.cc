#include "core/journal/codec.h"

#include <msgpack.hpp>

#include "core/common/error.h"
#include "core/common/msgpack_unpack.h"

namespace jujuberock::journal {

namespace {

constexpr uint32_t kFormat = 1;

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename Fill>
std::string Packed(uint32_t fields, Fill fill) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(fields + 1);
  packer.pack(kFormat);
  fill(packer);
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

// The elements of one array, taken in order.
class Fields {
 public:
  explicit Fields(const msgpack::object& object) {
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
  Value Take() {
    return this->Next().as<Value>();
  }

  std::string TakeBytes() {
    const msgpack::object& object = this->Next();
    if (object.type != msgpack::type::BIN)
      ThrowMalformed();
    return {object.via.bin.ptr, object.via.bin.size};
  }

  template <typename Enum>
  Enum TakeEnum(Enum last) {
    const int value = this->Take<int>();
    if (value < 0 || value > static_cast<int>(last))
      ThrowMalformed();
    return static_cast<Enum>(value);
  }

  uint32_t left() const { return this->array.size - this->next; }

 private:
  msgpack::object_array array{};
  uint32_t next = 0;
};

template <typename Parse>
auto Unpacked(std::string_view bytes, Parse parse) {
  try {
    const msgpack::object_handle handle = common::UnpackMessage(bytes);
    Fields fields(handle.get());
    if (fields.Take<uint32_t>() != kFormat)
      ThrowMalformed();
    return parse(fields);
  } catch (const msgpack::type_error&) {
    ThrowMalformed();
  } catch (const msgpack::unpack_error&) {
    // Sizes beyond the limits are among these.
    ThrowMalformed();
  }
}

SavedAnswer TakeAnswer(Fields fields) {
  SavedAnswer answer;
  answer.status = fields.Take<int>();
  answer.content_type = fields.TakeBytes();
  answer.digest = fields.Take<std::string>();
  answer.body_bytes = fields.Take<uint64_t>();
  answer.body_kept = fields.Take<bool>();
  answer.body = fields.TakeBytes();
  return answer;
}

std::vector<OutcomeReport> TakeReports(Fields fields) {
  std::vector<OutcomeReport> reports;
  while (fields.left() > 0) {
    Fields item(fields.Next());
    OutcomeReport report;
    report.shard = item.Take<ShardId>();
    report.key.team = item.Take<std::string>();
    report.key.key = item.Take<std::string>();
    report.call_id = item.Take<std::string>();
    report.outcome = item.TakeEnum(CallOutcome::kDone);
    report.answer = TakeAnswer(Fields(item.Next()));
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace

std::string Encode(const PermitRequest& request) {
  return Packed(9, [&](Packer& packer) {
    packer.pack(request.shard);
    packer.pack(request.key.team);
    packer.pack(request.key.key);
    packer.pack(request.request_hash);
    packer.pack(int64_t{request.issued.time_since_epoch().count()});
    packer.pack(request.host);
    packer.pack(request.call_id);
    packer.pack(int64_t{request.patience.count()});
    PackReports(packer, request.outcomes);
  });
}

std::string Encode(const PermitReply& reply) {
  return Packed(5, [&](Packer& packer) {
    packer.pack(static_cast<int>(reply.verdict));
    packer.pack(reply.term);
    packer.pack(reply.holder);
    packer.pack(reply.owner);
    PackAnswer(packer, reply.answer);
  });
}

std::string Encode(const OutcomeRequest& request) {
  return Packed(2, [&](Packer& packer) {
    packer.pack(request.shard);
    PackReports(packer, request.outcomes);
  });
}

std::string Encode(const OutcomeReply& reply) {
  return Packed(1, [&](Packer& packer) { packer.pack(reply.accepted); });
}

PermitRequest DecodePermitRequest(std::string_view bytes) {
  return Unpacked(bytes, [](Fields& fields) {
    PermitRequest request;
    request.shard = fields.Take<ShardId>();
    request.key.team = fields.Take<std::string>();
    request.key.key = fields.Take<std::string>();
    request.request_hash = fields.Take<std::string>();
    request.issued =
        common::UnixTime(std::chrono::milliseconds(fields.Take<int64_t>()));
    request.host = fields.Take<std::string>();
    request.call_id = fields.Take<std::string>();
    request.patience = std::chrono::milliseconds(fields.Take<int64_t>());
    request.outcomes = TakeReports(Fields(fields.Next()));
    return request;
  });
}

PermitReply DecodePermitReply(std::string_view bytes) {
  return Unpacked(bytes, [](Fields& fields) {
    PermitReply reply;
    reply.verdict = fields.TakeEnum(PermitVerdict::kUnavailable);
    reply.term = fields.Take<Term>();
    reply.holder = fields.Take<std::string>();
    reply.owner = fields.Take<std::string>();
    reply.answer = TakeAnswer(Fields(fields.Next()));
    return reply;
  });
}

OutcomeRequest DecodeOutcomeRequest(std::string_view bytes) {
  return Unpacked(bytes, [](Fields& fields) {
    OutcomeRequest request;
    request.shard = fields.Take<ShardId>();
    request.outcomes = TakeReports(Fields(fields.Next()));
    return request;
  });
}

OutcomeReply DecodeOutcomeReply(std::string_view bytes) {
  return Unpacked(bytes, [](Fields& fields) {
    return OutcomeReply{.accepted = fields.Take<bool>()};
  });
}

}  // namespace jujuberock::journal
