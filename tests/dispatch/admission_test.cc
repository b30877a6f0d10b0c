#include "umbertrail/dispatch/admission.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
// No later configuration is known to be held elsewhere.
const ConfigTrust kTrusted(/*all=*/true);

FleetConfig ConfigWithKey(uint64_t version, const std::string& key) {
  FleetConfig config;
  config.version = version;
  Route route;
  route.host = "a.example";
  route.prefix = "/x/";
  route.services = {{ServiceId("s"), 1}};
  config.routes.push_back(route);
  route.prefix = "/open/";
  route.is_public = true;
  config.routes.push_back(route);
  config.accounts_by_key.emplace()[key] = {ClientAccountId("club"), 1};
  return config;
}

FleetView ViewAt(absl::Time confirmed) {
  FleetView view;
  view.Apply({1, ConfigChange{ConfigWithKey(1, "k1")}}, confirmed);
  view.RecordConfirmation(confirmed);
  return view;
}

Refusal RefusalOf(const std::variant<Admitted, Refusal>& result) {
  REQUIRE(std::holds_alternative<Refusal>(result));
  return std::get<Refusal>(result);
}

TEST_CASE("requests are refused with 503 before a configuration is loaded") {
  const FleetView view;
  const auto result =
      Admit(view, kTrusted, {"a.example", "/x/1", "k1"}, {}, kStart);
  CHECK(RefusalOf(result) == Refusal::kNoConfig);
  CHECK(StatusOf(Refusal::kNoConfig, false) == 503);
}

TEST_CASE("a known key admits the request for its account") {
  const FleetView view = ViewAt(kStart);
  const auto result =
      Admit(view, kTrusted, {"a.example", "/x/1", "k1"}, {}, kStart);
  REQUIRE(std::holds_alternative<Admitted>(result));
  CHECK(std::get<Admitted>(result).account->id.text() == "club");
}

TEST_CASE("unknown keys and routes are denied while the view is confirmed") {
  const FleetView view = ViewAt(kStart);
  CHECK(RefusalOf(Admit(view, kTrusted, {"a.example", "/x/1", "k9"}, {},
                        kStart)) == Refusal::kBadKey);
  CHECK(RefusalOf(Admit(view, kTrusted, {"a.example", "/x/1", std::nullopt}, {},
                        kStart)) == Refusal::kBadKey);
  CHECK(RefusalOf(Admit(view, kTrusted, {"a.example", "/y/1", "k1"}, {},
                        kStart)) == Refusal::kNoRoute);
}

// With the last key gone every request was admitted, without an account.
TEST_CASE("accounts without a key admit nobody, but to a public route") {
  FleetConfig config = ConfigWithKey(2, "k1");
  config.accounts_by_key->clear();
  FleetView view = ViewAt(kStart);
  view.Apply({2, ConfigChange{config}}, kStart);
  for (const auto& key :
       {std::optional<std::string>("k1"), std::optional<std::string>("never"),
        std::optional<std::string>()}) {
    CHECK(RefusalOf(Admit(view, kTrusted, {"a.example", "/x/1", key}, {},
                          kStart)) == Refusal::kBadKey);
  }
  CHECK(std::holds_alternative<Admitted>(Admit(
      view, kTrusted, {"a.example", "/open/1", std::nullopt}, {}, kStart)));
}

TEST_CASE("a configuration without accounts requires no key") {
  FleetConfig config = ConfigWithKey(2, "k1");
  config.accounts_by_key.reset();
  FleetView view;
  view.Apply({2, ConfigChange{config}}, kStart);
  view.RecordConfirmation(kStart);
  const auto result =
      Admit(view, kTrusted, {"a.example", "/x/1", std::nullopt}, {}, kStart);
  REQUIRE(std::holds_alternative<Admitted>(result));
  CHECK(std::get<Admitted>(result).account == nullptr);
}

TEST_CASE("a stale view doesn't deny unknown keys or routes") {
  const FleetView view = ViewAt(kStart);
  const AdmissionBounds bounds;
  const absl::Time late =
      kStart + bounds.max_denial_age + absl::Milliseconds(1);
  CHECK(RefusalOf(Admit(view, kTrusted, {"a.example", "/y/1", "k1"}, bounds,
                        late)) == Refusal::kConfigUnconfirmed);
  CHECK(RefusalOf(Admit(view, kTrusted, {"a.example", "/x/1", "k9"}, bounds,
                        late)) == Refusal::kConfigUnconfirmed);
}

