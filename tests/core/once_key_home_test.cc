#include <catch2/catch.hpp>

#include "fake_fleet.h"
#include "umbertrail/core/once/key_home.h"

namespace umbertrail::core {
namespace {

const absl::Time kStart = absl::UnixEpoch();
const InstanceRef kAsker{InstanceId("10.0.0.2:7000"), Incarnation(2)};
const InstanceRef kOther{InstanceId("10.0.0.3:7000"), Incarnation(3)};

struct Home {
  FakeFleet fleet;
  Mutations mutations;
  InstanceRef self{InstanceId("10.0.0.1:7000"), Incarnation(5)};
  KeyHome home{self, &fleet, &mutations};

  Home() {
    fleet.instance_list = {{self.id, DataCentreId("a"), false},
                           {kAsker.id, DataCentreId("a"), false},
                           {kOther.id, DataCentreId("a"), false}};
    home.OnTick(kStart);
  }
  KeyGrantDecision Ask(absl::Duration after, const InstanceRef& from) {
    return home.OnRequest(kStart + after, from, {RequestId("r"), "key"})
        .decision;
  }
};

TEST_CASE("a home agrees to a key once") {
  Home it;
  const absl::Duration old = KeyHome::kSettle;
  CHECK(it.Ask(old, kAsker) == KeyGrantDecision::kAgreed);
  CHECK(it.Ask(old, kAsker) == KeyGrantDecision::kAgreed);
  CHECK(it.Ask(old, kOther) == KeyGrantDecision::kSeenBefore);
}

TEST_CASE("a young home agrees to nothing") {
  Home it;
  CHECK(it.Ask(KeyHome::kSettle - absl::Seconds(1), kAsker) ==
        KeyGrantDecision::kTooYoung);
}

TEST_CASE("a home that left the list is young again when it is back") {
  Home it;
  const auto list = it.fleet.instance_list;
  it.fleet.instance_list.erase(it.fleet.instance_list.begin());
  it.home.OnTick(kStart + KeyHome::kSettle);
  it.fleet.instance_list = list;
  it.home.OnTick(kStart + KeyHome::kSettle);
  CHECK(it.Ask(KeyHome::kSettle, kAsker) == KeyGrantDecision::kTooYoung);
}

TEST_CASE("a key whose run sent nothing is free again, for its holder only") {
  Home it;
  const absl::Duration old = KeyHome::kSettle;
  it.Ask(old, kAsker);
  Outcome not_run;
  it.home.OnEnded(kOther, {RequestId("r"), "key", not_run});
  CHECK(it.Ask(old, kOther) == KeyGrantDecision::kSeenBefore);
  it.home.OnEnded(kAsker, {RequestId("r"), "key", not_run});
  CHECK(it.Ask(old, kOther) == KeyGrantDecision::kAgreed);
}

TEST_CASE("a resend learns the first run's outcome") {
  Home it;
  const absl::Duration old = KeyHome::kSettle;
  it.Ask(old, kAsker);
  Outcome ran;
  ran.ran = Ran::kYes;
  it.home.OnEnded(kAsker, {RequestId("r"), "key", ran});
  const KeyGrantReply reply =
      it.home.OnRequest(kStart + old, kAsker, {RequestId("r"), "key"});
  CHECK(reply.decision == KeyGrantDecision::kSeenBefore);
  CHECK(reply.finished);
  CHECK(reply.outcome.ran == Ran::kYes);
}

}  // namespace
}  // namespace umbertrail::core
