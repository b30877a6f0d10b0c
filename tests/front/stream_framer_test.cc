#include "umbertrail/front/stream_framer.h"

#include <catch2/catch.hpp>

namespace umbertrail::front {
namespace {

TEST_CASE("only complete events are taken") {
  StreamFramer framer;
  framer.Add("id: 1\ndata: a\n");
  CHECK(framer.TakeCompleteEvents().empty());
  framer.Add("\nid: 2\ndata: b\n\nid: 3\nda");
  CHECK(framer.TakeCompleteEvents() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(framer.last_event_id() == "2");
  CHECK(framer.has_incomplete_event());
  CHECK(framer.TakeRemainder() == "id: 3\nda");
  CHECK_FALSE(framer.has_incomplete_event());
  CHECK(framer.TakeCompleteEvents().empty());
}

TEST_CASE("lines may end with CR LF") {
  StreamFramer framer;
  framer.Add("id: 7\r\ndata: a\r\n\r\n");
  CHECK(framer.TakeCompleteEvents() == "id: 7\r\ndata: a\r\n\r\n");
  CHECK(framer.last_event_id() == "7");
}

// Guards against lengths of streams that count comments or blank lines.
TEST_CASE("events with data are counted") {
  StreamFramer framer;
  framer.Add("id: 1\ndata: a\n\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\n");
  framer.TakeCompleteEvents();
  CHECK(framer.event_count() == 2);
  framer.Add("data: c\n");
  framer.TakeCompleteEvents();
  CHECK(framer.event_count() == 2);
  framer.Add("\n");
  framer.TakeCompleteEvents();
  CHECK(framer.event_count() == 3);
}

TEST_CASE("events are the same when bytes arrive one by one") {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\n\nid:3\ndata: c\n\n";
  StreamFramer framer;
  std::string taken;
  for (const char byte : stream) {
    framer.Add(absl::string_view(&byte, 1));
    taken += framer.TakeCompleteEvents();
  }
  CHECK(taken == stream);
  CHECK(framer.last_event_id() == "3");
}

// Every read searched the whole event so far, and nothing bounded it.
TEST_CASE("an event without an end becomes too long") {
  StreamFramer framer;
  framer.Add("id: 1\ndata: " + std::string(100000, 'x'));
  CHECK(framer.TakeCompleteEvents().empty());
  CHECK_FALSE(framer.is_event_too_long());
  framer.Add(std::string(200000, 'x'));
  CHECK(framer.TakeCompleteEvents().empty());
  CHECK(framer.is_event_too_long());
  framer.Add("\n\n");
  CHECK(framer.TakeCompleteEvents().size() > 300000);
  CHECK_FALSE(framer.is_event_too_long());
}

TEST_CASE("an end of an event is found across any cut") {
  for (const std::string delimiter : {"\n\n", "\r\n\r\n", "\n\r\n"}) {
    const std::string stream = "id: 1\ndata: a" + delimiter;
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
      CAPTURE(delimiter, cut);
      StreamFramer framer;
      framer.Add(stream.substr(0, cut));
      std::string taken = framer.TakeCompleteEvents();
      framer.Add(stream.substr(cut));
      taken += framer.TakeCompleteEvents();
      CHECK(taken == stream);
    }
  }
}

}  // namespace
}  // namespace umbertrail::front
