#include <catch2/catch.hpp>

#include "owner_fakes.h"

namespace umbertrail::core {
namespace {

TEST_CASE("a warm target grants and settles") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  const AdmitReply reply = bench.Admit("a", 2000);
  CHECK(reply.decision == AdmitDecision::kGranted);
  CHECK(reply.boot == BootId("b1"));
  CHECK(bench.Status().in_flight == Tokens(2000));
  CHECK(bench.Admit("a", 2000).decision == AdmitDecision::kGranted);
  CHECK(bench.Status().in_flight == Tokens(2000));
  bench.Settle("a");
  CHECK(bench.table->Idle());
}

TEST_CASE("a cold target is full at its cold budget") {
  OwnerBench bench;
  bench.Open(TargetState::kCold);
  CHECK(bench.Admit("a", 6000).decision == AdmitDecision::kGranted);
  CHECK(bench.Admit("b", 6000).decision == AdmitDecision::kQueued);
  bench.Settle("a");
  CHECK(bench.Sent<AdmitReady>().size() == 1);
  AdmitRequest claim = bench.Request("b", 6000);
  claim.claim = true;
  CHECK(bench.Admit(claim).decision == AdmitDecision::kGranted);
}

TEST_CASE("a prompt over the cold budget waits until work has warmed it up") {
  OwnerBench bench;
  bench.Open(TargetState::kCold);
  CHECK(bench.Admit("big", 20000).decision == AdmitDecision::kQueued);
  AdmitRequest hasty = bench.Request("hasty", 20000);
  hasty.time_left = absl::Seconds(8);
  CHECK(bench.Admit(hasty).decision == AdmitDecision::kRefused);
  bench.Pass(absl::Seconds(1));
  bench.Report(TargetState::kWarm);
  CHECK(bench.Sent<AdmitReady>().empty());
  for (int i = 0; i < 2; ++i) {
    CHECK(bench.Sent<AdmitReady>().empty());
    const std::string id = "small" + std::to_string(i);
    REQUIRE(bench.Admit(id, 5000).decision == AdmitDecision::kGranted);
    bench.Settle(id);
  }
  CHECK(bench.Sent<AdmitReady>().size() == 1);
}

TEST_CASE("a warm target that refuses a connection is cold at once") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  bench.Admit("a", 50000);
  bench.table->OnUnreachable(bench.now, {TargetId("e1"), true}, &bench.actions);
  CHECK(bench.Admit("b", 1000).reason == Reason::kNoTarget);
  bench.Pass(absl::Seconds(1));
  bench.Report(TargetState::kCold, "b2");
  CHECK(bench.Status().in_flight == Tokens(0));  // it died with the process
  CHECK(bench.Status().budget == Tokens(10001));
}

TEST_CASE(
    "a burst on an idle target over its cold budget reads the boot first") {
  OwnerBench bench;  // bears 10001 tokens when cold
  bench.Open(TargetState::kWarm);
  CHECK_FALSE(bench.Admit("a", 6000).read_boot);
  bench.Alive("a");
  CHECK(bench.Admit("b", 6000).read_boot);
  // Asked again, since the reply may be lost.
  CHECK(bench.Admit("b", 6000).read_boot);
  bench.Alive("b");
  CHECK(bench.Admit("c", 6000).read_boot);
  bench.Alive("c");
  SECTION("until a report of its boot names what runs there") {
    bench.Pass(absl::Seconds(1));
    TargetReport report;
    report.state = TargetState::kWarm;
    report.allocations = {
        {OwnerBench::Peer("r1"), RequestId("a"), Tokens(6000)}};
    bench.Report(report);
    bench.Settle("b");
    bench.Settle("c");
    CHECK_FALSE(bench.Admit("d", 6000).read_boot);
  }
  SECTION("until those whose boot was read have begun on it") {
    bench.Pass(OwnerConfig().grant_window + absl::Milliseconds(1));
    CHECK_FALSE(bench.Admit("d", 6000).read_boot);
  }
  SECTION("again when a report doesn't name them") {
    bench.Pass(absl::Seconds(1));
    bench.Report(TargetState::kWarm);
    CHECK(bench.Admit("d", 6000).read_boot);
  }
}

