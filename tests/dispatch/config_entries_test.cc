#include "umbertrail/dispatch/config_entries.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

namespace umbertrail::dispatch {
namespace {

Route SampleRoute() {
  Route route;
  route.host = "a.example";
  route.prefix = "/x/";
  route.repeat = Repeat::kSafe;
  route.services = {{ServiceId("s"), 1}};
  return route;
}

TEST_CASE("a route's entry covers where its requests run and who may send") {
  const ConfigEntry entry = EntryOf(SampleRoute());
  const std::function<void(Route&)> changes[] = {
      [](Route& route) { route.host = "b.example"; },
      [](Route& route) { route.prefix = "/y/"; },
      [](Route& route) { route.repeat = Repeat::kNever; },
      [](Route& route) { route.is_public = true; },
      [](Route& route) { route.services.front().service = ServiceId("t"); },
      [](Route& route) {
        route.services.push_back({ServiceId("t"), 0.5});
      }};
  for (const auto& change : changes) {
    Route changed = SampleRoute();
    change(changed);
    CHECK(EntryOf(changed) != entry);
  }
  Route slower = SampleRoute();
  slower.timeout = absl::Seconds(9);
  slower.services.push_back({ServiceId("unused"), 0});
  CHECK(EntryOf(slower) == entry);
}

TEST_CASE("a key's entry names its account") {
  const Account club{ClientAccountId("club"), 1};
  const Account mill{ClientAccountId("mill"), 1};
  CHECK(EntryOf("k1", club) == EntryOf("k1", club));
  CHECK(EntryOf("k1", club) != EntryOf("k1", mill));
  CHECK(EntryOf("k1", club) != EntryOf("k2", club));
}

TEST_CASE("the entries of a configuration are its routes and keys, sorted") {
  FleetConfig config;
  config.routes = {SampleRoute(), SampleRoute()};
  config.accounts_by_key.emplace()["k1"] = {ClientAccountId("club"), 1};
  (*config.accounts_by_key)["k2"] = {ClientAccountId("club"), 1};
  const std::vector<ConfigEntry> entries = EntriesOf(config);
  CHECK(entries.size() == 3);
  CHECK(std::is_sorted(entries.begin(), entries.end()));
  const Account& account = config.accounts_by_key->at("k2");
  CHECK(std::binary_search(entries.begin(), entries.end(),
                           EntryOf("k2", account)));
}

}  // namespace
}  // namespace umbertrail::dispatch
