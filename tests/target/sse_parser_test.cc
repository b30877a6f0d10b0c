#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sse_parser_fuzz.h"
#include "umbertrail/base.h"
#include "umbertrail/target/sse_parser.h"

namespace umbertrail::target {
namespace {

constexpr size_t kMaxLine = 20;

std::vector<std::string> Parse(std::string_view text) {
  std::vector<std::string> events;
  SseParser parser(kMaxLine, [&events](std::string_view data) {
    events.emplace_back(data);
    return true;
  });
  parser.Feed(text);
  return events;
}

TEST_CASE("events are handed out at their blank line") {
  using Events = std::vector<std::string>;
  CHECK(Parse("data: a\n\ndata:b\r\n\r\n") == Events{"a", "b"});
  CHECK(Parse("data: a\ndata: b\n\n") == Events{"a\nb"});
  CHECK(Parse(": note\nid: 1\ndata: a\n\n\n\n") == Events{"a"});
  CHECK(Parse("data: a\n").empty());
  CHECK(Parse("data:\n\n") == Events{""});
}

TEST_CASE("a line or an event over the limit ends the parsing") {
  int events = 0;
  const auto count = [&events](std::string_view) {
    ++events;
    return true;
  };
  SseParser line(kMaxLine, count);
  CHECK(line.Feed(std::string(kMaxLine + 1, 'x')) ==
        SseParser::Status::kLineTooLong);
  CHECK(line.Feed("\n\ndata: a\n\n") == SseParser::Status::kLineTooLong);
  SseParser event(kMaxLine, count);
  CHECK(event.Feed("data: 0123456789\ndata: 0123456789\n\n") ==
        SseParser::Status::kLineTooLong);
  CHECK(events == 0);
}

TEST_CASE("the receiver may end the parsing") {
  int events = 0;
  SseParser parser(kMaxLine, [&events](std::string_view) {
    ++events;
    return false;
  });
  CHECK(parser.Feed("data: a\n\ndata: b\n\n") == SseParser::Status::kEnded);
  CHECK(events == 1);
}

TEST_CASE("however a stream is cut, its events are the same") {
  constexpr int kInputs = 20000;
  constexpr uint64_t kLongest = 120;
  constexpr std::string_view kAlphabet = "data:: \n\n\r\nxyz";
  const auto random = MakeSeededRandom(41);
  for (int n = 0; n < kInputs; ++n) {
    std::string input(random->Below(kLongest), ' ');
    for (char& it : input) {
      it = kAlphabet[random->Below(kAlphabet.size())];
    }
    REQUIRE(SplitsAgree(input));
  }
}

}  // namespace
}  // namespace umbertrail::target
