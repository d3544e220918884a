#ifndef CORE_SERVE_PEER_MESSAGES_H_
#define CORE_SERVE_PEER_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/admission/limit_grants.h"
#include "core/routing/types.h"
#include "core/suspects/part_suspects.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::serve {

// Names of the messages that hosts exchange for request processing. Bodies are
// msgpack arrays that start with the format version.
inline constexpr std::string_view kLoadReportsMessage = "load_reports";
inline constexpr std::string_view kLimitGrantMessage = "limit_grant";
inline constexpr std::string_view kSuspectMarksMessage = "suspect_marks";
inline constexpr std::string_view kPartMarksMessage = "part_marks";
inline constexpr std::string_view kReservationsMessage = "reservations";
inline constexpr std::string_view kIndexQueryMessage = "index_query";
inline constexpr std::string_view kIndexUpdateMessage = "index_update";
inline constexpr std::string_view kStreamTakenMessage = "stream_taken";

// limit_grant: [1, host, [[team, running, queued], ...]], answered with
// [1, [[team, share, lifetime_us, pending], ...]].
std::string EncodeLimitDemands(
    const std::vector<admission::LimitDemand>& demands);
std::string EncodeLimitGrants(const std::vector<admission::LimitGrant>& grants);
// suspect_marks: [1, [[fingerprint, endpoint, age_us], ...]].
std::string EncodeSuspectMarks(const std::vector<suspects::CrashMark>& marks);
// part_marks: [1, [[evidence, part, endpoint, age_us, sent_age_us, requests,
// reporter], ...]], where the evidence is "crash", "sound" or "blocked".
std::string EncodePartMarks(const std::vector<suspects::PartMark>& marks);
// reservations: [1, [[endpoint, remaining_us], ...]].
std::string EncodeReservations(
    const std::vector<routing::Reservation>& reservations);
// index_query: [1, [[high, low], ...]], answered with
// [1, [[endpoint, leading_blocks, stale], ...], [[store, positions], ...]].
std::string EncodeIndexQuery(const routing::IndexQuery& query);
std::string EncodeIndexReply(const routing::IndexReply& reply);
// index_update: [1, holder, is_store, [[added, high, low], ...]].
std::string EncodeIndexUpdate(const routing::IndexUpdate& update);
// stream_taken: [1, stream].
std::string EncodeStreamTaken(const std::string& stream);

// Each throws common::Error kProtocolError when the bytes are malformed.
std::vector<admission::LimitDemand> DecodeLimitDemands(std::string_view bytes);
std::vector<admission::LimitGrant> DecodeLimitGrants(std::string_view bytes);
std::vector<suspects::CrashMark> DecodeSuspectMarks(std::string_view bytes);
std::vector<suspects::PartMark> DecodePartMarks(std::string_view bytes);
std::vector<routing::Reservation> DecodeReservations(std::string_view bytes);
routing::IndexQuery DecodeIndexQuery(std::string_view bytes);
routing::IndexReply DecodeIndexReply(std::string_view bytes);
routing::IndexUpdate DecodeIndexUpdate(std::string_view bytes);
std::string DecodeStreamTaken(std::string_view bytes);

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_PEER_MESSAGES_H_
