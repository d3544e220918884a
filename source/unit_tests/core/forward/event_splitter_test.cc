#include "core/forward/event_splitter.h"

#include <catch2/catch.hpp>

namespace jujuberock::forward {
namespace {

TEST_CASE("an event is returned only when it is complete") {
  EventSplitter splitter;
  CHECK(splitter.Push("id: 1\ndata: a").empty());
  CHECK(splitter.Push("\n\nid: 2\n") == "id: 1\ndata: a\n\n");
  CHECK(*splitter.last_id() == "1");
  CHECK(splitter.pending_bytes() > 0);
}

// Guards against joining fragments of two runs into one event.
TEST_CASE("a resumed stream drops the incomplete event and repeated events") {
  EventSplitter splitter;
  splitter.Push("id: 1\ndata: a\n\nid: 2\ndata: half");
  splitter.BeginResponse();
  CHECK_FALSE(splitter.has_received_event());
  CHECK(splitter.Push("id: 1\ndata: a\n\n").empty());
  CHECK(splitter.has_received_event());
  CHECK(splitter.Push("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(*splitter.last_id() == "2");
}

TEST_CASE("line endings, missing ids and incomplete events are handled") {
  struct Case {
    const char* input;
    const char* output;
  };
  const Case cases[] = {
      {"id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n"},
      {"data: a\n\ndata: b\n\n", "data: a\n\ndata: b\n\n"},
      {"id:7\ndata: a\n\n", "id:7\ndata: a\n\n"},
      {"id: x\ndata: a\n\nid: x\ndata: b\n\n",
       "id: x\ndata: a\n\nid: x\ndata: b\n\n"},
      {": keep-alive\n\n", ": keep-alive\n\n"},
      {"\n", "\n"},
      {"data: no end", ""},
  };
  for (const Case& c : cases) {
    INFO(c.input);
    EventSplitter splitter;
    CHECK(splitter.Push(c.input) == c.output);
  }
}

// Guards against passing a stream on as complete that ends inside an event.
TEST_CASE("a part of an event is told from a comment") {
  for (const char* text :
       {"i", "id: 1", "id: 1\n", "data: a\r\n", "\n\nid: 1\n", ": wait\nid: 1",
        "id: 1\ndata: a\n\nid: 2\n"}) {
    INFO(text);
    EventSplitter splitter;
    splitter.Push(text);
    CHECK(splitter.IsInsideEvent());
  }
  for (const char* text : {"", "\n", "\r", ":", ": end", ": end\n: of it\n",
                           "id: 1\n\n", "id: 1\ndata: a\n\n: end\n"}) {
    INFO(text);
    EventSplitter splitter;
    splitter.Push(text);
    CHECK_FALSE(splitter.IsInsideEvent());
  }
}

// Guards against a stalled stream that never ends, because an endpoint sends a
// byte or a comment now and then.
TEST_CASE("only events with data are progress") {
  EventSplitter splitter;
  splitter.Push("id: 1\ndata: a\n");
  CHECK_FALSE(splitter.has_progressed());
  splitter.Push("\n");
  CHECK(splitter.has_progressed());
  for (const char* text : {"x", "\n\n", ": wait\n\n", "id: 1\ndata: a\n\n"}) {
    INFO(text);
    EventSplitter next = splitter;
    next.Push(text);
    CHECK_FALSE(next.has_progressed());
  }
}

}  // namespace
}  // namespace jujuberock::forward
