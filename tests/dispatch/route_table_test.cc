#include "umbertrail/dispatch/route_table.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

Route RouteOn(const std::string& host, const std::string& prefix) {
  Route route;
  route.host = host;
  route.prefix = prefix;
  route.services = {{ServiceId("s"), 1}};
  return route;
}

TEST_CASE("the longest matching prefix of the host is chosen") {
  const std::vector<Route> routes = {
      RouteOn("a.example", "/"), RouteOn("a.example", "/x/"),
      RouteOn("a.example", "/x/y/"), RouteOn("b.example", "/x/y/z/")};
  const RouteTable table(routes);
  CHECK(table.Find("a.example", "/x/y/z/1") == &routes[2]);
  CHECK(table.Find("a.example", "/x/yz") == &routes[1]);
  CHECK(table.Find("a.example", "/q") == &routes[0]);
  CHECK(table.Find("A.Example:8227", "/x/") == &routes[1]);
}

TEST_CASE("a path without a matching prefix has no route") {
  const std::vector<Route> routes = {RouteOn("a.example", "/x/")};
  const RouteTable table(routes);
  CHECK(table.Find("a.example", "/x") == nullptr);
  CHECK(table.Find("a.example", "/") == nullptr);
  CHECK(table.Find("a.example", "") == nullptr);
  CHECK(table.Find("c.example", "/x/1") == nullptr);
}

TEST_CASE("the query isn't part of the path") {
  const std::vector<Route> routes = {RouteOn("a.example", "/x/"),
                                     RouteOn("a.example", "/x/?q=/")};
  const RouteTable table(routes);
  CHECK(table.Find("a.example", "/x/?q=/1") == &routes[0]);
}

TEST_CASE("services are chosen by weight") {
  Route route = RouteOn("a.example", "/");
  route.services = {{ServiceId("nine"), 9}, {ServiceId("one"), 1}};
  CHECK(ChooseService(route, 0.0).text() == "nine");
  CHECK(ChooseService(route, 0.899).text() == "nine");
  CHECK(ChooseService(route, 0.901).text() == "one");
  CHECK(ChooseService(route, 0.999999).text() == "one");
}

}  // namespace
}  // namespace umbertrail::dispatch
