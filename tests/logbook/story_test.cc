#include "umbertrail/logbook/story.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>

namespace umbertrail::logbook {
namespace {

using Catch::Contains;

// Recorded lines of six failed requests, and of their instances' targets at
// that time.
MergedLog RecordedLog() {
  std::ifstream file(UMBERTRAIL_RECORDED_LOGS "/trouble.log");
  MergedLog log;
  log.Read(file);
  log.Sort();
  return log;
}

MergedLog ParseLog(const std::string& lines) {
  std::istringstream in(lines);
  MergedLog log;
  log.Read(in);
  log.Sort();
  return log;
}

TEST_CASE("every failed request in the recorded logs has a cause") {
  const MergedLog log = RecordedLog();
  const LogAnalyser analyser(&log);
  const auto failures = analyser.FindFailures();
  CHECK(failures.size() == 6);
  for (const RequestReport& it : failures) {
    INFO(it.request);
    CHECK_FALSE(it.cause.empty());
  }
}

TEST_CASE("an overload refusal states the earliest possible first event") {
  const MergedLog log = RecordedLog();
  const auto report = LogAnalyser(&log).Find("0775b5d4060da968");
  REQUIRE(report);
  CHECK(report->outcome == RequestOutcome::kRefused);
  CHECK_THAT(report->cause,
             Contains("none of 16 targets") && Contains("would take 9948 ms"));
}

TEST_CASE("a truncated stream states target, failure and no-retry reason") {
  const MergedLog log = RecordedLog();
  const auto report = LogAnalyser(&log).Find("a562a7d375285de7");
  REQUIRE(report);
  CHECK(report->outcome == RequestOutcome::kCut);
  CHECK(report->lines.size() == 7);
  CHECK_THAT(report->cause,
             Contains("i-6916b1968c sent an incomplete response") &&
                 Contains("the route allows no further attempt"));
}

TEST_CASE("a timed-out call states which target had not responded") {
  const MergedLog log = RecordedLog();
  const auto report = LogAnalyser(&log).Find("8dbfaa0745112c9e");
  REQUIRE(report);
  CHECK(report->outcome == RequestOutcome::kRefused);
  CHECK_THAT(report->cause, Contains("it timed out") &&
                                Contains("i-4eeb3186f5 had not responded"));
}

TEST_CASE("a client disconnect states what the request waited for") {
  const MergedLog log = RecordedLog();
  const auto report = LogAnalyser(&log).Find("ef9bfa2ad1243a38");
  REQUIRE(report);
  CHECK(report->outcome == RequestOutcome::kClientGone);
  CHECK_THAT(report->cause, Contains("disconnected after 3522 ms") &&
                                Contains("i-46bfcbce9c had not responded"));
  // The target began to drain later.
  CHECK_THAT(report->cause, !Contains("draining"));
}

TEST_CASE("a server error from the target is a failure") {
  const MergedLog log = RecordedLog();
  const auto report = LogAnalyser(&log).Find("982681ee68687deb");
  REQUIRE(report);
  CHECK(report->outcome == RequestOutcome::kAnswered);
  CHECK(report->failed);
  CHECK_THAT(report->cause, Contains("returned a server error (500)"));
}

TEST_CASE("a response that ended too early states how") {
  const auto [how, text] = GENERATE(
      std::make_pair("ended_in_event", "t ended its stream inside an event"),
      std::make_pair("ended_empty",
                     "t ended its stream before the first event"),
      std::make_pair("end_unproven",
                     "t ended its response with nothing to show"),
      std::make_pair("ended_by_crash", "t was down when its response had"));
  const std::string failed =
      std::string(R"({"t_ms":1,"instance":"a","event":"attempt_failed",)") +
      R"("request":"r","target":"t","after_ms":9,"how":")" + how + "\"}\n";
  const MergedLog log = ParseLog(
      failed + R"({"t_ms":2,"instance":"a","event":"refused","request":"r",)"
               R"("why":"target_failed","status":502})"
               "\n"
               R"({"t_ms":3,"instance":"a","event":"ended","request":"r",)"
               R"("outcome":"refused","target_status":0})"
               "\n");
  const auto report = LogAnalyser(&log).Find("r");
  REQUIRE(report);
  CHECK_THAT(report->cause, Contains(text));
}

TEST_CASE("a request that no line names has no report") {
  const MergedLog log = RecordedLog();
  CHECK_FALSE(LogAnalyser(&log).Find("nobody"));
}

TEST_CASE("a successful response is no failure") {
  const MergedLog log = ParseLog(
      R"({"t_ms":1,"instance":"a","event":"sent","request":"r","target":"t"})"
      "\n"
      R"({"t_ms":2,"instance":"a","event":"ended","request":"r",)"
      R"("outcome":"answered","target_status":200})"
      "\n");
  const LogAnalyser analyser(&log);
  CHECK(analyser.FindFailures().empty());
  CHECK_FALSE(analyser.Find("r")->failed);
}

TEST_CASE("a request whose instance crashed states the restart") {
  const std::string sent =
      R"({"t_ms":1000,"instance":"a","event":"sent","request":"r",)"
      R"("target":"t"})"
      "\n";
  const std::string start = R"({"t_ms":9000,"instance":"a","event":"start"})"
                            "\n";
  SECTION("if it was restarted") {
    const MergedLog log = ParseLog(sent + start);
    const auto report = LogAnalyser(&log).Find("r");
    CHECK(report->outcome == RequestOutcome::kUnknown);
    CHECK_THAT(report->cause, Contains("was restarted"));
  }
  SECTION("and no cause if the logs end") {
    const MergedLog log = ParseLog(sent);
    const auto report = LogAnalyser(&log).Find("r");
    CHECK(report->failed);
    CHECK(report->cause.empty());
  }
}

TEST_CASE("dropped lines are counted, whichever line reports them") {
  const MergedLog log = ParseLog(
      R"({"t_ms":1000,"instance":"a","event":"sent","request":"r",)"
      R"("target":"t"})"
      "\n"
      R"({"t_ms":2000,"instance":"a","event":"sent","request":"other",)"
      R"("target":"t","lines_left_out":4})"
      "\n");
  const auto report = LogAnalyser(&log).Find("r");
  CHECK(report->left_out == 4);
  CHECK_THAT(report->cause, Contains("dropped"));
}

TEST_CASE("a lost store connection explains unconfirmed keys") {
  const MergedLog log = ParseLog(
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
  const auto report = LogAnalyser(&log).Find("r");
  CHECK_THAT(report->cause, Contains("5100 ms ago") && Contains("no_answer") &&
                                !Contains("other"));
}

TEST_CASE("a configuration that the store lost explains a refused key") {
  const MergedLog log =
      ParseLog(R"({"t_ms":4000,"instance":"a","event":"config_standing",)"
               R"("standing":"behind","version":5,"later_version":9,)"
               R"("holder":"10.1.0.2"})"
               "\n"
               R"({"t_ms":5500,"instance":"a","event":"refused","request":"r",)"
               R"("why":"config_behind"})"
               "\n"
               R"({"t_ms":5500,"instance":"a","event":"ended","request":"r",)"
               R"("outcome":"refused"})"
               "\n");
  const auto report = LogAnalyser(&log).Find("r");
  CHECK_THAT(report->cause, Contains("version 5 here, 9 at 10.1.0.2"));
}

}  // namespace
}  // namespace umbertrail::logbook
