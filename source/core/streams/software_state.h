#ifndef CORE_STREAMS_SOFTWARE_STATE_H_
#define CORE_STREAMS_SOFTWARE_STATE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/common/time.h"

namespace jujuberock::streams {

// What the hosts have agreed on about the software versions of one service.
// Stored as JSON in an object of the service.
struct SoftwareRecord {
  // Era of the platform's store in which the record was written; 0 if it states
  // none.
  uint64_t store_era = 0;
  // All streams that may still be taken up were begun at this version; nothing
  // if they may have been begun at several ones.
  std::optional<std::string> sole;

  friend bool operator==(const SoftwareRecord&,
                         const SoftwareRecord&) = default;
};

std::string RenderSoftwareRecord(const SoftwareRecord& record);
// Returns nothing if the text is not a valid record.
std::optional<SoftwareRecord> ParseSoftwareRecord(std::string_view text);

// Software versions of a service's endpoints.
struct SoftwareVersions {
  // Of all endpoints that are registered, and of those that are not leaving.
  std::set<std::string> registered;
  std::set<std::string> serving;
};

// Decides at which software versions of a service new streams may begin, and
// whether the version of a stream is known without a record of it.
//
// As long as the stored record names one version, no host begins a stream at
// another one, so the version of every stream is known, also when the hosts
// that began it are gone. A host that wants to use a second version first
// replaces the record by one that names none; from then on each stream is
// recorded. Once a single version was registered for longer than a stream can
// last, the record names that one. Pure state machine, not thread-safe.
class SoftwareState {
 public:
  // The store answers in this era. What was read in another one means nothing
  // any more: the store has come back from an older copy.
  void OnEra(uint64_t era);
  // The record was read from the store, or written to it.
  void OnRecord(const SoftwareRecord& record, uint64_t revision);
  // The store has no record.
  void OnNoRecord();
  // It is not known any more what the store has.
  void OnUnknown() { this->is_known = false; }
  void OnVersions(const SoftwareVersions& versions, common::TimePoint now);

  bool NeedsRead() const { return !this->is_known; }
  // The version at which all streams were begun; nothing if it depends on the
  // stream, or is not known.
  std::optional<std::string> SoleVersion() const;
  // Whether each stream of the service must be recorded.
  bool MustRecordStreams() const {
    return this->is_known && !this->SoleVersion();
  }
  // The version at which new streams must begin; nothing for any. A version
  // without endpoints that serve is not required.
  std::optional<std::string> RequiredVersion() const;
  // The record that should replace the stored one, if any. No stream lasts
  // longer than `longest_stream`.
  std::optional<SoftwareRecord> RecordToWrite(common::Duration longest_stream,
                                              common::TimePoint now) const;
  // Revision that the next write must replace; nothing if the record must be
  // created.
  std::optional<uint64_t> expected_revision() const { return this->revision; }

 private:
  // Hosts may see the versions this much later than one another.
  static constexpr common::Duration kMaxViewLag = std::chrono::seconds(1);

  bool IsRecordOfEra() const {
    return this->record && this->record->store_era == this->era;
  }

  uint64_t era = 0;
  bool is_known = false;
  std::optional<SoftwareRecord> record;
  std::optional<uint64_t> revision;
  // Whether this host has ever seen a record of the service.
  bool has_seen_record = false;
  SoftwareVersions versions;
  common::TimePoint registered_since;
};

}  // namespace jujuberock::streams

#endif  // CORE_STREAMS_SOFTWARE_STATE_H_
