#include <catch2/catch.hpp>

#include "commands.h"
#include "fixtures.h"
#include "status_view.h"

namespace umbertrail::cli {
namespace {

using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

AdminPage PageOf(const std::string& instance,
                 int revision,
                 const std::string& owned) {
  return {200, R"({"instance":")" + instance + R"(","revision":)" +
                   std::to_string(revision) +
                   R"(,"freshness_age_ms":1500.5,"ready":true,"owned":[)" +
                   owned + "]}"};
}

constexpr char kTarget[] =
    R"({"id":"t1","claim":"full","state":"warm","reachable":true,"queued":{"short":2}})";

TEST_CASE("instances that agree are shown with success") {
  MockConsole mock;
  MockAdminClient client;
  client.pages["a"] = PageOf("i1", 7, kTarget);
  client.pages["b"] = PageOf("i2", 7, "");
  CHECK(ShowStatus({{"a", "b"}, false}, client, mock.console) ==
        ExitStatus::kOk);
  CHECK_THAT(mock.out.str(), Contains("i1") && Contains("2/0/0"));
  CHECK_THAT(mock.out.str(), !Contains("!"));
}

TEST_CASE("disagreements come first") {
  MockConsole mock;
  MockAdminClient client;
  client.pages["a"] = PageOf("i1", 7, kTarget);
  client.pages["b"] = PageOf("i2", 6, kTarget);
  CHECK(ShowStatus({{"a", "b"}, false}, client, mock.console) ==
        ExitStatus::kFound);
  CHECK_THAT(mock.out.str(),
             StartsWith("! target t1 is claimed by i1 (full), i2 (full)\n"
                        "! i2 is at revision 6, the newest is 7\n"));
}

TEST_CASE("instances out of reach are told apart from none in reach") {
  MockConsole mock;
  MockAdminClient client;
  CHECK(ShowStatus({{"a"}, false}, client, mock.console) ==
        ExitStatus::kUnreachable);
  client.pages["b"] = PageOf("i2", 7, "");
  CHECK(ShowStatus({{"a", "b"}, true}, client, mock.console) ==
        ExitStatus::kFound);
  CHECK_THAT(mock.out.str(), Contains("\"unreachable\":[\"a:"));
}

TEST_CASE("a page that is no status is a fault") {
  CHECK_FALSE(IsOk(ParseStatus("a", "hello")));
  CHECK_FALSE(IsOk(ParseStatus("a", "{\"instance\":3}")));
}

}  // namespace
}  // namespace umbertrail::cli
