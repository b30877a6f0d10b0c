#include "load_report.h"

#include <catch2/catch.hpp>

namespace umbertrail::cli {
namespace {

using Catch::Matchers::Contains;

LoadSample SampleOf(Tokens prompt, CallEnd end, int first_token_ms) {
  LoadSample out;
  out.arrival.prompt = prompt;
  out.offered = true;
  out.result.end = end;
  out.first_token = absl::Milliseconds(first_token_ms);
  out.total = 2 * out.first_token;
  return out;
}

LoadReport SampleReport() {
  LoadCommand command;
  command.accounts = {{"club", ""}};
  LoadResult result;
  result.alone = {absl::Milliseconds(10), absl::Milliseconds(20),
                  absl::Milliseconds(30)};
  result.samples = {SampleOf(Tokens(1000), CallEnd::kWhole, 40),
                    SampleOf(Tokens(1000), CallEnd::kRefused, 0),
                    SampleOf(Tokens(200000), CallEnd::kCut, 0)};
  result.samples[1].result.reason = "overloaded";
  result.samples[1].result.ran = "no";
  result.samples.emplace_back();
  return MakeReport(command, result);
}

TEST_CASE("quantiles are by nearest rank") {
  CHECK(QuantileOf({}, 0.5) == 0);
  CHECK(QuantileOf({3, 1, 2}, 0.5) == 2);
  CHECK(QuantileOf({3, 1, 2}, 0.99) == 3);
  CHECK(QuantileOf({3, 1, 2}, 0) == 1);
}

TEST_CASE("requests are counted by how they ended") {
  const LoadReport report = SampleReport();
  const LoadRow& row = report.classes.at(0);
  CHECK(row.planned == 3);
  CHECK(row.whole == 1);
  CHECK(row.refused == 1);
  CHECK(row.not_offered == 1);
  CHECK(row.first_token.p50 == 40);
  CHECK(report.classes.at(2).cut == 1);
  CHECK(report.reasons.at(0).ran == "no");
  CHECK(report.alone_ms == 20);
  CHECK(report.slowdown.p50 == 2);
}

TEST_CASE("a report survives writing and reading") {
  const auto read = ParseReport(ReportJson(SampleReport()));
  REQUIRE(IsOk(read));
  CHECK(ReportText(ValueOf(read)).substr(0, 200) ==
        ReportText(SampleReport()).substr(0, 200));
  CHECK_THAT(CompareText(ValueOf(read), SampleReport()),
             Contains("short first p50 ms") && Contains("1.00"));
  CHECK_FALSE(IsOk(ParseReport("{}")));
}

}  // namespace
}  // namespace umbertrail::cli
