#include "umbertrail/logbook/losses.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

#include "absl/strings/str_cat.h"

namespace umbertrail::logbook {
namespace {

std::string Line(int64_t t_ms, const std::string& rest) {
  return absl::StrCat(R"({"t_ms":)", t_ms, R"(,"instance":"a",)", rest, "}\n");
}

std::string Sent(int64_t t_ms, const std::string& id, int expected_ms) {
  return Line(t_ms, absl::StrCat(R"("event":"sent","request":")", id,
                                 R"(","expected_ms":)", expected_ms));
}

// A stream that arrived 500 ms before; its latency aim is 300 ms, its pause aim
// 250 ms.
std::string Ended(int64_t t_ms,
                  const std::string& id,
                  const std::string& rest) {
  return Line(t_ms,
              absl::StrCat(R"("event":"ended","request":")", id,
                           R"(","took_ms":500,"route":"ask","aim_ms":300,)",
                           R"("pause_aim_ms":250,)", rest));
}

std::string Answered(int first_ms, int pause_ms, int sends) {
  return absl::StrCat(R"("outcome":"answered","target_status":200,"sends":)",
                      sends, R"(,"first_event_ms":)", first_ms,
                      R"(,"longest_pause_ms":)", pause_ms);
}

std::vector<Loss> LossesOf(const std::string& lines) {
  std::istringstream in(lines);
  MergedLog log;
  log.Read(in);
  log.Sort();
  return CountLosses(log, 2);
}

std::string OnlyReason(const std::string& lines) {
  const auto losses = LossesOf(lines);
  return losses.empty() ? "none" : losses.front().reason;
}

TEST_CASE("a request served in time is no loss") {
  CHECK(LossesOf(Sent(1000, "r", 100) + Ended(1500, "r", Answered(120, 90, 1)))
            .empty());
}

TEST_CASE("a late stream is counted under its cause") {
  const std::string sent = Sent(1000, "r", 100);
  CHECK(OnlyReason(sent + Ended(1500, "r", Answered(120, 300, 1))) ==
        "late_pause");
  CHECK(OnlyReason(sent + Ended(1500, "r", Answered(400, 90, 1))) ==
        "late_unexpected");
  CHECK(OnlyReason(sent + Ended(1500, "r", Answered(400, 90, 2))) ==
        "late_after_failure");
  // Sent after 50 ms, with 290 ms to go.
  CHECK(OnlyReason(Sent(1050, "r", 290) +
                   Ended(1500, "r", Answered(400, 90, 1))) ==
        "late_as_expected");
}

TEST_CASE("an unserved request is counted under its refusal or outcome") {
  const std::string refused =
      Line(1500, R"("event":"refused","request":"r","why":"overloaded")");
  CHECK(OnlyReason(refused + Ended(1500, "r", R"("outcome":"refused")")) ==
        "overloaded");
  CHECK(OnlyReason(Ended(1500, "r", R"("outcome":"client_gone")")) ==
        "client_gone");
  CHECK(OnlyReason(
            Ended(1500, "r", R"("outcome":"answered","target_status":500)")) ==
        "target_status_500");
}

TEST_CASE("a request that matches no route is no loss") {
  CHECK(LossesOf(
            Line(1000, R"("event":"refused","request":"r","why":"no_route")") +
            Line(1000, R"("event":"ended","request":"r","outcome":"refused")"))
            .empty());
}

TEST_CASE("losses are counted by span, route and reason") {
  std::string lines;
  for (int i = 0; i < 5; ++i) {
    lines += Ended(1000 + 1000 * i, absl::StrCat("r", i),
                   R"("outcome":"client_gone")");
  }
  const auto losses = LossesOf(lines);
  REQUIRE(losses.size() == 3);
  CHECK(losses[0].requests == 1);
  CHECK(losses[1].from_s == 2);
  CHECK(losses[1].requests == 2);
  CHECK(losses[2].requests == 2);
  CHECK(losses[2].route == "ask");
}

}  // namespace
}  // namespace umbertrail::logbook
