#ifndef CORE_SERVE_PEER_MESSAGES_H_
#define CORE_SERVE_PEER_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/admission/limit_grants.h"
#include "core/routing/types.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::serve {

// Names of the messages between hosts that the request path uses. Bodies are
// msgpack arrays that start with the format version.
inline constexpr std::string_view kLoadReportsMessage = "load_reports";
inline constexpr std::string_view kLimitGrantMessage = "limit_grant";
inline constexpr std::string_view kSuspectMarksMessage = "suspect_marks";
inline constexpr std::string_view kReservationsMessage = "reservations";
inline constexpr std::string_view kIndexQueryMessage = "index_query";
inline constexpr std::string_view kIndexUpdateMessage = "index_update";
inline constexpr std::string_view kStreamTakenMessage = "stream_taken";

// limit_grant: [1, host, [[team, running, queued], ...]], answered with
// [1, [[team, share, lifetime_us, pending], ...]].
std::string EncodeDemands(const std::vector<admission::LimitDemand>& demands);
std::string EncodeGrants(const std::vector<admission::LimitGrant>& grants);
// suspect_marks: [1, [[fingerprint, endpoint, age_us], ...]].
std::string EncodeMarks(const std::vector<suspects::Mark>& marks);
// reservations: [1, [[endpoint, remaining_us], ...]].
std::string EncodeReservations(
    const std::vector<routing::Reservation>& reservations);
// index_query: [1, [[high, low], ...]], answered with
// [1, [[endpoint, leading_blocks, doubtful], ...], [[store, positions], ...]].
std::string EncodeQuery(const routing::IndexQuery& query);
std::string EncodeAnswer(const routing::IndexAnswer& answer);
// index_update: [1, holder, is_store, [[added, high, low], ...]].
std::string EncodeUpdate(const routing::IndexUpdate& update);
// stream_taken: [1, stream].
std::string EncodeStreamTaken(const std::string& stream);

// Each throws common::Error kProtocolError when the bytes are malformed.
std::vector<admission::LimitDemand> DecodeDemands(std::string_view bytes);
std::vector<admission::LimitGrant> DecodeGrants(std::string_view bytes);
std::vector<suspects::Mark> DecodeMarks(std::string_view bytes);
std::vector<routing::Reservation> DecodeReservations(std::string_view bytes);
routing::IndexQuery DecodeQuery(std::string_view bytes);
routing::IndexAnswer DecodeAnswer(std::string_view bytes);
routing::IndexUpdate DecodeUpdate(std::string_view bytes);
std::string DecodeStreamTaken(std::string_view bytes);

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_PEER_MESSAGES_H_
