#include "umbertrail/telemetry/node_observer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace umbertrail::telemetry {
namespace {

using Catch::Matchers::Contains;

class MockLog : public LogSink {
 public:
  void Write(const LogRecord& record) override { records.push_back(record); }
  std::vector<LogRecord> records;
};

class MockSpans : public SpanSink {
 public:
  void Record(Span span) override { spans.push_back(std::move(span)); }
  std::vector<Span> spans;
};

// An observer with mocked sinks and a short way to feed it.
struct Fixture {
  MockLog log;
  MockSpans spans;
  Metrics metrics;
  HistoryStore histories{16, 16};
  NodeObserver observer{{&log, &metrics, &spans, &histories}, Options()};
  absl::Time now = absl::UnixEpoch();

  static ObserverOptions Options() {
    ObserverOptions out;
    out.self = {InstanceId("self"), Incarnation(9)};
    out.wall_offset = absl::Hours(1);
    out.sampled_fraction = 1;
    return out;
  }

  // 10 ms pass before each event.
  void Feed(const core::Event& event, const core::Actions& actions) {
    now += absl::Milliseconds(10);
    observer.OnEvent(now, event);
    observer.OnActions(now, event, actions);
  }

  void FeedMessage(core::PeerPayload payload, const core::Actions& actions) {
    core::PeerReceived event;
    event.envelope.from = {InstanceId("owner"), Incarnation(5)};
    event.envelope.payload = std::move(payload);
    Feed(event, actions);
  }

