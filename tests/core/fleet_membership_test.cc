#include <catch2/catch.hpp>

#include "fleet_support.h"

namespace umbertrail::core {
namespace {

struct Known {
  Known() { membership.OnInstanceList(kStart, MakeInstances(1, 3)); }

  void Targets(uint64_t version, bool leaving) {
    TargetListRead list = MakeTargets(version, 2);
    list.targets[0].leaving = leaving;
    membership.OnTargetList(kStart, list);
  }
  void Report(const std::string& boot, TargetState state) {
    TargetReport report;
    report.boot = BootId(boot);
    report.state = state;
    membership.OnReport(target, report);
  }
  void Instances(uint64_t version, bool leaving) {
    InstanceListRead list = MakeInstances(version, 3);
    list.instances[1].leaving = leaving;
    membership.OnInstanceList(kStart, list);
  }
  Membership::Hearing Hear(uint64_t incarnation,
                           bool leaving,
                           bool answered = false) {
    return membership.OnHeard(kStart, {peer, Incarnation(incarnation)}, leaving,
                              answered);
  }

  Membership membership{FleetConfig(), MakeInstance(0).id};
  InstanceId peer = MakeInstance(1).id;
  TargetId target = MakeTarget(0).id;
};

TEST_CASE("a leaving target stays so for its boot, whoever said it first") {
  Known known;
  known.Targets(1, false);
  known.Report("a", TargetState::kWarm);
  SECTION("its report says so, a later list doesn't") {
    known.Report("a", TargetState::kLeaving);
    known.Targets(2, false);
    known.Report("a", TargetState::kWarm);
  }
  SECTION("the list says so, a later one and its reports don't") {
    known.Targets(2, true);
    known.Report("a", TargetState::kWarm);
    known.Targets(3, false);
  }
  SECTION("a list that goes back is ignored") {
    known.Targets(5, true);
    known.Targets(4, false);
  }
  SECTION("it drops out of the list and comes back") {
    known.Report("a", TargetState::kLeaving);
    known.membership.OnTargetList(kStart, {6, {}});
    known.Targets(7, false);
  }
  CHECK(known.membership.TargetLeaving(known.target));
}

TEST_CASE("a new boot of a target starts without its marks") {
  Known known;
  known.Targets(1, false);
  known.Report("a", TargetState::kLeaving);
  known.Report("b", TargetState::kWarm);
  CHECK_FALSE(known.membership.TargetLeaving(known.target));
  known.Report("a", TargetState::kLeaving);  // late
  CHECK_FALSE(known.membership.TargetLeaving(known.target));
}

TEST_CASE("a leaving instance stays so for its incarnation") {
  Known known;
  SECTION("it said so itself") {
    known.Hear(1, true);
    known.Hear(1, false);
    known.Instances(2, false);
  }
  SECTION("the list said so") {
    known.Hear(1, false);
    known.Instances(2, true);
    known.Instances(3, false);
    known.Hear(1, false);
  }
  CHECK(known.membership.InstanceLeaving(known.peer));
  known.Hear(2, false, true);
  CHECK_FALSE(known.membership.InstanceLeaving(known.peer));
}

TEST_CASE("another incarnation counts once it has answered") {
  Known known;
  known.Hear(1, false);
  const Membership::Hearing late = known.Hear(2, false);
  CHECK(late.unconfirmed);
  CHECK_FALSE(late.former.has_value());
  const Membership::Hearing answer = known.Hear(2, false, true);
  REQUIRE(answer.former.has_value());
  CHECK(answer.former->incarnation == Incarnation(1));
  CHECK(known.membership.IncarnationOf(known.peer)->incarnation ==
        Incarnation(2));
}

TEST_CASE("a peer seen dead counts as dead until it is heard") {
  Known known;
  CHECK(known.membership.OnDead(kStart, known.peer));
  CHECK_FALSE(known.membership.OnDead(kStart, known.peer));
  const absl::Time later = kStart + absl::Minutes(1);
  CHECK(known.membership.TakeRechecks(later, 2).size() == 1);
  CHECK(known.membership.TakeRechecks(later, 2).empty());
  CHECK(known.membership.InstanceDead(known.peer));
  CHECK(known.Hear(1, false).changed);
  CHECK_FALSE(known.membership.InstanceDead(known.peer));
  CHECK_FALSE(known.membership.OnDead(kStart, MakeInstance(0).id));
}

}  // namespace
}  // namespace umbertrail::core
