#include "umbertrail/front/stream_framer.h"

#include <catch2/catch.hpp>

namespace umbertrail::front {
namespace {

TEST_CASE("only whole events are taken") {
  StreamFramer framer;
  framer.Add("id: 1\ndata: a\n");
  CHECK(framer.TakeWhole().empty());
  framer.Add("\nid: 2\ndata: b\n\nid: 3\nda");
  CHECK(framer.TakeWhole() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(framer.last_id() == "2");
  CHECK(framer.TakeRest() == "id: 3\nda");
  CHECK(framer.TakeWhole().empty());
}

TEST_CASE("events may end their lines with a carriage return") {
  StreamFramer framer;
  framer.Add("id: 7\r\ndata: a\r\n\r\n");
  CHECK(framer.TakeWhole() == "id: 7\r\ndata: a\r\n\r\n");
  CHECK(framer.last_id() == "7");
}

TEST_CASE("bytes that come one by one make the same events") {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\n\nid:3\ndata: c\n\n";
  StreamFramer framer;
  std::string taken;
  for (const char byte : stream) {
    framer.Add(absl::string_view(&byte, 1));
    taken += framer.TakeWhole();
  }
  CHECK(taken == stream);
  CHECK(framer.last_id() == "3");
}

}  // namespace
}  // namespace umbertrail::front
