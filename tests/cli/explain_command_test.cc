#include <catch2/catch.hpp>

#include "commands.h"
#include "fixtures.h"

namespace umbertrail::cli {
namespace {

using Catch::Matchers::Contains;

constexpr char kPage[] =
    R"({"requests":[{"id":"r","kind":"completion","account":"club","prompt":1000,
        "steps":[{"after_ms":1.5,"step":"probe_sent","owner":"i2","target":"t"}],
        "relay":{"parts":2,"tokens":9,"first_after_ms":3,"last_after_ms":4},
        "outcome":{"reason":"ok","ran":"yes","after_ms":5}}]})";

ExplainCommand CommandFor(const char* id) {
  return {RequestId(id), {"a", "b"}, false};
}

TEST_CASE("what an instance remembers is told step by step") {
  MockConsole mock;
  MockAdminClient client;
  client.pages["a"] = {404, R"({"requests":[]})"};
  client.pages["b"] = {200, kPage};
  CHECK(Explain(CommandFor("r"), client, mock.console) == ExitStatus::kOk);
  CHECK_THAT(mock.out.str(), Contains("probe_sent") &&
                                 Contains("owner=i2  target=t") &&
                                 Contains("relayed 9 tokens in 2 parts") &&
                                 Contains("ok, ran: yes"));
}

TEST_CASE("an unknown request, silence and a wrong id differ") {
  MockConsole mock;
  MockAdminClient client;
  CHECK(Explain(CommandFor("r"), client, mock.console) ==
        ExitStatus::kUnreachable);
  client.pages["a"] = {404, R"({"requests":[]})"};
  CHECK(Explain(CommandFor("r"), client, mock.console) == ExitStatus::kFound);
  CHECK(Explain(CommandFor("r&x=y"), client, mock.console) ==
        ExitStatus::kUsage);
}

}  // namespace
}  // namespace umbertrail::cli