  const Span& SpanOf(Hop hop) const {
    const auto it =
        std::find_if(spans.spans.begin(), spans.spans.end(),
                     [hop](const Span& span) { return span.hop == hop; });
    REQUIRE(it != spans.spans.end());
    return *it;
  }
};

core::RequestArrived Arrival() {
  core::RequestArrived out;
  out.spec.id = RequestId("r");
  out.spec.account = ClientAccountId("club");
  out.spec.prompt = Tokens(1000);
  out.time_limit = absl::Seconds(30);
  return out;
}

template <typename Message>
Message MessageFor(const char* target) {
  Message out;
  out.request = RequestId("r");
  out.attempt = AttemptNumber(1);
  out.target = TargetId(target);
  return out;
}

// Takes one request from arrival to a whole answer through a remote owner that
// queues it first.
void RunWholeRequest(Fixture& f) {
  core::TargetListRead list;
  list.targets.push_back({TargetId("t"), core::TargetKind::kEngine, "",
                          DataCentreId("kirishima"), ServiceId(), "", false});
  f.Feed(list, {});
  core::ProbeRequest probe;
  probe.probe = 77;
  probe.target = TargetId("t");
  probe.time_left = absl::Seconds(30);
  f.Feed(Arrival(), {core::SendPeer{InstanceId("owner"), probe}});
  core::ProbeReply reply;
  reply.probe = 77;
  reply.target = TargetId("t");
  reply.can_serve = true;
  const auto ask = MessageFor<core::AdmitRequest>("t");
  f.FeedMessage(reply, {core::SendPeer{InstanceId("owner"), ask}});
  auto answer = MessageFor<core::AdmitReply>("t");
  answer.decision = core::AdmitDecision::kQueued;
  f.FeedMessage(answer, {});
  auto claim = ask;
  claim.claim = true;
  f.FeedMessage(MessageFor<core::AdmitReady>("t"),
                {core::SendPeer{InstanceId("owner"), claim}});
  answer.decision = core::AdmitDecision::kGranted;
  core::StartAttempt start;
  start.spec = Arrival().spec;
  start.attempt = AttemptNumber(1);
  start.target = TargetId("t");
  f.FeedMessage(answer, {start});
  f.Feed(core::AttemptStarted{RequestId("r"), AttemptNumber(1)}, {});
  const core::RelayChunk part{RequestId("r"), Tokens(0), Tokens(4), "SECRET"};
  f.Feed(core::AttemptChunk{RequestId("r"), AttemptNumber(1), Tokens(0),
                            Tokens(4), "SECRET"},
         {part});
  core::FinishRequest finish;
  finish.request = RequestId("r");
  finish.outcome.ran = core::Ran::kYes;
  finish.outcome.total = Tokens(4);
  f.Feed(core::AttemptDone{RequestId("r"), AttemptNumber(1), Tokens(4), {}},
         {finish});
}

TEST_CASE("each hop of a request becomes a span below the caller's") {
  Fixture f;
  TraceContext caller;
  caller.trace = TraceId{5, 6};
  caller.span = SpanId(7);
  f.observer.NoteCallerContext(RequestId("r"), caller);
  RunWholeRequest(f);

  const Span& root = f.SpanOf(Hop::kCaller);
  CHECK(root.parent == SpanId(7));
  CHECK(root.end - root.start == absl::Milliseconds(70));
  CHECK(root.start ==
        absl::UnixEpoch() + absl::Hours(1) + absl::Milliseconds(20));
  for (const Hop it :
       {Hop::kProbe, Hop::kAdmit, Hop::kQueue, Hop::kAttempt, Hop::kRelay}) {
    CHECK(f.SpanOf(it).parent == root.id);
    CHECK(f.SpanOf(it).trace == caller.trace);
  }
  CHECK(f.SpanOf(Hop::kQueue).peer == InstanceId("owner"));
  CHECK(f.SpanOf(Hop::kAttempt).target == TargetId("t"));
}

TEST_CASE("a request's history tells its path and outcome") {
  Fixture f;
  RunWholeRequest(f);
  const auto found = f.histories.Find(RequestId("r"));
  REQUIRE(found.size() == 1);
  const RequestHistory& history = found[0];
  // Probe, its answer, ask, queued, turn, claim, granted, sent, accepted, end.
  REQUIRE(history.steps.size() == 10);
  CHECK(std::holds_alternative<ProbeSentStep>(history.steps[0].detail));
  CHECK(std::holds_alternative<TurnCameStep>(history.steps[4].detail));
  CHECK(std::holds_alternative<AttemptEndedStep>(history.steps[9].detail));
  CHECK(history.relay.tokens == Tokens(4));
  CHECK(history.outcome->ran == core::Ran::kYes);
}

TEST_CASE("the measures are derived with the target's data centre") {
  Fixture f;
  RunWholeRequest(f);
  const std::string text = f.metrics.Text();
  CHECK_THAT(text, Contains("umbertrail_first_token_seconds_count{length_class="
                            "\"short\"} 1"));
  CHECK_THAT(text, Contains("umbertrail_short_slowdown_ratio_count 1"));
  CHECK_THAT(text, Contains("umbertrail_data_centre_requests_total{data_centre="
                            "\"kirishima\",result=\"ok\"} 1"));
  CHECK_THAT(text, Contains("umbertrail_peer_messages_total{direction=\"sent\","
                            "message=\"probe_request\"} 1"));
}

TEST_CASE("no log line carries a part of prompt or answer") {
  Fixture f;
  RunWholeRequest(f);
  REQUIRE_FALSE(f.log.records.empty());
  for (const LogRecord& it : f.log.records) {
    CHECK_THAT(FormatJson(it), !Contains("SECRET"));
  }
  CHECK(f.log.records.back().trace_id == ToHex(TraceOf(RequestId("r"))));
}

TEST_CASE("a probe sent by a timer goes to the request of its deadline") {
  Fixture f;
  f.Feed(Arrival(), {});
  core::RequestArrived other = Arrival();
  other.spec.id = RequestId("other");
  core::ProbeRequest probe;
  probe.time_left = absl::Seconds(30) - absl::Milliseconds(10);
  f.Feed(other, {core::SendPeer{InstanceId("owner"), probe}});
  CHECK(f.histories.Find(RequestId("r")).at(0).steps.size() == 1);
  CHECK(f.histories.Find(RequestId("other")).at(0).steps.empty());
}

TEST_CASE("an attempt's context names its span while it runs") {
  Fixture f;
  core::StartAttempt start;
  start.spec = Arrival().spec;
  start.attempt = AttemptNumber(1);
  start.target = TargetId("t");
  f.Feed(Arrival(), {start});
  const auto context =
      f.observer.AttemptContext(RequestId("r"), AttemptNumber(1));
  REQUIRE(context);
  CHECK(context->sampled);
  CHECK_FALSE(f.observer.AttemptContext(RequestId("r"), AttemptNumber(2)));
  f.Feed(core::AttemptFailed{RequestId("r"), AttemptNumber(1),
                             core::AttemptFailure::kBroken, "SECRET"},
         {});
  CHECK(f.SpanOf(Hop::kAttempt).id == context->span);
  CHECK(f.SpanOf(Hop::kAttempt).error);
  CHECK(f.log.records.back().failure == core::AttemptFailure::kBroken);
}

TEST_CASE("a submission passed on is told but counted elsewhere") {
  Fixture f;
  core::SubmitForward forward;
  forward.spec = Arrival().spec;
  core::SubmitResult result;
  result.request = RequestId("r");
  f.FeedMessage(forward, {core::SendPeer{InstanceId("owner"), result}});
  const auto found = f.histories.Find(RequestId("r"));
  REQUIRE(found.size() == 1);
  CHECK(found[0].forwarded_by == InstanceId("owner"));
  CHECK_THAT(f.metrics.Text(), !Contains("umbertrail_outcomes_total{"));
}

TEST_CASE("an issued ticket is no outcome of a request") {
  Fixture f;
  core::TicketIssued issued;
  issued.request = RequestId("r");
  f.Feed(core::TicketRequested{RequestId("r"), ClientAccountId("club"),
                               ServiceId("desk"), "file"},
         {issued});
  CHECK_THAT(f.metrics.Text(), Contains("umbertrail_tickets_issued_total 1"));
  CHECK_THAT(f.metrics.Text(), !Contains("umbertrail_outcomes_total{"));
}

TEST_CASE("outages are logged at their start and end only") {
  Fixture f;
  for (int i = 0; i < 3; ++i) {
    f.Feed(core::ConfigUnreachable(), {});
    f.Feed(core::TargetUnreachable{TargetId("t"), true}, {});
  }
  CHECK(f.log.records.size() == 2);
  f.Feed(core::TargetReported{TargetId("t"), {}}, {});
  CHECK(f.log.records.size() == 3);
}

}  // namespace
}  // namespace umbertrail::telemetry
