#include "umbertrail/logbook/story.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

namespace umbertrail::logbook {
namespace {

using Catch::Contains;

// Lines recorded on a day of troubles: those of six failed requests, and what
// their instances learnt of the targets then.
MergedLog Recorded() {
  std::ifstream file(UMBERTRAIL_RECORDED_LOGS "/trouble.log");
  MergedLog book;
  book.Read(file);
  book.Sort();
  return book;
}

MergedLog Written(const std::string& lines) {
  std::istringstream in(lines);
  MergedLog book;
  book.Read(in);
  book.Sort();
  return book;
}

TEST_CASE("each failed request of the record has its cause") {
  const MergedLog book = Recorded();
  const LogAnalyser teller(&book);
  const auto failures = teller.FindFailures();
  CHECK(failures.size() == 6);
  for (const RequestReport& it : failures) {
    INFO(it.request);
    CHECK_FALSE(it.cause.empty());
  }
}

TEST_CASE("a refusal for lack of room names the soonest first event") {
  const MergedLog book = Recorded();
  const auto story = LogAnalyser(&book).Find("0775b5d4060da968");
  REQUIRE(story);
  CHECK(story->outcome == RequestOutcome::kRefused);
  CHECK_THAT(story->cause,
             Contains("none of 16 targets") && Contains("would take 9948 ms"));
}

TEST_CASE("a stream that broke off names its target, how, and why no other") {
  const MergedLog book = Recorded();
  const auto story = LogAnalyser(&book).Find("a562a7d375285de7");
  REQUIRE(story);
  CHECK(story->outcome == RequestOutcome::kCut);
  CHECK(story->lines.size() == 7);
  CHECK_THAT(story->cause, Contains("i-6916b1968c broke its answer off") &&
                               Contains("the route allows no further send"));
}

TEST_CASE("a call without an answer says where it was sent and what was left") {
  const MergedLog book = Recorded();
  const auto story = LogAnalyser(&book).Find("8dbfaa0745112c9e");
  REQUIRE(story);
  CHECK(story->outcome == RequestOutcome::kRefused);
  CHECK_THAT(story->cause, Contains("its time was over") &&
                               Contains("i-4eeb3186f5 had given nothing"));
}

TEST_CASE("a client that left names what it waited for") {
  const MergedLog book = Recorded();
  const auto story = LogAnalyser(&book).Find("ef9bfa2ad1243a38");
  REQUIRE(story);
  CHECK(story->outcome == RequestOutcome::kClientGone);
  CHECK_THAT(story->cause, Contains("left after 3522 ms") &&
                               Contains("i-46bfcbce9c had given nothing"));
  // It began to drain later.
  CHECK_THAT(story->cause, !Contains("draining"));
}

TEST_CASE("a target's own error is a failure too") {
  const MergedLog book = Recorded();
  const auto story = LogAnalyser(&book).Find("982681ee68687deb");
  REQUIRE(story);
  CHECK(story->outcome == RequestOutcome::kAnswered);
  CHECK(story->failed);
  CHECK_THAT(story->cause, Contains("answered with an error (500)"));
}

TEST_CASE("a request that no line names has no story") {
  const MergedLog book = Recorded();
  CHECK_FALSE(LogAnalyser(&book).Find("nobody"));
}

TEST_CASE("a good answer is no failure") {
  const MergedLog book = Written(
      R"({"t_ms":1,"instance":"a","event":"sent","request":"r","target":"t"})"
      "\n"
      R"({"t_ms":2,"instance":"a","event":"ended","request":"r",)"
      R"("outcome":"answered","target_status":200})"
      "\n");
  const LogAnalyser teller(&book);
  CHECK(teller.FindFailures().empty());
  CHECK_FALSE(teller.Find("r")->failed);
}

TEST_CASE("a request whose instance died names the restart") {
  const std::string sent =
      R"({"t_ms":1000,"instance":"a","event":"sent","request":"r",)"
      R"("target":"t"})"
      "\n";
  const std::string start = R"({"t_ms":9000,"instance":"a","event":"start"})"
                            "\n";
  SECTION("when it came back") {
    const MergedLog book = Written(sent + start);
    const auto story = LogAnalyser(&book).Find("r");
    CHECK(story->outcome == RequestOutcome::kUnknown);
    CHECK_THAT(story->cause, Contains("started again"));
  }
  SECTION("and nothing when the logs just end") {
    const MergedLog book = Written(sent);
    const auto story = LogAnalyser(&book).Find("r");
    CHECK(story->failed);
    CHECK(story->cause.empty());
  }
}

TEST_CASE("lines that were left out are counted, whatever line says so") {
  const MergedLog book =
      Written(R"({"t_ms":1000,"instance":"a","event":"sent","request":"r",)"
              R"("target":"t"})"
              "\n"
              R"({"t_ms":2000,"instance":"a","event":"sent","request":"other",)"
              R"("target":"t","lines_left_out":4})"
              "\n");
  const auto story = LogAnalyser(&book).Find("r");
  CHECK(story->left_out == 4);
  CHECK_THAT(story->cause, Contains("left out"));
}

TEST_CASE("what the store did before explains keys that can't be trusted") {
  const MergedLog book = Written(
      R"({"t_ms":1000,"instance":"a","event":"store_lost","why":"no_answer"})"
      "\n"
      R"({"t_ms":5000,"instance":"b","event":"store_lost","why":"other"})"
      "\n"
      R"({"t_ms":5500,"instance":"a","event":"refused","request":"r",)"
      R"("why":"keys_unconfirmed","config_age_ms":5100})"
      "\n"
      R"({"t_ms":5500,"instance":"a","event":"ended","request":"r",)"
      R"("outcome":"refused"})"
      "\n");
  const auto story = LogAnalyser(&book).Find("r");
  CHECK_THAT(story->cause, Contains("5100 ms ago") && Contains("no_answer") &&
                               !Contains("other"));
}

}  // namespace
}  // namespace umbertrail::logbook
