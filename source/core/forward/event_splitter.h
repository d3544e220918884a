#ifndef CORE_FORWARD_EVENT_SPLITTER_H_
#define CORE_FORWARD_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujuberock::forward {

// Cuts the body of an event stream into whole events, so that an event that
// its endpoint broke off never reaches the caller, and remembers the id of the
// last one. Not thread-safe.
class EventSplitter {
 public:
  // Appends bytes of the body and returns all events that are whole now.
  // Events whose id is not above that of the last one are left out: an
  // endpoint that resumes a stream may repeat them.
  std::string Push(std::string_view bytes);

  // The id of the last event returned.
  const std::optional<std::string>& last_id() const { return this->last; }
  // Drops the begun event; the next bytes come from another endpoint.
  void Restart() { this->rest.clear(); }
  // Bytes of a begun event.
  size_t pending() const { return this->rest.size(); }
  // Takes the begun event as it is, at the regular end of the stream.
  std::string TakeRest();

 private:
  bool Accept(std::string_view event);

  std::string rest;
  std::optional<std::string> last;
  std::optional<uint64_t> last_number;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_EVENT_SPLITTER_H_
