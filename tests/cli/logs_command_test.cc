#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fixtures.h"
#include "umbertrail/cli.h"

namespace umbertrail::cli {
namespace {

using Catch::Contains;
using Catch::EndsWith;

const std::string kRecorded = UMBERTRAIL_RECORDED_LOGS "/trouble.log";

struct Ran {
  ExitStatus status;
  std::string out;
  std::string err;
};

Ran RunLogs(std::vector<std::string> args) {
  args.insert(args.begin(), "logs");
  MockConsole mock;
  Console console{mock.out, mock.err};
  const ExitStatus status = Run(args, console);
  return {status, mock.out.str(), mock.err.str()};
}

TEST_CASE("logs prints a request's path and its verdict") {
  const Ran ran = RunLogs({kRecorded, "--request=a562a7d375285de7"});
  CHECK(ran.status == ExitStatus::kOk);
  CHECK_THAT(ran.out, Contains("first_event") && !Contains("0775b5d4060da968"));
  CHECK_THAT(ran.out,
             EndsWith("cut: i-6916b1968c sent an incomplete response after "
                      "4945 ms; not retried: the route allows no "
                      "further attempt\n"));
}

TEST_CASE("logs counts the failures whose cause they tell") {
  const Ran ran = RunLogs({kRecorded, "--failed"});
  CHECK(ran.status == ExitStatus::kOk);
  CHECK_THAT(ran.out, EndsWith("6 requests failed; the logs tell why of 6\n"));
  const Ran later = RunLogs({kRecorded, "--failed", "--since=19"});
  CHECK_THAT(later.out,
             EndsWith("2 requests failed; the logs tell why of 2\n"));
}

TEST_CASE("logs counts losses by time, route and reason") {
  const TempFile file(
      R"({"t_ms":4100,"instance":"a","event":"refused","request":"r","why":"overloaded"}
{"t_ms":4100,"instance":"a","event":"ended","request":"r","outcome":"refused","route":"ask"}
{"t_ms":9000,"instance":"a","event":"ended","request":"q","outcome":"answered","target_status":200,"took_ms":900,"route":"ask","aim_ms":300,"sends":1}
)");
  const Ran ran = RunLogs({file.path(), "--losses"});
  CHECK(ran.status == ExitStatus::kOk);
  CHECK_THAT(ran.out, Contains("overloaded") && Contains("late_unexpected"));
  CHECK_THAT(ran.out, EndsWith("2 requests not served or late\n"));
  const Ran later = RunLogs({file.path(), "--losses", "--since=8"});
  CHECK_THAT(later.out, EndsWith("1 requests not served or late\n"));
  const Ran json = RunLogs({file.path(), "--losses", "--json"});
  CHECK(std::count(json.out.begin(), json.out.end(), '\n') == 2);
}

TEST_CASE("logs writes verdicts as JSON, one object a line") {
  const Ran all = RunLogs({kRecorded, "--failed", "--json"});
  CHECK(std::count(all.out.begin(), all.out.end(), '\n') == 6);
  CHECK_THAT(all.out,
             Contains(R"("request":"0775b5d4060da968","end":"refused")"));
  const Ran one = RunLogs({kRecorded, "--request=a562a7d375285de7", "--json"});
  CHECK_THAT(one.out, Contains(R"("end":"cut","failed":true,"cause":"i-6916)"));
}

TEST_CASE("logs that end too soon leave a cause open, and say so") {
  const TempFile file(
      R"({"t_ms":1,"instance":"a","event":"sent","request":"r","target":"t"})");
  const Ran ran = RunLogs({file.path(), "--failed"});
  CHECK(ran.status == ExitStatus::kFound);
  CHECK_THAT(ran.out, Contains("the logs don't tell why"));
}

TEST_CASE("logs prints the lines of one target from a time on") {
  const Ran ran =
      RunLogs({kRecorded, "--target=i-6916b1968c", "--since=23.0", "--json"});
  CHECK(ran.status == ExitStatus::kOk);
  CHECK_THAT(ran.out, Contains("\"event\":\"target_gone\"") &&
                          !Contains("first_event") &&
                          !Contains("i-75e115ae09"));
}

TEST_CASE("logs merges files") {
  const TempFile first(
      "{\"t_ms\":1000,\"instance\":\"a\",\"event\":\"one\"}\n"
      "{\"t_ms\":3000,\"instance\":\"a\",\"event\":\"three\"}\n");
  const TempFile second(
      "{\"t_ms\":2000,\"instance\":\"b\",\"event\":\"two\"}\n");
  const Ran ran = RunLogs({first.path(), second.path()});
  const size_t two = ran.out.find("two");
  CHECK(ran.out.find("one") < two);
  CHECK(two < ran.out.find("three"));
}

TEST_CASE("logs says what can't be used") {
  CHECK(RunLogs({"/nowhere.log"}).status == ExitStatus::kUsage);
  CHECK(RunLogs({kRecorded, "--since=noon"}).status == ExitStatus::kUsage);
  const TempFile other("no log\n");
  CHECK(RunLogs({other.path()}).status == ExitStatus::kUsage);
  const Ran unknown = RunLogs({kRecorded, "--request=nobody"});
  CHECK(unknown.status == ExitStatus::kFound);
  CHECK_THAT(unknown.err, Contains("no line names request nobody"));
}

}  // namespace
}  // namespace umbertrail::cli
