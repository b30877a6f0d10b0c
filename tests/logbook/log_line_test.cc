#include "umbertrail/logbook/log_line.h"

#include <catch2/catch.hpp>

namespace umbertrail::logbook {
namespace {

TEST_CASE("a log line is parsed with all its fields") {
  const auto line = ParseLogLine(
      R"({"t_ms":1500,"instance":"front-1","event":"sent","request":"r1",)"
      R"("attempt":2,"share":0.5,"cut":true})");
  REQUIRE(line);
  CHECK(line->at_s == 1.5);
  CHECK(line->instance == "front-1");
  CHECK(line->event == "sent");
  CHECK(line->Text("request") == "r1");
  CHECK(line->Number("attempt") == 2);
  CHECK(line->Flag("cut"));
  CHECK(line->Text("attempt").empty());
  CHECK_FALSE(line->Number("request"));
  CHECK_FALSE(line->Flag("missing"));
  CHECK(WriteFields(*line) == "  request=r1  attempt=2  share=0.5  cut=true");
}

TEST_CASE("the recorder's time takes precedence over the instance's clock") {
  const auto line = ParseLogLine(
      R"(  -9.5 front-1 {"t_ms":1500,"instance":"front-1","event":"start"})");
  REQUIRE(line);
  CHECK(line->at_s == -9.5);
}

TEST_CASE("text that is no log line is rejected") {
  for (const char* text :
       {"", "{", "plain words", "[1,2]", R"({"event":"start"})",
        R"({"t_ms":1,"instance":"a"})", R"({"t_ms":1,"event":"start"})",
        R"({"t_ms":"1","instance":"a","event":"start"})",
        R"(two words and {"t_ms":1,"instance":"a","event":"start"})",
        R"({"t_ms":1,"instance":"a","event":"start"} more)"}) {
    INFO(text);
    CHECK_FALSE(ParseLogLine(text));
  }
}

TEST_CASE("a line is written as one JSON object") {
  const auto line = ParseLogLine(
      R"({"t_ms":2000,"instance":"a","event":"ended","took_ms":7,"cut":false})");
  REQUIRE(line);
  CHECK(WriteJson(*line) ==
        R"({"at_s":2.0,"instance":"a","event":"ended","took_ms":7,)"
        R"("cut":false})");
}

TEST_CASE("invalid UTF-8 is written without an exception") {
  LogLine line;
  line.instance = "a";
  line.event = "unreadable";
  line.fields = {{"why", std::string("\xff\xfe")}};
  CHECK_FALSE(WriteJson(line).empty());
}

}  // namespace
}  // namespace umbertrail::logbook