TEST_CASE("a target whose report is overdue is taken for cold until the next") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  bench.Pass(absl::Milliseconds(1400));
  CHECK(bench.Status().state == TargetState::kWarm);
  bench.Pass(absl::Milliseconds(100));
  CHECK(bench.Status().state == TargetState::kCold);
  CHECK(bench.Status().budget == Tokens(10001));
  bench.Pass(absl::Milliseconds(100));
  bench.Report(TargetState::kWarm);
  CHECK(bench.Status().state == TargetState::kWarm);
}

TEST_CASE("a first token far over its prediction makes a target suspect") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  bench.Admit("a", 1000);
  bench.now += absl::Seconds(10);
  bench.Settle("a", AttemptResult::kDone, absl::Seconds(10));
  CHECK(bench.Status().state == TargetState::kCold);
  bench.Pass(absl::Seconds(1));
  bench.Report(TargetState::kWarm);
  CHECK(bench.Status().state == TargetState::kWarm);
}

TEST_CASE("two claimants at once stay inside the cold budget together") {
  OwnerBench one;
  OwnerBench two;
  Tokens granted;
  for (OwnerBench* bench : {&one, &two}) {
    bench->fleet.claim = OwnerClaim::kHalf;
    bench->Open(TargetState::kCold);
    for (int i = 0; i < 20; ++i) {
      bench->Pass(absl::Milliseconds(200));  // lets the prefill before end
      const AdmitReply reply = bench->Admit("q" + std::to_string(i), 900);
      if (reply.decision == AdmitDecision::kGranted) {
        granted += Tokens(900);
      }
    }
  }
  CHECK(granted <= Tokens(10001));
  CHECK(granted >= Tokens(9000));
}

TEST_CASE("foreign work in a report narrows a new owner's budget") {
  OwnerBench bench;
  bench.Open(TargetState::kCold);
  TargetReport report;
  report.state = TargetState::kCold;
  report.tokens_in_flight = Tokens(6000);
  bench.Pass(absl::Seconds(1));
  bench.Report(report);
  CHECK(bench.Status().budget == Tokens(4001));
  CHECK(bench.Admit("a", 4000).decision == AdmitDecision::kGranted);
  bench.Pass(absl::Milliseconds(500));
  CHECK(bench.Admit("b", 1000).decision == AdmitDecision::kQueued);
}

TEST_CASE("an owner whose claim is lost refuses and hands its ledger over") {
  OwnerBench bench;
  bench.fleet.ranking = {InstanceId("next"), InstanceId("self")};
  bench.Open(TargetState::kCold);
  bench.Admit("a", 6000);
  bench.Admit("b", 6000);
  bench.fleet.claim = OwnerClaim::kNone;
  bench.table->OnFleetChanged(bench.now, &bench.actions);
  REQUIRE(bench.Sent<OwnerHandover>().size() == 1);
  CHECK(bench.Sent<OwnerHandover>()[0].entries.size() == 1);
  REQUIRE(bench.Sent<AdmitReply>().size() == 1);
  CHECK(bench.Sent<AdmitReply>()[0].request == RequestId("b"));
  CHECK(bench.Admit("c", 10).decision == AdmitDecision::kRefused);

  OwnerBench next;
  next.fleet.claim = OwnerClaim::kSettling;
  next.table->OnHandover(next.now, OwnerBench::Peer("self"),
                         bench.Sent<OwnerHandover>()[0]);
  // What "a" holds is more than half of the cold budget.
  CHECK(next.Admit("b", 4000).decision == AdmitDecision::kQueued);
  next.fleet.claim = OwnerClaim::kFull;
  next.Pass(absl::Seconds(1));
  CHECK(next.Sent<AdmitReady>().size() == 1);
  CHECK(next.Admit("d", 4000).decision == AdmitDecision::kQueued);
}

