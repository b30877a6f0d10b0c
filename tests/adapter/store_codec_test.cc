#include "platform/store_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"

namespace umbertrail::adapter {
namespace {

using nlohmann::json;

json Item(const std::string& key, const std::string& value, int revision) {
  return {{"key", key},
          {"value", absl::Base64Escape(value)},
          {"revision", revision},
          {"created_rev", revision},
          {"lease", 0}};
}

const char kServer[] = R"({"service":"s","address":"10.0.0.9:80","zone":"east",
  "version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,
  "sequence":4})";

TEST_CASE("a page of items becomes changes") {
  const json page = {
      {"items",
       {Item("servers/i-1", kServer, 5), Item("op/evacuate/east", "{}", 6),
        Item("other/thing", "x", 7)}},
      {"more_pages", true},
      {"store_revision", 9}};
  const auto read = ReadPage(page.dump());
  REQUIRE(IsOk(read));
  const StoreResponse& answer = ValueOf(read);
  CHECK(answer.revision == 9);
  CHECK(answer.next_after == "other/thing");
  REQUIRE(answer.changes.size() == 2);
  CHECK(answer.changes[0].revision == 5);
  CHECK(std::get<dispatch::TargetChange>(answer.changes[0].change)
            .entry.id.text() == "i-1");
  CHECK(std::get<dispatch::DataCentreClosed>(answer.changes[1].change)
            .data_centre.text() == "east");
}

TEST_CASE("the last page has no next one") {
  const json page = {{"items", {Item("servers/i-1", kServer, 5)}},
                     {"more_pages", false},
                     {"store_revision", 9}};
  CHECK(ValueOf(ReadPage(page.dump())).next_after.empty());
}

TEST_CASE("deletions are parsed from events") {
  const json events = {
      {"events",
       {{{"key", "servers/i-1"}, {"revision", 11}, {"deleted", true}},
        {{"key", "op/evacuate/east"}, {"revision", 12}, {"deleted", true}}}},
      {"store_revision", 12}};
  const auto read = ReadEvents(events.dump());
  REQUIRE(IsOk(read));
  REQUIRE(ValueOf(read).changes.size() == 2);
  CHECK(std::holds_alternative<dispatch::TargetGone>(
      ValueOf(read).changes[0].change));
  CHECK(std::holds_alternative<dispatch::DataCentreReopened>(
      ValueOf(read).changes[1].change));
}

TEST_CASE("an invalid entry is reported and removes its target") {
  const json page = {
      {"items",
       {Item("servers/bad", "{}", 5), Item("servers/good", kServer, 6),
        Item("op/config", "nonsense", 7)}},
      {"more_pages", false},
      {"store_revision", 9}};
  const auto read = ReadPage(page.dump());
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read).faults.size() == 2);
  REQUIRE(ValueOf(read).changes.size() == 3);
  CHECK(std::holds_alternative<dispatch::ConfigUnreadable>(
      ValueOf(read).changes[2].change));
  CHECK(std::holds_alternative<dispatch::TargetGone>(
      ValueOf(read).changes[0].change));
  CHECK(std::holds_alternative<dispatch::TargetChange>(
      ValueOf(read).changes[1].change));
}

TEST_CASE("an invalid item does not affect the others") {
  const json page = {
      {"items", {Item("servers/good", kServer, 6), 7, {{"key", 3}}}},
      {"more_pages", false},
      {"store_revision", 9}};
  const auto read = ReadPage(page.dump());
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read).changes.size() == 1);
  CHECK(ValueOf(read).faults.size() == 2);
}

TEST_CASE("a response without a revision is an error") {
  CHECK_FALSE(IsOk(ReadPage(R"({"items":[]})")));
  CHECK_FALSE(IsOk(ReadEvents("<html>")));
}

TEST_CASE("request paths have an escaped query") {
  CHECK(RangePath("") == "/kv-range?prefix=");
  CHECK(RangePath("servers/i-1") == "/kv-range?prefix=&after=servers%2fi-1");
  CHECK(WatchPath(411, absl::Milliseconds(1500)) ==
        "/kv-watch?prefix=&after=411&wait_ms=1500");
}

TEST_CASE("the store's era is parsed from a header") {
  net::ResponseHead head;
  CHECK(ReadEra(head) == 0);
  head.headers.Add("Store-Era", "7");
  CHECK(ReadEra(head) == 7);
  net::ResponseHead invalid;
  invalid.headers.Add("Store-Era", "-1");
  CHECK(ReadEra(invalid) == 0);
}

}  // namespace
}  // namespace umbertrail::adapter
