#include "platform/config_codec.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace umbertrail::adapter {
namespace {

using dispatch::Repeat;
using nlohmann::json;

json SampleConfig() {
  return json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "r1", "host": "a.example", "prefix": "/x/",
       "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 300,
       "priority": 1, "max_attempts": 2, "public": false, "sticky": true,
       "resumable": true, "gap_aim_ms": 250,
       "traffic_split": [{"service": "s1", "weight": 90},
                         {"service": "s2", "weight": 10}]},
      {"name": "r2", "host": "a.example", "prefix": "/y/", "kind": "unsafe",
       "timeout_ms": 1000, "service": "s2", "max_attempts": 1}],
    "services": [
      {"name": "s1", "health_path": "/health", "max_conns": 424,
       "cold_start_s": 3.0, "cold_per_s": 36.0,
       "engine": {"slots": 16, "kv_tokens": 405000, "stride": 34,
                  "step_ms": 1.31, "per_seq_ms": 0.001, "context_per_k": 0.002,
                  "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048,
                  "usual": {"prompt": 11301, "answer": 1266}}},
      {"name": "s2", "max_conns": 100}],
    "limits": {"max_header_bytes": 1000, "max_body_bytes": 2000,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "club", "api_keys": ["k1", "k2"], "priority": 1}]
  })");
}

json SampleServer() {
  return json::parse(R"({"service": "s1", "address": "10.128.0.9:8080",
    "zone": "east", "version": "v1", "slots": 16, "state": "ready",
    "cold_remaining_ms": 1500, "stage": "both", "sequence": 4,
    "born": 1792346499649})");
}

TEST_CASE("a configuration is parsed") {
  const auto read = ReadConfig(SampleConfig().dump());
  REQUIRE(IsOk(read));
  const dispatch::FleetConfig& config = ValueOf(read);
  CHECK(config.version == 7);
  REQUIRE(config.routes.size() == 2);
  CHECK(config.routes[0].repeat == Repeat::kResumableStream);
  CHECK(config.routes[0].services.size() == 2);
  CHECK(config.routes[0].gap_aim == absl::Milliseconds(250));
  CHECK(config.routes[1].repeat == Repeat::kNever);
  CHECK(config.routes[1].services.front().service.text() == "s2");
  const auto& service = config.services.at(ServiceId("s1"));
  REQUIRE(service.engine);
  CHECK(service.engine->kv_capacity == Tokens(405000));
  CHECK(service.cold_requests_per_s == 36);
  CHECK_FALSE(config.services.at(ServiceId("s2")).engine);
  CHECK(config.accounts_by_key->at("k2").id.text() == "club");
  CHECK(config.limits.max_body_bytes == 2000);
}

// A configuration whose keys were all taken away admitted every request, as if
// it had no accounts.
TEST_CASE("accounts without a key aren't the absence of accounts") {
  json config = SampleConfig();
  config["tenants"][0]["api_keys"] = json::array();
  const auto no_key = ReadConfig(config.dump());
  REQUIRE(IsOk(no_key));
  REQUIRE(ValueOf(no_key).accounts_by_key);
  CHECK(ValueOf(no_key).accounts_by_key->empty());
  config["tenants"][0].erase("api_keys");
  CHECK(ValueOf(ReadConfig(config.dump())).accounts_by_key);
  config["tenants"] = json::array();
  CHECK(ValueOf(ReadConfig(config.dump())).accounts_by_key);
  config.erase("tenants");
  CHECK_FALSE(ValueOf(ReadConfig(config.dump())).accounts_by_key);
}

TEST_CASE("accounts of another type make a configuration unreadable") {
  for (const json& tenants :
       {json(nullptr), json("club"), json(7), json::object(),
        json{{"club", {{"name", "club"}}}}, json{nullptr}, json{"club"},
        json{{{"name", 1}}}, json{{{"name", "club"}, {"api_keys", "k1"}}},
        json{{{"name", "club"}, {"api_keys", {1}}}},
        json{{{"name", "club"}, {"api_keys", nullptr}}}}) {
    json config = SampleConfig();
    config["tenants"] = tenants;
    CAPTURE(config["tenants"].dump());
    CHECK_FALSE(IsOk(ReadConfig(config.dump())));
  }
}

TEST_CASE("a route of an unknown kind is never retried") {
  json config = SampleConfig();
  config["routes"][0]["kind"] = "something";
  const auto read = ReadConfig(config.dump());
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read).routes[0].repeat == Repeat::kNever);
}

TEST_CASE("an invalid configuration is an error") {
  CHECK_FALSE(IsOk(ReadConfig("")));
  CHECK_FALSE(IsOk(ReadConfig("[]")));
  json config = SampleConfig();
  config.erase("version");
  CHECK_FALSE(IsOk(ReadConfig(config.dump())));
}

TEST_CASE("a target entry is parsed") {
  const auto read = ReadServer("i-1", SampleServer().dump());
  REQUIRE(IsOk(read));
  const dispatch::TargetEntry& entry = ValueOf(read);
  CHECK(entry.id.text() == "i-1");
  CHECK(entry.data_centre.text() == "east");
  CHECK(entry.cold_remaining == absl::Milliseconds(1500));
  CHECK_FALSE(entry.draining);
  CHECK(entry.born_ms == 1792346499649);
}

TEST_CASE("an entry with a missing or invalid field is an error") {
  for (const char* field :
       {"service", "address", "zone", "slots", "state", "cold_remaining_ms"}) {
    CAPTURE(field);
    json missing = SampleServer();
    missing.erase(field);
    CHECK_FALSE(IsOk(ReadServer("i-1", missing.dump())));
    json invalid = SampleServer();
    invalid[field] = json::object();
    CHECK_FALSE(IsOk(ReadServer("i-1", invalid.dump())));
  }
  json state = SampleServer();
  state["state"] = "resting";
  CHECK_FALSE(IsOk(ReadServer("i-1", state.dump())));
  json address = SampleServer();
  address["address"] = "somewhere:80";
  CHECK_FALSE(IsOk(ReadServer("i-1", address.dump())));
  json born = SampleServer();
  born["born"] = "yesterday";
  CHECK_FALSE(IsOk(ReadServer("i-1", born.dump())));
  CHECK_FALSE(IsOk(ReadServer("i-1", "\xff\xfe")));
}

TEST_CASE("arbitrary bytes do not break the parsers") {
  CHECK(rc::check([] {
    std::string config = SampleConfig().dump();
    std::string server = SampleServer().dump();
    for (std::string* text : {&config, &server}) {
      const int changes = *rc::gen::inRange(1, 6);
      for (int i = 0; i < changes; ++i) {
        (*text)[*rc::gen::inRange<size_t>(0, text->size())] =
            *rc::gen::arbitrary<char>();
      }
    }
    (void)ReadConfig(config);
    const auto entry = ReadServer("i-1", server);
    const bool valid = !IsOk(entry) || ValueOf(entry).slots >= 1;
    RC_ASSERT(valid);
  }));
}

}  // namespace
}  // namespace umbertrail::adapter
