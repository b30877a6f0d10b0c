#include <catch2/catch.hpp>

#include "request_support.h"

namespace umbertrail::core {
namespace {

TEST_CASE("a prompt goes to the target that answers soonest and ends whole") {
  Flow it;
  it.Arrive(it.Completion("r"));
  const StartAttempt start = it.RunToStart();
  CHECK(start.target == kFirst);
  it.Chunk(start, 0, 4);
  it.Chunk(start, 4, 6);
  it.flow.OnAttemptDone(it.now, {start.spec.id, start.attempt, Tokens(10), {}},
                        &it.actions);
  const auto* finish = it.Last<FinishRequest>();
  REQUIRE(finish != nullptr);
  CHECK(finish->outcome.reason == Reason::kOk);
  CHECK(finish->outcome.total == Tokens(10));
  CHECK(it.flow.Idle());
}

TEST_CASE("an answer that ends short of its total is not whole") {
  Flow it;
  it.Arrive(it.Completion("r"));
  const StartAttempt start = it.RunToStart();
  it.Chunk(start, 0, 4);
  it.flow.OnAttemptDone(it.now, {start.spec.id, start.attempt, Tokens(10), {}},
                        &it.actions);
  CHECK(it.Last<FinishRequest>() == nullptr);
  CHECK_FALSE(it.flow.Idle());
}

TEST_CASE("a broken stream goes on at its offset on another target") {
  Flow it;
  it.Arrive(it.Completion("r"));
  const StartAttempt first = it.RunToStart();
  it.Chunk(first, 0, 4);
  it.Fail(first, AttemptFailure::kBroken);
  it.flow.OnTargetUnreachable(it.now, {kFirst, true}, &it.actions);
  const StartAttempt second = it.RunToStart();
  CHECK(second.target == kSecond);
  CHECK(second.resume_offset == Tokens(4));
  SECTION("parts of the first attempt are dropped") {
    it.Chunk(first, 4, 6);
    CHECK(it.Last<RelayChunk>() == nullptr);
  }
}

TEST_CASE("a grant that answers too late is given back unused") {
  Flow it;
  it.Arrive(it.Completion("r"));
  it.AnswerProbes();
  const AdmitRequest ask = it.TakeAsk();
  it.now += FlowConfig().grant_window + absl::Milliseconds(1);
  it.Reply(ask, AdmitDecision::kGranted);
  const Actions actions = it.Take();
  bool given_back = false;
  for (const Action& action : actions) {
    CHECK_FALSE(std::holds_alternative<StartAttempt>(action));
    const auto* send = std::get_if<SendPeer>(&action);
    if (send && std::holds_alternative<AttemptSettled>(send->payload)) {
      const auto& settled = std::get<AttemptSettled>(send->payload);
      given_back |= settled.result == AttemptResult::kNotStarted;
    }
  }
  CHECK(given_back);
}

TEST_CASE("nothing starts on a barred target or while nothing is confirmed") {
  Flow it;
  it.Arrive(it.Completion("r"));
  it.AnswerProbes();
  const AdmitRequest ask = it.TakeAsk();
  const bool barred = GENERATE(true, false);
  if (barred) {
    it.fleet.barred = {kFirst};
  } else {
    it.fleet.may_dispatch = false;
  }
  it.Reply(ask, AdmitDecision::kGranted);
  CHECK(it.Last<StartAttempt>() == nullptr);
}

TEST_CASE(
    "work over a cold budget goes out only to the boot that was granted") {
  Flow it;
  RequestSpec spec = it.Completion("r");
  spec.prompt = Tokens(100000);
  it.Arrive(spec, absl::Minutes(1));
  it.AnswerProbes();
  it.Reply(it.TakeAsk(), AdmitDecision::kGranted);
  REQUIRE(it.Last<PollTarget>() != nullptr);
  TargetReport report;
  SECTION("the same boot: it starts") {
    report.boot = BootId("boot");
    it.flow.OnTargetReport(it.now, kFirst, report, &it.actions);
    CHECK(it.Last<StartAttempt>() != nullptr);
  }
  SECTION("another boot: it doesn't") {
    report.boot = BootId("restarted");
    it.flow.OnTargetReport(it.now, kFirst, report, &it.actions);
    CHECK(it.Last<StartAttempt>() == nullptr);
  }
  SECTION("no answer within the window: it doesn't") {
    it.now += FlowConfig().grant_window + absl::Milliseconds(1);
    it.flow.OnTick(it.now, &it.actions);
    CHECK(it.Last<StartAttempt>() == nullptr);
  }
}

TEST_CASE("an owner in doubt has the boot read before anything is sent") {
  Flow it;
  it.Arrive(it.Completion("r"));
  it.AnswerProbes();
  const AdmitRequest ask = it.TakeAsk();
  AdmitReply reply;
  reply.request = ask.request;
  reply.attempt = ask.attempt;
  reply.target = ask.target;
  reply.sequence = ask.sequence;
  reply.decision = AdmitDecision::kGranted;
  reply.boot = BootId("boot");
  reply.read_boot = true;
  it.flow.OnAdmitReply(it.now, kOwner, reply, &it.actions);
  REQUIRE(it.Last<PollTarget>() != nullptr);
  TargetReport report;
  report.boot = BootId("boot");
  it.flow.OnTargetReport(it.now, kFirst, report, &it.actions);
  CHECK(it.Last<StartAttempt>() != nullptr);
}

TEST_CASE("a refusal by every owner is final at once and says not run") {
  Flow it;
  it.Arrive(it.Completion("r"));
  it.AnswerProbes();
  it.Reply(it.TakeAsk(), AdmitDecision::kRefused);
  it.AnswerProbes();
  it.Reply(it.TakeAsk(), AdmitDecision::kRefused);
  const auto* finish = it.Last<FinishRequest>();
  REQUIRE(finish != nullptr);
  CHECK(finish->outcome.reason == Reason::kOverloaded);
  CHECK(finish->outcome.ran == Ran::kNo);
  CHECK(finish->outcome.retry_after > absl::ZeroDuration());
}

TEST_CASE("a request ends at its deadline and frees its place") {
  Flow it;
  it.Arrive(it.Completion("r"), absl::Seconds(2));
  it.RunToStart();
  it.now += absl::Seconds(2);
  it.flow.OnTick(it.now, &it.actions);
  const Actions actions = it.Take();
  bool cancelled = false;
  bool finished = false;
  for (const Action& action : actions) {
    cancelled |= std::holds_alternative<CancelAttempt>(action);
    if (const auto* finish = std::get_if<FinishRequest>(&action)) {
      finished = true;
      CHECK(finish->outcome.reason == Reason::kDeadlineExceeded);
      CHECK(finish->outcome.ran == Ran::kUnknown);
    }
  }
  CHECK(cancelled);
  CHECK(finished);
}

TEST_CASE("a call that may not be repeated needs a ticket or a key") {
  Flow it;
  it.Arrive(it.Call("r", "file"));
  const auto* finish = it.Last<FinishRequest>();
  REQUIRE(finish != nullptr);
  CHECK(finish->outcome.reason == Reason::kTicketRequired);
  CHECK(finish->outcome.ran == Ran::kNo);
}

TEST_CASE("a ticketed call is sent once when bytes may have left") {
  Flow it;
  it.flow.OnTicketRequested(
      it.now,
      {RequestId("t"), ClientAccountId("club"), ServiceId("desk"), "file"},
      &it.actions);
  RequestSpec spec = it.Call("r", "file");
  spec.ticket = it.Last<TicketIssued>()->ticket;
  it.Arrive(spec);
  const StartAttempt start = it.RunToStart();
  SECTION("a broken connection ends it as unknown") {
    it.Fail(start, AttemptFailure::kBroken);
    const auto* finish = it.Last<FinishRequest>();
    REQUIRE(finish != nullptr);
    CHECK(finish->outcome.ran == Ran::kUnknown);
    spec.id = RequestId("again");
    it.Arrive(spec);
    const auto* resend = it.Last<FinishRequest>();
    REQUIRE(resend != nullptr);
    CHECK(resend->outcome.ran == Ran::kUnknown);
  }
  SECTION("a refused connection lets it go elsewhere") {
    it.Fail(start, AttemptFailure::kNotSent);
    CHECK(it.RunToStart().target == kSecond);
  }
  SECTION("a resend during the run gets the same outcome") {
    spec.id = RequestId("again");
    it.Arrive(spec);
    CHECK(it.Last<StartAttempt>() == nullptr);
    it.flow.OnAttemptDone(it.now, {start.spec.id, start.attempt, Tokens(0), {}},
                          &it.actions);
    int finished = 0;
    for (const Action& action : it.Take()) {
      finished += std::holds_alternative<FinishRequest>(action) ? 1 : 0;
    }
    CHECK(finished == 2);
  }
}

TEST_CASE("a ticketed submission refused early doesn't say not run") {
  Flow it;
  RequestSpec spec = it.Call("r", "file");
  Ticket ticket;
  ticket.issuer = kOwner;
  ticket.account = spec.account;
  spec.ticket = ticket;
  it.flow.OnStop(it.now, &it.actions);
  it.Arrive(spec);
  const auto* finish = it.Last<FinishRequest>();
  REQUIRE(finish != nullptr);
  CHECK(finish->outcome.reason == Reason::kStopping);
  CHECK(finish->outcome.ran == Ran::kUnknown);
}

TEST_CASE("a stopping issuer still runs what others pass to it") {
  Flow it;
  it.flow.OnTicketRequested(
      it.now,
      {RequestId("t"), ClientAccountId("club"), ServiceId("desk"), "file"},
      &it.actions);
  RequestSpec spec = it.Call("r", "file");
  spec.ticket = it.Last<TicketIssued>()->ticket;
  it.flow.OnStop(it.now, &it.actions);
  it.flow.OnSubmitForward(it.now, kOwner,
                          {spec, absl::Seconds(5), kSelf.incarnation, nullptr},
                          &it.actions);
  CHECK_FALSE(it.flow.Idle());
  it.RunToStart();
}

TEST_CASE("a prompt over one engine's memory takes targets in id order") {
  Flow it;
  it.placement.memory = Tokens(400000);
  it.placement.candidates = {TargetId("t1"), TargetId("t2"), TargetId("t3")};
  it.fleet.owners[TargetId("t3")] = {kOwner.id};
  RequestSpec spec = it.Completion("r");
  spec.prompt = Tokens(1000000);
  it.Arrive(spec, absl::Minutes(5));
  it.AnswerProbes();
  const AdmitRequest first = it.TakeAsk();
  CHECK(first.target == kFirst);
  CHECK(first.purpose == AdmitPurpose::kGroupMember);
  it.Reply(first, AdmitDecision::kGranted);
  const AdmitRequest second = it.TakeAsk();
  CHECK(second.target == kSecond);
  SECTION("all granted: the last one leads") {
    it.placement.cold_budget = Tokens(0);
    it.Reply(second, AdmitDecision::kGranted);
    const AdmitRequest third = it.TakeAsk();
    CHECK(third.purpose == AdmitPurpose::kRun);
    it.Reply(third, AdmitDecision::kGranted);
    const auto* start = it.Last<StartAttempt>();
    REQUIRE(start != nullptr);
    CHECK(start->group.size() == 3);
    CHECK(start->target == TargetId("t3"));
  }
  SECTION("one refused: what was granted is given back") {
    it.Reply(second, AdmitDecision::kRefused);
    bool given_back = false;
    for (const Action& action : it.Take()) {
      const auto* send = std::get_if<SendPeer>(&action);
      if (send && std::holds_alternative<AttemptSettled>(send->payload)) {
        given_back |= std::get<AttemptSettled>(send->payload).target == kFirst;
      }
    }
    CHECK(given_back);
  }
}

}  // namespace
}  // namespace umbertrail::core
