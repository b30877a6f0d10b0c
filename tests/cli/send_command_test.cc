#include <catch2/catch.hpp>

#include "commands.h"
#include "fixtures.h"

namespace umbertrail::cli {
namespace {

using Catch::Matchers::Contains;

CallResult Ended(CallEnd end) {
  CallResult out;
  out.end = end;
  return out;
}

SendCommand ServiceCommand(const TempFile& key) {
  SendCommand out;
  out.credentials = {"club", key.path()};
  out.service = "desk";
  out.call = "file";
  out.once = true;
  return out;
}

TEST_CASE("a prompt's answer is streamed to the output") {
  const TempFile key("secret\n");
  SendCommand command;
  command.credentials = {"club", key.path()};
  command.prompt = "hello";
  MockCaller caller;
  caller.prompt = [](const PromptCall& call, const PartReceiver& receiver) {
    CHECK(call.secret == "secret");
    receiver("an ");
    receiver("answer");
    return Ended(CallEnd::kWhole);
  };
  MockConsole mock;
  CHECK(Send(command, caller, mock.console) == ExitStatus::kOk);
  CHECK(mock.out.str() == "an answer\n");
}

TEST_CASE("a refusal says whether the request ran") {
  const TempFile key("secret\n");
  SendCommand command;
  command.credentials = {"club", key.path()};
  MockCaller caller;
  caller.prompt = [](const PromptCall&, const PartReceiver&) {
    CallResult out = Ended(CallEnd::kRefused);
    out.reason = "overloaded";
    out.ran = "no";
    out.retry_after = absl::Seconds(2);
    return out;
  };
  MockConsole mock;
  CHECK(Send(command, caller, mock.console) == ExitStatus::kRefused);
  CHECK_THAT(mock.err.str(), Contains("overloaded, ran: no") && Contains("2s"));
}

TEST_CASE("a cut submission is sent again under the same ticket") {
  const TempFile key("secret\n");
  MockCaller caller;
  caller.ticket = Ended(CallEnd::kWhole);
  caller.ticket.body = "ticket-1";
  caller.service = [](size_t n) {
    return Ended(n == 1 ? CallEnd::kCut : CallEnd::kWhole);
  };
  MockConsole mock;
  CHECK(Send(ServiceCommand(key), caller, mock.console) == ExitStatus::kOk);
  CHECK(caller.tickets == std::vector<std::string>{"ticket-1", "ticket-1"});
}

TEST_CASE("without a ticket nothing is submitted, and resends are bounded") {
  const TempFile key("secret\n");
  MockCaller caller;
  caller.ticket = Ended(CallEnd::kRefused);
  caller.service = [](size_t) { return Ended(CallEnd::kCut); };
  MockConsole mock;
  CHECK(Send(ServiceCommand(key), caller, mock.console) ==
        ExitStatus::kRefused);
  CHECK(caller.tickets.empty());
  caller.ticket = Ended(CallEnd::kWhole);
  CHECK(Send(ServiceCommand(key), caller, mock.console) == ExitStatus::kCut);
  CHECK(caller.tickets.size() == 3);
}

}  // namespace
}  // namespace umbertrail::cli
