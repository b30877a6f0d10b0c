#include <catch2/catch.hpp>

#include "absl/time/clock.h"
#include "commands.h"
#include "fixtures.h"

namespace umbertrail::cli {
namespace {

using Catch::Matchers::Contains;

LoadCommand CommandWith(const TempFile& key) {
  LoadCommand out;
  out.addresses = {"127.0.0.1:1"};
  out.accounts = {{"club", key.path()}};
  out.mix = {{Tokens(10), 1}};
  out.requests_per_second = 1000;
  out.duration = absl::Milliseconds(50);
  out.max_open = 4;
  out.alone = 2;
  return out;
}

CallResult WholeAnswer(const PromptCall&, const PartReceiver&) {
  CallResult out;
  out.end = CallEnd::kWhole;
  out.first_token = absl::Milliseconds(1);
  return out;
}

TEST_CASE("a load sends its plan and writes report and plot") {
  const TempFile key("secret\n");
  const TempFile report("");
  const TempFile plot("");
  LoadCommand command = CommandWith(key);
  command.report_file = report.path();
  command.plot_file = plot.path();
  MockCaller caller;
  caller.prompt = WholeAnswer;
  MockConsole mock;
  Load(command, caller, mock.console);
  CHECK_THAT(mock.out.str(), Contains("LENGTH") && Contains("club"));
  command.compare_file = report.path();
  Load(command, caller, mock.console);
  CHECK_THAT(mock.out.str(), Contains("short slowdown p50"));
}

TEST_CASE("requests that find all places taken are not offered") {
  const TempFile key("secret\n");
  LoadCommand command = CommandWith(key);
  command.max_open = 1;
  command.alone = 0;
  MockCaller caller;
  caller.prompt = [](const PromptCall& call, const PartReceiver& receiver) {
    // Longer than all arrivals take.
    absl::SleepFor(absl::Milliseconds(100));
    return WholeAnswer(call, receiver);
  };
  MockConsole mock;
  CHECK(Load(command, caller, mock.console) == ExitStatus::kFound);
}

TEST_CASE("addresses outside the loopback need a word") {
  const TempFile key("secret\n");
  LoadCommand command = CommandWith(key);
  command.addresses = {"10.0.0.1:80"};
  MockConsole mock;
  CHECK(Load(command, MockCaller(), mock.console) == ExitStatus::kUsage);
  CHECK_THAT(mock.err.str(), Contains("--allow-remote"));
}

TEST_CASE("a load that reaches nobody says so") {
  const TempFile key("secret\n");
  LoadCommand command = CommandWith(key);
  MockCaller caller;
  caller.prompt = [](const PromptCall&, const PartReceiver&) {
    return CallResult();
  };
  MockConsole mock;
  CHECK(Load(command, caller, mock.console) == ExitStatus::kUnreachable);
}

}  // namespace
}  // namespace umbertrail::cli
