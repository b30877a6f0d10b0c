#include "umbertrail/daemon/admin_server.h"

#include <atomic>

#include <httplib.h>
#include <catch2/catch.hpp>

namespace umbertrail::daemon {
namespace {

TEST_CASE("the admin interface tells health, readiness and its pages") {
  std::atomic<bool> ready{false};
  AdminServer server(
      "127.0.0.1:0", [&] { return ready.load(); },
      {AdminPage{"/status", "application/json",
                 [](const std::string& id) -> std::optional<std::string> {
                   return "{" + id + "}";
                 }},
       AdminPage{"/metrics", "text/plain",
                 [](const std::string&) -> std::optional<std::string> {
                   return std::nullopt;
                 }}});
  REQUIRE(IsOk(server.Start()));
  httplib::Client client("http://" + server.address());
  CHECK(client.Get("/healthz")->status == 200);
  CHECK(client.Get("/readyz")->status == 503);
  ready = true;
  CHECK(client.Get("/readyz")->status == 200);
  CHECK(client.Get("/status?id=7")->body == "{7}");
  CHECK(client.Get("/metrics")->status == 503);
  CHECK(client.Get("/other")->status == 404);
}

TEST_CASE("an address in use is a fault") {
  AdminServer first("127.0.0.1:0", [] { return true; }, {});
  REQUIRE(IsOk(first.Start()));
  AdminServer second(first.address(), [] { return true; }, {});
  CHECK_FALSE(IsOk(second.Start()));
}

}  // namespace
}  // namespace umbertrail::daemon