TEST_CASE("what a former owner granted leaves the queue of the next") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  bench.Admit("a", 90000);
  REQUIRE(bench.Admit("b", 40000).decision == AdmitDecision::kQueued);
  OwnerHandover handover;
  handover.target = TargetId("e1");
  handover.boot = BootId("b1");
  handover.entries = {{OwnerBench::Peer("r1"), RequestId("b"), AttemptNumber(1),
                       Tokens(40000)}};
  bench.table->OnHandover(bench.now, OwnerBench::Peer("former"), handover);
  bench.Settle("a");
  bench.Pass(absl::Seconds(1));
  CHECK(bench.Sent<AdmitReady>().empty());
  CHECK(bench.Admit("b", 40000).decision == AdmitDecision::kGranted);
}

TEST_CASE("an owner that slept does not vouch for its ledger") {
  OwnerBench bench;
  bench.fleet.ranking = {InstanceId("next")};
  bench.Open(TargetState::kCold);
  bench.now += absl::Minutes(10);
  bench.fleet.claim = OwnerClaim::kNone;
  bench.table->OnFleetChanged(bench.now, &bench.actions);
  CHECK(bench.Sent<OwnerHandover>().empty());
}

TEST_CASE("a new owner charges attempts that it did not grant") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  AttemptsAlive alive;
  alive.attempts.push_back({RequestId("old"), AttemptNumber(1), TargetId("e1"),
                            Tokens(70000), Tokens(5)});
  bench.table->OnAlive(bench.now, OwnerBench::Peer("r1"), alive);
  CHECK(bench.Status().in_flight == Tokens(70000));
  CHECK(bench.Admit("a", 40000).decision == AdmitDecision::kQueued);
}

TEST_CASE("an unclaimed place goes back to the queue once and is then lost") {
  OwnerBench bench;
  bench.Open(TargetState::kCold);
  bench.Admit("a", 6000);
  bench.Admit("b", 6000);
  bench.Settle("a");
  REQUIRE(bench.Sent<AdmitReady>().size() == 1);
  bench.Pass(absl::Milliseconds(600));
  CHECK(bench.Sent<AdmitReady>().size() == 2);
  bench.Pass(absl::Milliseconds(600));
  REQUIRE(bench.Sent<AdmitReply>().size() == 1);
  CHECK(bench.Sent<AdmitReply>()[0].reason == Reason::kOverloaded);
  CHECK(bench.table->Idle());
}

TEST_CASE("a silent attempt is charged until a report shows it gone") {
  OwnerBench bench;
  bench.Open(TargetState::kCold);
  bench.Admit("a", 6000);
  bench.Pass(absl::Hours(2));
  CHECK(bench.Status().in_flight == Tokens(6000));
  TargetReport report;
  report.state = TargetState::kCold;
  report.allocations.push_back(
      {OwnerBench::Peer("r1"), RequestId("a"), Tokens(6000)});
  bench.Report(report);
  CHECK(bench.Status().in_flight == Tokens(6000));
  bench.Pass(absl::Seconds(5));
  bench.Report(TargetState::kCold);
  CHECK(bench.Status().in_flight == Tokens(0));
}

TEST_CASE("a running attempt stays charged whatever a lagging report says") {
  OwnerBench bench;
  bench.Open(TargetState::kCold);
  bench.Admit("a", 6000);
  for (int i = 0; i < 20; ++i) {
    bench.Pass(absl::Seconds(1));
    bench.Alive("a");
    bench.Report(TargetState::kCold);
  }
  CHECK(bench.Status().in_flight == Tokens(6000));
}

TEST_CASE("bars are checked at every grant and refuse what waits") {
  OwnerBench bench;
  bench.Open(TargetState::kCold);
  bench.Admit("a", 6000);
  bench.Admit("b", 6000);
  bench.fleet.barred = Reason::kNoTarget;
  CHECK(bench.Admit("c", 10).decision == AdmitDecision::kRefused);
  bench.Tick();
  REQUIRE(bench.Sent<AdmitReply>().size() == 1);
  CHECK(bench.Sent<AdmitReply>()[0].request == RequestId("b"));
  bench.Pass(absl::Seconds(1));
  bench.mutations.ignore_closed_data_centre = true;
  CHECK(bench.Admit("c", 10).decision == AdmitDecision::kGranted);
}

