#include "umbertrail/daemon/admin_server.h"

#include <httplib.h>
#include <catch2/catch.hpp>

namespace umbertrail::daemon {
namespace {

// Shows what it was asked.
AdminAnswer Echo(const AdminRequest& request) {
  return AdminAnswer{
      200, "text/plain",
      request.method + " " + request.path + " " + request.id + request.level};
}

TEST_CASE("the admin listener hands every path to its pages") {
  AdminServer server("127.0.0.1:0", Echo);
  REQUIRE(IsOk(server.Start()));
  httplib::Client client("http://" + server.address());
  CHECK(client.Get("/healthz")->body == "GET /health ");
  CHECK(client.Get("/readyz")->body == "GET /ready ");
  CHECK(client.Get("/explain?id=7")->body == "GET /explain 7");
  CHECK(client.Post("/log-level?level=debug")->body == "POST /log-level debug");
  CHECK(client.Get("/" + std::string(500, 'a'))->status == 404);
}

TEST_CASE("an address in use is a fault") {
  AdminServer first("127.0.0.1:0", Echo);
  REQUIRE(IsOk(first.Start()));
  AdminServer second(first.address(), Echo);
  CHECK_FALSE(IsOk(second.Start()));
}

}  // namespace
}  // namespace umbertrail::daemon
