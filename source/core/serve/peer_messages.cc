#include "core/serve/peer_messages.h"

#include <tuple>
#include <utility>

#include <msgpack.hpp>

#include "core/common/error.h"
#include "core/common/msgpack_unpack.h"

namespace jujuberock::serve {

namespace {

constexpr int kFormatVersion = 1;

using DemandFields = std::tuple<std::string, uint32_t, uint32_t>;
using GrantFields = std::tuple<std::string, uint32_t, int64_t, bool>;
using MarkFields = std::tuple<uint64_t, std::string, int64_t>;
using PartMarkFields = std::tuple<std::string,
                                  uint64_t,
                                  std::string,
                                  int64_t,
                                  int64_t,
                                  uint32_t,
                                  uint64_t>;
using ReservationFields = std::tuple<std::string, int64_t>;
using KeyFields = std::tuple<uint64_t, uint64_t>;
using HolderFields = std::tuple<std::string, uint32_t, bool>;
using StoredFields = std::tuple<std::string, std::vector<uint32_t>>;
using EventFields = std::tuple<bool, uint64_t, uint64_t>;

suspects::PartEvidence ParseEvidence(std::string_view name) {
  const auto evidence = suspects::kPartEvidenceNames.ValueOf(name);
  if (!evidence)
    throw common::Error(common::ResultCode::kProtocolError,
                        "unknown evidence in a part_marks message");
  return *evidence;
}

template <typename... Fields>
std::string Pack(const Fields&... fields) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(1 + sizeof...(fields));
  packer.pack(kFormatVersion);
  (packer.pack(fields), ...);
  return {buffer.data(), buffer.size()};
}

template <typename... Fields, size_t... kIndex>
std::tuple<Fields...> UnpackFields(const msgpack::object* fields,
                                   std::index_sequence<kIndex...>) {
  return {fields[kIndex].template as<Fields>()...};
}

template <typename... Fields>
std::tuple<Fields...> Unpack(std::string_view bytes, std::string_view message) {
  try {
    const msgpack::object_handle handle = common::UnpackMessage(bytes);
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY ||
        object.via.array.size < 1 + sizeof...(Fields) ||
        object.via.array.ptr[0].as<int>() != kFormatVersion)
      throw msgpack::type_error();
    return UnpackFields<Fields...>(object.via.array.ptr + 1,
                                   std::index_sequence_for<Fields...>());
  } catch (const std::exception&) {
    throw common::Error(common::ResultCode::kProtocolError,
                        "malformed " + std::string(message) + " message");
  }
}

}  // namespace

std::string EncodeLimitDemands(
    const std::vector<admission::LimitDemand>& demands) {
  std::vector<DemandFields> fields;
  std::string host;
  for (const admission::LimitDemand& demand : demands) {
    host = demand.host;
    fields.emplace_back(demand.team, demand.running, demand.queued);
  }
  return Pack(host, fields);
}

std::vector<admission::LimitDemand> DecodeLimitDemands(std::string_view bytes) {
  const auto [host, fields] =
      Unpack<std::string, std::vector<DemandFields>>(bytes, kLimitGrantMessage);
  std::vector<admission::LimitDemand> demands;
  for (const auto& [team, running, queued] : fields)
    demands.push_back({team, host, running, queued});
  return demands;
}

std::string EncodeLimitGrants(
    const std::vector<admission::LimitGrant>& grants) {
  std::vector<GrantFields> fields;
  for (const admission::LimitGrant& grant : grants)
    fields.emplace_back(grant.team, grant.share, grant.lifetime.count(),
                        grant.pending);
  return Pack(fields);
}

std::vector<admission::LimitGrant> DecodeLimitGrants(std::string_view bytes) {
  const auto [fields] =
      Unpack<std::vector<GrantFields>>(bytes, kLimitGrantMessage);
  std::vector<admission::LimitGrant> grants;
  for (const auto& [team, share, lifetime, pending] : fields)
    grants.push_back({team, share, common::Duration(lifetime), pending});
  return grants;
}

std::string EncodeSuspectMarks(const std::vector<suspects::CrashMark>& marks) {
  std::vector<MarkFields> fields;
  for (const suspects::CrashMark& mark : marks)
    fields.emplace_back(mark.fingerprint, mark.endpoint, mark.age.count());
  return Pack(fields);
}

