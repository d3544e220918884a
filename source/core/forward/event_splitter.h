#ifndef CORE_FORWARD_EVENT_SPLITTER_H_
#define CORE_FORWARD_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujuberock::forward {

// Splits the body of a server-sent event stream into complete events, so that a
// truncated event never reaches the caller, and tracks the id of the last one.
// Not thread-safe.
class EventSplitter {
 public:
  // Appends bytes of the body and returns all events completed by them. Events
  // with a numeric id that is not above the last one are dropped, because an
  // endpoint that resumes a stream may repeat events.
  std::string Push(std::string_view bytes);

  // Whether the last Push() returned an event with data. Comments, which serve
  // as keep-alives, and empty events are no progress of a stream.
  bool has_progressed() const { return this->progressed; }
  // Id of the last returned event that had one.
  const std::optional<std::string>& last_id() const {
    return this->last_event_id;
  }
  // Whether an event with data has arrived since the last BeginResponse(),
  // including dropped ones.
  bool has_received_event() const { return this->received_event; }
  // Discards the incomplete event. Called before the stream begins or continues
  // on another endpoint.
  void BeginResponse();
  // Size of the incomplete event.
  size_t pending_bytes() const { return this->partial_event.size(); }
  // Whether the bytes after the last complete event contain a part of another
  // one, not only comments.
  bool IsInsideEvent() const;
  // Returns the bytes after the last complete event as they are, for the
  // regular end of the stream.
  std::string TakePartial();

 private:
  bool AcceptEvent(std::string_view event);

  std::string partial_event;
  bool progressed = false;
  bool received_event = false;
  std::optional<std::string> last_event_id;
  std::optional<uint64_t> last_numeric_id;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_EVENT_SPLITTER_H_