TEST_CASE("keys are accepted until the revocation bound is exceeded") {
  const FleetView view = ViewAt(kStart);
  const AdmissionBounds bounds;
  CHECK(std::holds_alternative<Admitted>(
      Admit(view, kTrusted, {"a.example", "/x/1", "k1"}, bounds,
            kStart + bounds.max_revocation_delay)));
  const absl::Time late =
      kStart + bounds.max_revocation_delay + absl::Milliseconds(1);
  CHECK(RefusalOf(Admit(view, kTrusted, {"a.example", "/x/1", "k1"}, bounds,
                        late)) == Refusal::kKeysUnconfirmed);
  CHECK(std::holds_alternative<Admitted>(Admit(
      view, kTrusted, {"a.example", "/open/1", std::nullopt}, bounds, late)));
  AdmissionBounds loose;
  loose.strict_revocation = false;
  CHECK(std::holds_alternative<Admitted>(
      Admit(view, kTrusted, {"a.example", "/x/1", "k1"}, loose, late)));
}

TEST_CASE("nothing is admitted or denied before others were asked") {
  const FleetView view = ViewAt(kStart);
  const ConfigTrust none(/*all=*/false);
  for (const char* path : {"/x/1", "/open/1", "/y/1"}) {
    for (const char* key : {"k1", "k9"}) {
      CHECK(RefusalOf(Admit(view, none, {"a.example", path, key}, {},
                            kStart)) == Refusal::kConfigUnsettled);
    }
  }
  CHECK(StatusOf(Refusal::kConfigUnsettled, false) == 503);
  AdmissionBounds loose;
  loose.strict_revocation = false;
  CHECK(std::holds_alternative<Admitted>(
      Admit(view, none, {"a.example", "/x/1", "k1"}, loose, kStart)));
}

// Another instance holds a later configuration than the store. What both have
// is served; what only one has is neither served nor denied.
TEST_CASE("routes and keys that a later configuration lacks are refused") {
  const FleetView view = ViewAt(kStart);
  const FleetConfig& config = view.config();
  const ConfigEntry key = EntryOf("k1", config.accounts_by_key->at("k1"));
  const ConfigEntry route = EntryOf(config.routes[0]);
  const ConfigEntry open_route = EntryOf(config.routes[1]);
  const auto ask = [&](const ConfigTrust::Entries& confirmed, const char* path,
                       const char* key_sent) {
    return Admit(view, ConfigTrust(confirmed), {"a.example", path, key_sent},
                 {}, kStart);
  };
  CHECK(std::holds_alternative<Admitted>(ask({route, key}, "/x/1", "k1")));
  CHECK(std::holds_alternative<Admitted>(ask({open_route}, "/open/1", "k9")));
  CHECK(RefusalOf(ask({route}, "/x/1", "k1")) == Refusal::kConfigBehind);
  CHECK(RefusalOf(ask({key}, "/x/1", "k1")) == Refusal::kConfigBehind);
  CHECK(RefusalOf(ask({key}, "/open/1", "k1")) == Refusal::kConfigBehind);
  // The later one may have added them.
  CHECK(RefusalOf(ask({route, key}, "/x/1", "k9")) == Refusal::kConfigBehind);
  CHECK(RefusalOf(ask({route, key}, "/y/1", "k1")) == Refusal::kConfigBehind);
  CHECK(StatusOf(Refusal::kConfigBehind, false) == 503);
}

// The instance went on with the keys of the configuration before, confirmed by
// every read, though the new one may have taken them away.
TEST_CASE("keys aren't confirmed by a configuration that can't be read") {
  FleetView view = ViewAt(kStart);
  view.Apply({2, ConfigUnreadable{}}, kStart);
  const AdmissionBounds bounds;
  const absl::Time late =
      kStart + bounds.max_revocation_delay + absl::Milliseconds(1);
  view.RecordConfirmation(late);
  CHECK(RefusalOf(Admit(view, kTrusted, {"a.example", "/x/1", "k1"}, bounds,
                        late)) == Refusal::kKeysUnconfirmed);
  CHECK(RefusalOf(Admit(view, kTrusted, {"a.example", "/y/1", "k1"}, bounds,
                        late)) == Refusal::kConfigUnconfirmed);
  CHECK(std::holds_alternative<Admitted>(Admit(
      view, kTrusted, {"a.example", "/open/1", std::nullopt}, bounds, late)));
  view.Apply({3, ConfigChange{ConfigWithKey(2, "k2")}}, late);
  CHECK(std::holds_alternative<Admitted>(
      Admit(view, kTrusted, {"a.example", "/x/1", "k2"}, bounds, late)));
}

TEST_CASE("statuses of possibly executed requests don't promise otherwise") {
  for (const Refusal refusal :
       {Refusal::kNoConfig, Refusal::kKeysUnconfirmed,
        Refusal::kConfigUnconfirmed, Refusal::kNoTarget, Refusal::kOverloaded,
        Refusal::kTimeUsedUp, Refusal::kPoison, Refusal::kTargetFailed,
        Refusal::kTargetBusy}) {
    const int status = StatusOf(refusal, /*may_have_run=*/true);
    CHECK(status != 408);
    CHECK(status != 421);
    CHECK(status != 429);
    CHECK(status != 503);
  }
}

}  // namespace
}  // namespace umbertrail::dispatch
