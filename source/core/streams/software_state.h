#ifndef CORE_STREAMS_SOFTWARE_STATE_H_
#define CORE_STREAMS_SOFTWARE_STATE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/catalog/view_position.h"
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
  // Streams may have been begun at several versions, but from now on they begin
  // at this one, unless a host that sees another version objects. Nothing if
  // they may begin at any version. Not set together with `sole`.
  std::optional<std::string> candidate = std::nullopt;

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
// recorded.
//
// The way back takes two writes, since the view of the host that makes them may
// be old. A host that sees a single version names it as the candidate. Hosts
// that learn of it begin streams at the candidate only; one that sees another
// version replaces the record again. A candidate that has stood for longer than
// a stream can last becomes the only version. A record is replaced on the
// evidence of a view that is newer than the record, so hosts with different
// views do not overwrite each other's records in turns. Pure state machine, not
// thread-safe.
class SoftwareState {
 public:
  // The store answers in this era. What was read in another one means nothing
  // any more: the store has come back from an older copy.
  void OnEra(uint64_t era);
  // The record was read from the store, or written to it. A record that is
  // older than the known one is ignored.
  void OnRecord(const SoftwareRecord& record,
                uint64_t revision,
                common::TimePoint now);
  // The store has no record.
  void OnNoRecord();
  // It is not known any more what the store has.
  void OnUnknown() { this->is_known = false; }
  void OnVersions(const SoftwareVersions& versions, common::TimePoint now);
  // The view from which the versions were taken contains this state of the
  // store.
  void OnViewPosition(const catalog::ViewPosition& position) {
    this->view_position = position;
  }

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
  // longer than `longest_stream`. This host waits for `turn` before it narrows
  // the record to fewer versions, so that not all hosts do so at once.
  std::optional<SoftwareRecord> RecordToWrite(common::Duration longest_stream,
                                              common::Duration turn,
                                              common::TimePoint now) const;
  // Revision that the next write must replace; nothing if the record must be
  // created.
  std::optional<uint64_t> expected_revision() const { return this->revision; }

 private:
  // A candidate becomes the only version this much later than the last stream
  // of another one has ended, so that hosts learn of the candidate first.
  static constexpr common::Duration kMaxViewLag = std::chrono::seconds(1);

  bool IsRecordOfEra() const {
    return this->record && this->record->store_era == this->era;
  }
  // Whether the view of the endpoints contains all changes that were made
  // before the record was written.
  bool IsViewNewerThanRecord() const {
    return this->view_position.store_era == this->era && this->revision &&
           this->view_position.revision >= *this->revision;
  }
  // The version that all new streams should begin at.
  const std::optional<std::string>& NamedVersion() const {
    return this->record->sole ? this->record->sole : this->record->candidate;
  }
  // Whether an endpoint of another version than the named one may begin
  // streams. Before a candidate becomes the only version, registered endpoints
  // count too, since another host may not know that they leave.
  bool SeesOtherVersion() const;
  // Whether the record must allow several versions again.
  bool MustWiden() const;
  std::optional<SoftwareRecord> NarrowerRecord(common::Duration longest_stream,
                                               common::Duration turn,
                                               common::TimePoint now) const;

  uint64_t era = 0;
  bool is_known = false;
  std::optional<SoftwareRecord> record;
  std::optional<uint64_t> revision;
  uint64_t revision_era = 0;
  // When this host has learned of the record.
  common::TimePoint record_known_since;
  // Whether this host has ever seen a record of the service.
  bool has_seen_record = false;
  SoftwareVersions versions;
  catalog::ViewPosition view_position;
  common::TimePoint registered_since;
};

}  // namespace jujuberock::streams

#endif  // CORE_STREAMS_SOFTWARE_STATE_H_
