#include "command_line.h"

#include <catch2/catch.hpp>

#include "fixtures.h"

namespace umbertrail::cli {
namespace {

using Args = std::vector<std::string>;

TEST_CASE("each command is read with its arguments") {
  const auto status =
      ParseCommandLine({"status", "127.0.0.1:1", "127.0.0.1:2", "--json"});
  REQUIRE(IsOk(status));
  CHECK(std::get<StatusCommand>(ValueOf(status)).addresses.size() == 2);
  CHECK(std::get<StatusCommand>(ValueOf(status)).json);

  const auto send =
      ParseCommandLine({"send", "127.0.0.1:1", "--account=club", "--key-file=k",
                        "--service=desk", "--call=file", "--once"});
  REQUIRE(IsOk(send));
  CHECK(std::get<SendCommand>(ValueOf(send)).once);
  CHECK(std::get<SendCommand>(ValueOf(send)).time_limit == absl::Seconds(60));

  const auto load =
      ParseCommandLine({"load", "127.0.0.1:1", "--as=club:k1", "--as=mill:k2",
                        "--model=m", "--mix=1000:9,500000:1", "--rate=2.5"});
  REQUIRE(IsOk(load));
  const auto& command = std::get<LoadCommand>(ValueOf(load));
  CHECK(command.accounts.at(1).account == "mill");
  CHECK(command.mix.at(1).prompt == Tokens(500000));
  CHECK(command.requests_per_second == 2.5);

  CHECK(IsOk(ParseCommandLine({"manifest", "check", "f.yaml"})));
  CHECK(IsOk(ParseCommandLine({"manifest", "diff", "a", "b"})));
  CHECK(IsOk(ParseCommandLine({"explain", "r", "127.0.0.1:1"})));
  CHECK(IsOk(ParseCommandLine({"key", "hash", "--salt=s", "--key-file=f"})));
}

TEST_CASE("wrong arguments are a fault and exit with usage") {
  const auto args = GENERATE(
      Args{}, Args{"frobnicate"}, Args{"status"}, Args{"manifest", "check"},
      Args{"load", "127.0.0.1:1", "--as=club:k", "--model=m", "--rate=0"},
      Args{"load", "127.0.0.1:1", "--as=club:k", "--model=m", "--rate=nan"},
      Args{"load", "127.0.0.1:1", "--as=club", "--model=m"},
      Args{"load", "127.0.0.1:1", "--as=club:k", "--model=m", "--mix=1"},
      Args{"load", "127.0.0.1:1", "--as=club:k", "--model=m",
           "--max-open=5000"});
  MockConsole mock;
  CHECK(Run(args, mock.console) == ExitStatus::kUsage);
  CHECK(mock.out.str().empty());
  CHECK_FALSE(mock.err.str().empty());
}

TEST_CASE("help and version are shown") {
  MockConsole mock;
  CHECK(Run({"--help"}, mock.console) == ExitStatus::kOk);
  CHECK_THAT(mock.out.str(), Catch::Matchers::Contains("Exit status"));
  CHECK(Run({"--version"}, mock.console) == ExitStatus::kOk);
}

}  // namespace
}  // namespace umbertrail::cli