std::vector<suspects::CrashMark> DecodeSuspectMarks(std::string_view bytes) {
  const auto [fields] =
      Unpack<std::vector<MarkFields>>(bytes, kSuspectMarksMessage);
  std::vector<suspects::CrashMark> marks;
  for (const auto& [fingerprint, endpoint, age] : fields)
    marks.push_back({fingerprint, endpoint, common::Duration(age)});
  return marks;
}

std::string EncodePartMarks(const std::vector<suspects::PartMark>& marks) {
  std::vector<PartMarkFields> fields;
  for (const suspects::PartMark& mark : marks)
    fields.emplace_back(
        std::string(suspects::kPartEvidenceNames.NameOf(mark.evidence)),
        mark.part, mark.endpoint, mark.age.count(), mark.sent_age.count(),
        mark.requests, mark.reporter);
  return Pack(fields);
}

std::vector<suspects::PartMark> DecodePartMarks(std::string_view bytes) {
  const auto [fields] =
      Unpack<std::vector<PartMarkFields>>(bytes, kPartMarksMessage);
  std::vector<suspects::PartMark> marks;
  for (const auto& [evidence, part, endpoint, age, sent_age, requests,
                    reporter] : fields)
    marks.push_back({ParseEvidence(evidence), part, endpoint,
                     common::Duration(age), common::Duration(sent_age),
                     requests, reporter});
  return marks;
}

std::string EncodeReservations(
    const std::vector<routing::Reservation>& reservations) {
  std::vector<ReservationFields> fields;
  for (const routing::Reservation& reservation : reservations)
    fields.emplace_back(reservation.endpoint, reservation.remaining.count());
  return Pack(fields);
}

std::vector<routing::Reservation> DecodeReservations(std::string_view bytes) {
  const auto [fields] =
      Unpack<std::vector<ReservationFields>>(bytes, kReservationsMessage);
  std::vector<routing::Reservation> reservations;
  for (const auto& [endpoint, remaining] : fields)
    reservations.push_back({endpoint, common::Duration(remaining)});
  return reservations;
}

std::string EncodeIndexQuery(const routing::IndexQuery& query) {
  std::vector<KeyFields> fields;
  for (const routing::BlockKey& key : query.keys)
    fields.emplace_back(key.high, key.low);
  return Pack(fields);
}

routing::IndexQuery DecodeIndexQuery(std::string_view bytes) {
  const auto [fields] =
      Unpack<std::vector<KeyFields>>(bytes, kIndexQueryMessage);
  routing::IndexQuery query;
  for (const auto& [high, low] : fields)
    query.keys.push_back({high, low});
  return query;
}

std::string EncodeIndexReply(const routing::IndexReply& reply) {
  std::vector<HolderFields> endpoints;
  for (const routing::Holder& holder : reply.endpoints)
    endpoints.emplace_back(holder.name, holder.leading_blocks, holder.stale);
  std::vector<StoredFields> stores;
  for (const routing::StoredBlocks& stored : reply.stores)
    stores.emplace_back(stored.store, stored.positions);
  return Pack(endpoints, stores);
}

routing::IndexReply DecodeIndexReply(std::string_view bytes) {
  const auto [endpoints, stores] =
      Unpack<std::vector<HolderFields>, std::vector<StoredFields>>(
          bytes, kIndexQueryMessage);
  routing::IndexReply reply;
  for (const auto& [name, blocks, stale] : endpoints)
    reply.endpoints.push_back({name, blocks, stale});
  for (const auto& [store, positions] : stores)
    reply.stores.push_back({store, positions});
  return reply;
}

std::string EncodeIndexUpdate(const routing::IndexUpdate& update) {
  std::vector<EventFields> fields;
  for (const routing::CacheEvent& event : update.events)
    fields.emplace_back(event.op == routing::CacheEvent::Op::kAdd,
                        event.key.high, event.key.low);
  return Pack(update.holder, update.holder_is_store, fields);
}

routing::IndexUpdate DecodeIndexUpdate(std::string_view bytes) {
  using Op = routing::CacheEvent::Op;
  const auto [holder, is_store, fields] =
      Unpack<std::string, bool, std::vector<EventFields>>(bytes,
                                                          kIndexUpdateMessage);
  routing::IndexUpdate update{holder, is_store, {}};
  for (const auto& [added, high, low] : fields)
    update.events.push_back({added ? Op::kAdd : Op::kRemove, {high, low}});
  return update;
}

std::string EncodeStreamTaken(const std::string& stream) {
  return Pack(stream);
}

std::string DecodeStreamTaken(std::string_view bytes) {
  return std::get<0>(Unpack<std::string>(bytes, kStreamTakenMessage));
}

}  // namespace jujuberock::serve
