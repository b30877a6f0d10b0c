#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "request_support.h"
#include "umbertrail/core/request/rendezvous.h"

namespace umbertrail::core {
namespace {

const Fingerprint kContent(9);
constexpr std::size_t kInstances = 6;

// A request whose content is screened by homes that the test plays.
class Screening : public Flow {
 public:
  Screening() {
    fleet.instance_list.clear();
    for (std::size_t i = 1; i <= kInstances; ++i) {
      fleet.instance_list.push_back(
          {InstanceId(absl::StrCat("10.0.1.", i, ":7000")), DataCentreId("a"),
           false});
    }
    RequestSpec spec = Completion("r");
    spec.fingerprint = kContent;
    Arrive(spec);
  }

  // The home of the given rank, from 0.
  InstanceId Home(std::size_t rank) const {
    return RankInstances(kContent.value(), fleet.instances(), kInstances)
        .at(rank);
  }
  // Whom the request has asked since this was last called; probes are answered.
  std::vector<InstanceId> Asked() {
    std::vector<InstanceId> asked;
    for (const Action& it : actions) {
      const auto* send = std::get_if<SendPeer>(&it);
      if (send && std::holds_alternative<ScreenRequest>(send->payload)) {
        asked.push_back(send->to);
      }
    }
    AnswerProbes();
    return asked;
  }
  void Answer(const InstanceId& home, ScreenVerdict verdict, uint32_t deaths) {
    ScreenReply reply;
    reply.request = RequestId("r");
    reply.fingerprint = kContent;
    reply.verdict = verdict;
    reply.deaths = deaths;
    flow.OnScreenReply(now, {home, Incarnation(7)}, reply, &actions);
  }
  void AnswerYoung(const InstanceId& home) {
    ScreenReply reply;
    reply.request = RequestId("r");
    reply.fingerprint = kContent;
    reply.young = true;
    flow.OnScreenReply(now, {home, Incarnation(7)}, reply, &actions);
  }
  // The ends told to homes since this was last called.
  std::vector<ScreenEnd> Ended() const {
    std::vector<ScreenEnd> ended;
    for (const Action& it : actions) {
      const auto* send = std::get_if<SendPeer>(&it);
      if (send && std::holds_alternative<ScreenEnded>(send->payload)) {
        ended.push_back(std::get<ScreenEnded>(send->payload).end);
      }
    }
    return ended;
  }
  std::ptrdiff_t Polls() const {
    return std::count_if(actions.begin(), actions.end(), [](const Action& it) {
      return std::holds_alternative<PollTarget>(it);
    });
  }
  void PassProbeWait() {
    now += FlowConfig().probe_wait;
    flow.OnTick(now, &actions);
  }
  bool AskedForAdmission() const {
    for (const Action& it : actions) {
      const auto* send = std::get_if<SendPeer>(&it);
      if (send && std::holds_alternative<AdmitRequest>(send->payload)) {
        return true;
      }
    }
    return false;
  }
};

TEST_CASE("homes that don't answer are replaced by the next in rank") {
  Screening it;
  REQUIRE(it.Asked() == std::vector{it.Home(0), it.Home(1)});
  SECTION("when both are silent, a third that knows of the deaths is heard") {
    it.PassProbeWait();
    CHECK(it.Asked() == std::vector{it.Home(2), it.Home(3)});
    it.Answer(it.Home(2), ScreenVerdict::kQuarantined, 2);
    const auto* finish = it.Last<FinishRequest>();
    REQUIRE(finish != nullptr);
    CHECK(finish->outcome.reason == Reason::kQuarantined);
  }
  SECTION("when one is gone and one silent") {
    it.flow.OnPeerUnreachable(it.now, it.Home(0), &it.actions);
    CHECK(it.Asked() == std::vector{it.Home(2)});
    it.PassProbeWait();
    CHECK(it.Asked() == std::vector{it.Home(3)});
    it.Answer(it.Home(3), ScreenVerdict::kQuarantined, 2);
    CHECK(it.Last<FinishRequest>() != nullptr);
  }
  SECTION("with an answer of each replacement the request goes on") {
    it.PassProbeWait();
    it.Asked();
    it.Answer(it.Home(2), ScreenVerdict::kRun, 0);
    CHECK_FALSE(it.AskedForAdmission());
    it.Answer(it.Home(3), ScreenVerdict::kRun, 0);
    CHECK(it.AskedForAdmission());
  }
}

TEST_CASE("with no home in reach the instance itself answers") {
  Screening it;
  it.Asked();
  it.PassProbeWait();
  it.Asked();
  it.PassProbeWait();
  CHECK(it.Asked() == std::vector{kSelf.id});
  it.Answer(kSelf.id, ScreenVerdict::kRun, 0);
  CHECK(it.AskedForAdmission());
}

TEST_CASE("new homes don't answer for a silent one") {
  Screening it;
  it.Asked();
  it.AnswerYoung(it.Home(1));
  it.AnswerYoung(it.Home(2));
  it.AnswerYoung(it.Home(3));
  it.PassProbeWait();
  CHECK_FALSE(it.AskedForAdmission());
  SECTION("but for one that is gone") {
    Screening other;
    other.Asked();
    other.flow.OnPeerUnreachable(other.now, other.Home(0), &other.actions);
    other.AnswerYoung(other.Home(1));
    other.AnswerYoung(other.Home(2));
    other.AnswerYoung(other.Home(3));
    CHECK(other.AskedForAdmission());
  }
}

TEST_CASE("a run whose target never answers again stays open at the homes") {
  Screening it;
  it.Asked();
  it.Answer(it.Home(0), ScreenVerdict::kRun, 0);
  it.Answer(it.Home(1), ScreenVerdict::kRun, 0);
  it.Reply(it.TakeAsk(), AdmitDecision::kGranted);
  const StartAttempt start = *it.Last<StartAttempt>();
  it.Fail(start, AttemptFailure::kSilent);
  it.Take();
  it.now += FlowConfig().post_mortem;
  it.flow.OnTick(it.now, &it.actions);
  CHECK(it.Ended().empty());
  CHECK(it.Asked().size() == 2);  // it is tried again meanwhile
  TargetReport report;
  SECTION("until the same boot answers, which died not") {
    report.boot = BootId("boot");
    it.flow.OnTargetReport(it.now, kFirst, report, &it.actions);
    CHECK(it.Ended() == std::vector(2, ScreenEnd::kReleased));
  }
  SECTION("until another boot answers, and it is told as a death") {
    report.boot = BootId("restarted");
    it.flow.OnTargetReport(it.now, kFirst, report, &it.actions);
    const auto ended = it.Ended();
    CHECK(std::count(ended.begin(), ended.end(), ScreenEnd::kDied) >= 2);
  }
  SECTION("and is asked again until the limit") {
    it.now += FlowConfig().post_mortem;
    it.flow.OnTick(it.now, &it.actions);
    CHECK(it.Polls() == 1);
    it.now += FlowConfig().post_mortem_limit;
    it.flow.OnTick(it.now, &it.actions);
    it.Take();
    it.now += FlowConfig().post_mortem;
    it.flow.OnTick(it.now, &it.actions);
    CHECK(it.Polls() == 0);
  }
}

TEST_CASE("a run that its deadline ended stays open until its target answers") {
  Screening it;
  it.Asked();
  it.Answer(it.Home(0), ScreenVerdict::kRun, 0);
  it.Answer(it.Home(1), ScreenVerdict::kRun, 0);
  it.Reply(it.TakeAsk(), AdmitDecision::kGranted);
  const StartAttempt start = *it.Last<StartAttempt>();
  it.now += absl::Hours(1);
  it.flow.OnTick(it.now, &it.actions);
  CHECK(it.Ended().empty());
  CHECK(it.Polls() == 1);
  const auto* finish = it.Last<FinishRequest>();
  REQUIRE(finish != nullptr);
  CHECK(finish->outcome.reason == Reason::kDeadlineExceeded);
  TargetReport report;
  SECTION("with the same boot: it didn't die") {
    report.boot = BootId("boot");
    it.flow.OnTargetReport(it.now, start.target, report, &it.actions);
    CHECK(it.Ended() == std::vector(2, ScreenEnd::kReleased));
  }
  SECTION("with another boot: it died") {
    report.boot = BootId("restarted");
    it.flow.OnTargetReport(it.now, start.target, report, &it.actions);
    const auto ended = it.Ended();
    CHECK(std::count(ended.begin(), ended.end(), ScreenEnd::kDied) >= 2);
  }
}

TEST_CASE("a home that answers late is released with the others") {
  Screening it;
  it.Asked();
  it.PassProbeWait();
  it.Asked();
  it.Answer(it.Home(2), ScreenVerdict::kWait, 1);
  std::vector<InstanceId> released;
  for (const Action& action : it.Take()) {
    const auto* send = std::get_if<SendPeer>(&action);
    if (send && std::holds_alternative<ScreenEnded>(send->payload)) {
      released.push_back(send->to);
    }
  }
  CHECK(released ==
        std::vector{it.Home(0), it.Home(1), it.Home(2), it.Home(3)});
}

}  // namespace
}  // namespace umbertrail::core
