#include <catch2/catch.hpp>

#include "fake_fleet.h"
#include "umbertrail/core/request/screen_home.h"

namespace umbertrail::core {
namespace {

const absl::Time kStart = absl::UnixEpoch();
const InstanceRef kFrom{InstanceId("10.0.0.2:7000"), Incarnation(2)};
const Fingerprint kContent(9);

struct Home {
  FakeFleet fleet;
  Mutations mutations;
  ScreenHome home{InstanceId("10.0.0.1:7000"), &fleet, &mutations};

  Home() {
    fleet.instance_list = {{InstanceId("10.0.0.1:7000"), DataCentreId("a")}};
  }

  ScreenVerdict Ask(const std::string& request) {
    return home
        .OnRequest(
            kStart, kFrom,
            {RequestId(request), AttemptNumber(1), kContent, absl::Seconds(30)})
        .verdict;
  }
  void End(const std::string& request, ScreenEnd end) {
    home.OnEnded(kStart, kFrom,
                 {RequestId(request), AttemptNumber(1), kContent, end, {}});
  }
};

TEST_CASE("open runs and deaths together stay under the limit") {
  Home it;
  CHECK(it.Ask("a") == ScreenVerdict::kRun);
  CHECK(it.Ask("b") == ScreenVerdict::kRun);
  CHECK(it.Ask("c") == ScreenVerdict::kWait);
  it.End("a", ScreenEnd::kDied);
  CHECK(it.Ask("c") == ScreenVerdict::kWait);
  it.End("b", ScreenEnd::kDied);
  CHECK(it.Ask("c") == ScreenVerdict::kQuarantined);
}

TEST_CASE("asking again for an open run takes no second place") {
  Home it;
  CHECK(it.Ask("a") == ScreenVerdict::kRun);
  CHECK(it.Ask("a") == ScreenVerdict::kRun);
  CHECK(it.Ask("b") == ScreenVerdict::kRun);
}

TEST_CASE("content that ran whole is not limited until a target dies") {
  Home it;
  it.Ask("a");
  it.End("a", ScreenEnd::kCompleted);
  for (const char* id : {"b", "c", "d"}) {
    CHECK(it.Ask(id) == ScreenVerdict::kRun);
  }
  it.End("b", ScreenEnd::kDied);
  CHECK(it.Ask("e") == ScreenVerdict::kRun);
  CHECK(it.Ask("f") == ScreenVerdict::kWait);
}

TEST_CASE("an instance that is no home allows one less") {
  Home it;
  it.fleet.instance_list = {{InstanceId("10.0.0.7:7000"), DataCentreId("a")},
                            {InstanceId("10.0.0.8:7000"), DataCentreId("a")}};
  CHECK(it.Ask("a") == ScreenVerdict::kRun);
  CHECK(it.Ask("b") == ScreenVerdict::kWait);
}

TEST_CASE("deaths are told once to homes that came after them") {
  Home it;
  it.Ask("a");
  it.End("a", ScreenEnd::kDied);
  it.fleet.instance_list.push_back({kFrom.id, DataCentreId("a")});
  Actions actions;
  it.home.OnFleetChanged(&actions);
  it.home.OnFleetChanged(&actions);
  REQUIRE(actions.size() == 1);
  const auto& send = std::get<SendPeer>(actions.front());
  CHECK(send.to == kFrom.id);
  const auto& told = std::get<ScreenEnded>(send.payload);
  CHECK(told.end == ScreenEnd::kDied);
  CHECK(told.holder == kFrom);
  // Told back by another home, it is the same death.
  it.home.OnEnded(kStart, {InstanceId("10.0.0.9:7000"), Incarnation(9)}, told);
  CHECK(it.home.DeathsOf(kContent) == 1);
}

TEST_CASE("a gone holder's runs and expired ones are freed") {
  Home it;
  it.Ask("a");
  it.Ask("b");
  it.home.OnHolderGone(kFrom);
  CHECK(it.Ask("c") == ScreenVerdict::kRun);
  const auto later = it.home.OnRequest(
      kStart + absl::Seconds(31), kFrom,
      {RequestId("d"), AttemptNumber(1), kContent, absl::Seconds(1)});
  CHECK(later.verdict == ScreenVerdict::kRun);
}

}  // namespace
}  // namespace umbertrail::core