TEST_CASE("a target that reports leaving takes nothing new") {
  OwnerBench bench;
  bench.Open(TargetState::kLeaving);
  CHECK(bench.Admit("a", 10).decision == AdmitDecision::kRefused);
  bench.mutations.ignore_leaving_target = true;
  CHECK(bench.Admit("a", 10).decision == AdmitDecision::kGranted);
}

TEST_CASE("an instance that is not fresh grants nothing") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  bench.fleet.fresh = false;
  CHECK(bench.Admit("a", 10).reason == Reason::kNotFresh);
}

TEST_CASE("a call's token serves one request") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  AdmitRequest first = bench.Request("a", 10);
  first.once_token = "t1";
  AdmitRequest other = bench.Request("b", 10);
  other.once_token = "t1";
  CHECK(bench.Admit(first).decision == AdmitDecision::kGranted);
  CHECK(bench.Admit(other).reason == Reason::kTicketUsed);
  bench.Settle("a", AttemptResult::kNotStarted);
  CHECK(bench.Admit(other).decision == AdmitDecision::kGranted);
}

TEST_CASE("two suspects never share a target") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  AdmitRequest first = bench.Request("a", 10);
  first.suspect = true;
  AdmitRequest second = bench.Request("b", 10);
  second.suspect = true;
  CHECK(bench.Admit(first).decision == AdmitDecision::kGranted);
  CHECK(bench.Admit(second).decision == AdmitDecision::kRefused);
  bench.Settle("a");
  CHECK(bench.Admit(second).decision == AdmitDecision::kGranted);
}

TEST_CASE("an infeasible deadline is refused before anything runs") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  AdmitRequest request = bench.Request("a", 90000);
  request.time_left = absl::Seconds(1);
  CHECK(bench.Admit(request).reason == Reason::kDeadlineInfeasible);
}

TEST_CASE("a queued request is refused the moment it can't finish") {
  OwnerBench bench;
  bench.Open(TargetState::kCold);
  bench.Admit("a", 6000);
  AdmitRequest request = bench.Request("b", 6000);
  request.time_left = absl::Seconds(30);
  REQUIRE(bench.Admit(request).decision == AdmitDecision::kQueued);
  absl::Time refused = absl::InfiniteFuture();
  while (bench.Sent<AdmitReply>().empty()) {
    bench.now = bench.table->NextWakeup();
    bench.Tick();
    refused = bench.now;
  }
  CHECK(bench.Sent<AdmitReply>()[0].reason == Reason::kDeadlineInfeasible);
  CHECK(refused < absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(33));
}

TEST_CASE("a long attempt is suspended for a short one, and not for ever") {
  OwnerConfig config;
  config.max_suspensions = 1;
  OwnerBench bench(config);
  bench.fleet.declared.engine_classes[0].memory = Tokens(1000000);
  bench.Open(TargetState::kWarm);
  TargetReport report;
  report.state = TargetState::kWarm;
  bench.table->OnFleetChanged(bench.now, &bench.actions);
  // The bench's engine holds 100 k tokens, so use one that just fits.
  REQUIRE(bench.Admit("long", 100000).decision == AdmitDecision::kGranted);
  bench.Alive("long");
  REQUIRE(bench.Admit("short", 1000).decision == AdmitDecision::kQueued);
  CHECK(bench.Sent<SuspendAttempt>().empty());
  bench.Pass(absl::Seconds(2));
  REQUIRE(bench.Sent<SuspendAttempt>().size() == 1);
  bench.Settle("long", AttemptResult::kSuspended);
  CHECK(bench.Sent<AdmitReady>().size() == 1);
}

TEST_CASE("a stopping owner with nobody to follow it serves on") {
  OwnerBench bench;
  bench.fleet.ranking = {InstanceId("self")};
  bench.Open(TargetState::kWarm);
  bench.table->OnStop(bench.now, &bench.actions);
  CHECK(bench.Admit("a", 100).decision == AdmitDecision::kGranted);
}

