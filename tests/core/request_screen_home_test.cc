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

TEST_CASE("a run whose end was never told counts as a death") {
  Home it;
  it.Ask("a");
  SECTION("when its holder is gone") {
    it.home.OnHolderGone(kFrom);
    CHECK(it.home.DeathsOf(kContent) == 1);
  }
  SECTION("when its time is over") {
    const auto later = it.home.OnRequest(
        kStart + absl::Seconds(31), kFrom,
        {RequestId("b"), AttemptNumber(1), kContent, absl::Seconds(1)});
    CHECK(later.verdict == ScreenVerdict::kRun);
    CHECK(later.deaths == 1);
  }
  SECTION("until its holder tells that no target died") {
    it.home.OnHolderGone(kFrom);
    it.End("a", ScreenEnd::kReleased);
    CHECK(it.home.DeathsOf(kContent) == 0);
  }
  SECTION("and content that then runs whole is cleared") {
    it.home.OnHolderGone(kFrom);
    it.Ask("b");
    it.End("b", ScreenEnd::kCompleted);
    CHECK(it.home.DeathsOf(kContent) == 0);
  }
}

TEST_CASE("what another home says of deaths is remembered") {
  Home it;
  ScreenReply heard;
  heard.fingerprint = kContent;
  heard.deaths = 2;
  it.home.OnHeard(kStart, heard);
  CHECK(it.home.DeathsOf(kContent) == 2);
  CHECK(it.Ask("a") == ScreenVerdict::kQuarantined);
}

TEST_CASE("deaths heard of and seen are not added up") {
  Home it;
  it.Ask("a");
  it.End("a", ScreenEnd::kDied);
  ScreenReply heard;
  heard.fingerprint = kContent;
  heard.deaths = 1;
  it.home.OnHeard(kStart, heard);
  CHECK(it.home.DeathsOf(kContent) == 1);
  it.Ask("b");
  it.End("b", ScreenEnd::kCompleted);
  CHECK(it.home.DeathsOf(kContent) == 0);
}

TEST_CASE("deaths are told to instances that only their messages show") {
  Home it;  // its list names itself alone
  it.Ask("a");
  it.End("a", ScreenEnd::kDied);
  Actions actions;
  it.home.OnTick(kStart, &actions);
  const absl::Time later = kStart + ScreenHome::kRetell;
  it.fleet.heard = {{InstanceId("10.0.0.8:7000"), DataCentreId("a")}};
  it.home.OnTick(later, &actions);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<SendPeer>(actions.front()).to == InstanceId("10.0.0.8:7000"));
}

TEST_CASE("deaths are told again and again, since a message may be lost") {
  Home it;
  it.Ask("a");
  it.End("a", ScreenEnd::kDied);
  it.fleet.instance_list.push_back({kFrom.id, DataCentreId("a")});
  Actions actions;
  it.home.OnFleetChanged(&actions);
  it.home.OnTick(kStart, &actions);
  const std::size_t before = actions.size();
  it.home.OnTick(kStart + ScreenHome::kRetell / 2, &actions);
  CHECK(actions.size() == before);
  it.home.OnTick(kStart + ScreenHome::kRetell, &actions);
  REQUIRE(actions.size() == before + 1);
  const auto& again = std::get<SendPeer>(actions.back());
  CHECK(std::get<ScreenEnded>(again.payload).end == ScreenEnd::kDied);
}

}  // namespace
}  // namespace umbertrail::core