TEST_CASE("a stopping owner hands over and refuses what waits") {
  OwnerBench bench;
  bench.fleet.ranking = {InstanceId("self"), InstanceId("next")};
  bench.Open(TargetState::kCold);
  bench.Admit("a", 6000);
  bench.Admit("b", 6000);
  // The fleet ranks a leaving instance behind the others at once.
  bench.fleet.claim = OwnerClaim::kNone;
  bench.table->OnStop(bench.now, &bench.actions);
  CHECK(bench.Sent<OwnerHandover>().size() == 1);
  REQUIRE(bench.Sent<AdmitReply>().size() == 1);
  CHECK(bench.Sent<AdmitReply>()[0].reason == Reason::kStopping);
  CHECK(bench.Admit("c", 10).reason == Reason::kStopping);
}

TEST_CASE("a service runs a bounded number of calls") {
  OwnerBench bench;
  TargetReport report;
  report.boot = BootId("b1");
  for (int i = 0; i < 2; ++i) {
    bench.Pass(absl::Seconds(1));
    bench.table->OnReport(bench.now, TargetId("s1"), report, &bench.actions);
  }
  int granted = 0;
  for (int i = 0; i < 20; ++i) {
    AdmitRequest request = bench.Request("q" + std::to_string(i), 0);
    request.target = TargetId("s1");
    request.kind = RequestKind::kServiceCall;
    const AdmitReply reply = bench.Admit(request);
    granted += reply.decision == AdmitDecision::kGranted ? 1 : 0;
  }
  CHECK(granted == 8);
}

TEST_CASE("an owned target is polled once an interval") {
  OwnerBench bench;
  bench.actions.clear();
  for (int i = 0; i < 1000; ++i) {
    bench.Pass(absl::Milliseconds(10));
  }
  CHECK(bench.Done<PollTarget>().size() == 20);  // two targets for 10 s
}

TEST_CASE("a long prompt waits until the one before has its first token") {
  OwnerConfig config;
  config.grant_silence = absl::Minutes(2);
  OwnerBench bench(config);
  bench.fleet.declared.engine_classes[0].memory = Tokens(1000000);
  bench.Pass(absl::Seconds(1));
  TargetReport report;
  report.boot = BootId("b1");
  report.model = ModelId("m");
  report.memory_total = Tokens(1000000);
  bench.table->OnReport(bench.now, TargetId("e1"), report, &bench.actions);
  REQUIRE(bench.Admit("a", 100000).decision == AdmitDecision::kGranted);
  REQUIRE(bench.Admit("b", 100000).decision == AdmitDecision::kQueued);
  bench.Pass(absl::Seconds(60));  // far past the predicted first token
  CHECK(bench.Sent<AdmitReady>().empty());
  report.allocations = {
      {OwnerBench::Peer("r1"), RequestId("a"), Tokens(100000)}};
  bench.table->OnReport(bench.now, TargetId("e1"), report, &bench.actions);
  CHECK(bench.Sent<AdmitReady>().empty());
  bench.Alive("a");
  bench.Tick();
  CHECK(bench.Sent<AdmitReady>().size() == 1);
}

TEST_CASE("a probe answers what an admission would") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  ProbeRequest probe;
  probe.probe = 7;
  probe.target = TargetId("e1");
  probe.model = ModelId("m");
  probe.prompt = Tokens(4000);
  probe.time_left = absl::Minutes(1);
  const ProbeReply idle = bench.table->OnProbe(bench.now, probe);
  CHECK(idle.can_serve);
  CHECK(idle.probe == 7);
  bench.Admit("a", 7000);
  const ProbeReply busy = bench.table->OnProbe(bench.now, probe);
  CHECK(busy.first_token > idle.first_token);
  probe.model = ModelId("other");
  CHECK_FALSE(bench.table->OnProbe(bench.now, probe).can_serve);
}

}  // namespace
}  // namespace umbertrail::core
