#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "http/fake_server.h"
#include "target/event_log.h"
#include "umbertrail/target.h"

namespace umbertrail::target {
namespace {

using core::AttemptFailure;
using testing::EventLog;
using testing::FakeConnection;
using testing::FakeServer;
using testing::HttpAnswer;
using testing::StreamEnd;
using testing::StreamEvent;
using testing::StreamHead;

constexpr char kStarted[] = R"({"request_id":"r","attempt":1,"started":true})";
constexpr char kFirst[] =
    R"({"request_id":"r","attempt":1,"offset":0,"tokens":2,"text":"a b "})";
constexpr char kDone[] =
    R"({"request_id":"r","attempt":1,"done":true,"total":2})";

core::StartAttempt Completion() {
  core::StartAttempt action;
  action.spec.id = RequestId("r");
  action.spec.model = ModelId("m");
  action.spec.prompt = Tokens(3);
  action.spec.max_output = Tokens(2);
  action.attempt = AttemptNumber(1);
  action.target = TargetId("t");
  action.time_left = absl::Minutes(1);
  action.progress_limit = absl::Minutes(1);
  action.body = std::make_shared<const std::string>("hello prompt");
  return action;
}

core::StartAttempt Filing() {
  core::StartAttempt action = Completion();
  action.spec.kind = core::RequestKind::kServiceCall;
  action.spec.call = "file";
  action.spec.account = ClientAccountId("club");
  action.spec.service = ServiceId("desk");
  action.spec.idempotency_key = "k1";
  return action;
}

// Limits longer than any delay of a busy machine.
TargetClientSettings PatientSettings() {
  TargetClientSettings settings;
  settings.connect_timeout = absl::Minutes(1);
  settings.control_timeout = absl::Minutes(1);
  return settings;
}

AddressResolver To(const std::string& address) {
  return [address](const TargetId&) -> std::optional<std::string> {
    return address;
  };
}

// A client before a scripted target.
struct Bench {
  explicit Bench(FakeServer::Script script,
                 TargetClientSettings settings = PatientSettings())
      : server(std::move(script)),
        client(settings, log.Callback(), To(server.address())) {}

  core::AttemptFailed Failure(core::StartAttempt action) {
    client.Start(std::move(action));
    return log.Await<core::AttemptFailed>(1).front();
  }

  FakeServer server;
  EventLog log;
  TargetClient client;
};

// Plays the answer once the request has come, then closes. Other calls are
// answered with an empty object.
FakeServer::Script Play(std::string answer) {
  return [answer](FakeConnection& it) {
    const std::string request = it.ReadRequest();
    const bool cancel = request.find("/v1/cancel") != std::string::npos;
    it.Write(cancel ? HttpAnswer(200, "{}") : answer);
  };
}

AttemptFailure FailureOf(const std::string& answer) {
  Bench bench(Play(answer));
  return bench.Failure(Completion()).failure;
}

TEST_CASE("a whole stream is reported in its order") {
  Bench bench(Play(StreamHead() + StreamEvent(kStarted) + StreamEvent(kFirst) +
                   StreamEvent(kDone) + StreamEnd()));
  bench.client.Start(Completion());
  const auto done = bench.log.Await<core::AttemptDone>(1);
  CHECK(done[0].total == Tokens(2));
  CHECK(bench.log.All<core::AttemptStarted>().size() == 1);
  const auto chunks = bench.log.All<core::AttemptChunk>();
  REQUIRE(chunks.size() == 1);
  CHECK(chunks[0].offset == Tokens(0));
  CHECK(chunks[0].tokens == Tokens(2));
  CHECK(chunks[0].text == "a b ");
  CHECK(bench.log.All<core::AttemptFailed>().empty());
}

TEST_CASE("not sent is said only where no byte was written") {
  EventLog log;
  TargetClient refused(PatientSettings(), log.Callback(),
                       To(testing::RefusingAddress()));
  refused.Start(Completion());
  CHECK(log.Await<core::AttemptFailed>(1)[0].failure ==
        AttemptFailure::kNotSent);
  TargetClient unlisted(PatientSettings(), log.Callback(),
                        [](const TargetId&) { return std::nullopt; });
  unlisted.Start(Completion());
  CHECK(log.Await<core::AttemptFailed>(2)[1].failure ==
        AttemptFailure::kNotSent);
  Bench closed([](FakeConnection&) {});
  CHECK(closed.Failure(Completion()).failure == AttemptFailure::kBroken);
  Bench reset([](FakeConnection& it) {
    it.ReadRequest();
    it.Reset();
  });
  CHECK(reset.Failure(Completion()).failure == AttemptFailure::kBroken);
}

TEST_CASE("not run is said only in the target's own words") {
  CHECK(FailureOf(HttpAnswer(503, R"({"error":"full","ran":"no"})")) ==
        AttemptFailure::kSaidNotRun);
  CHECK(FailureOf(HttpAnswer(429, R"({"error":"full","ran":"no"})")) ==
        AttemptFailure::kSaidNotRun);
  CHECK(FailureOf(HttpAnswer(503, R"({"ran":"no","state":"cold"})")) ==
        AttemptFailure::kRefusedRestart);
  CHECK(FailureOf(HttpAnswer(503, R"({"error":"full"})")) ==
        AttemptFailure::kAnswered);
  CHECK(FailureOf(HttpAnswer(503, "<html>ran: no</html>")) ==
        AttemptFailure::kAnswered);
  CHECK(FailureOf(HttpAnswer(500, R"({"ran":"no"})")) ==
        AttemptFailure::kAnswered);
}

TEST_CASE("a refusal that is cut off is no refusal") {
  CHECK(FailureOf("HTTP/1.1 503 X\r\nContent-Length: 100\r\n\r\n"
                  R"({"error":"full","ran":"no"})") == AttemptFailure::kBroken);
}

TEST_CASE("a stream without its explicit end is broken") {
  const std::string begun =
      StreamHead() + StreamEvent(kStarted) + StreamEvent(kFirst);
  CHECK(FailureOf(begun) == AttemptFailure::kBroken);
  CHECK(FailureOf(begun + StreamEnd()) == AttemptFailure::kBroken);
  CHECK(FailureOf(begun + "5\r\ndata:") == AttemptFailure::kBroken);
  const std::string suspended =
      R"({"request_id":"r","attempt":1,"suspended":true,"offset":2})";
  CHECK(FailureOf(begun + StreamEvent(suspended) + StreamEnd()) ==
        AttemptFailure::kBroken);
}

TEST_CASE("an engine's own error in a stream is an answer") {
  const std::string error =
      R"({"request_id":"r","attempt":1,"error":"bad adapter"})";
  CHECK(FailureOf(StreamHead() + StreamEvent(error) + StreamEnd()) ==
        AttemptFailure::kAnswered);
}

TEST_CASE("a stream without progress is silent") {
  core::StartAttempt action = Completion();
  action.progress_limit = absl::Milliseconds(200);
  Bench quiet([](FakeConnection& it) {
    if (it.ReadRequest().find("/v1/cancel") == std::string::npos) {
      it.Write(StreamHead() + StreamEvent(kStarted));
    }
    it.AwaitClose();
  });
  CHECK(quiet.Failure(action).failure == AttemptFailure::kSilent);
  CHECK(quiet.client.stats().silent_links == 1);

  absl::Notification stop;
  Bench comments([&](FakeConnection& it) {
    it.ReadRequest();
    it.Write(StreamHead());
    while (!stop.WaitForNotificationWithTimeout(absl::Milliseconds(20))) {
      it.Write("3\r\n:x\n\r\n");
    }
  });
  CHECK(comments.Failure(action).failure == AttemptFailure::kSilent);
  stop.Notify();
}

TEST_CASE("foreign and malformed items are dropped and counted") {
  const std::string foreign_request =
      R"({"request_id":"other","attempt":1,"offset":0,"tokens":1,"text":"x"})";
  const std::string late_attempt =
      R"({"request_id":"r","attempt":2,"offset":0,"tokens":1,"text":"x"})";
  Bench bench(
      Play(StreamHead() + StreamEvent(foreign_request) +
           StreamEvent(late_attempt) + StreamEvent("{oops") +
           StreamEvent(R"({"request_id":"r","attempt":1,"offset":-1})") +
           StreamEvent(kFirst) + StreamEvent(kDone) + StreamEvent(kFirst) +
           StreamEnd()));
  bench.client.Start(Completion());
  bench.log.Await<core::AttemptDone>(1);
  CHECK(bench.log.All<core::AttemptChunk>().size() == 1);
  CHECK(bench.client.stats().foreign_items == 2);
  CHECK(bench.client.stats().malformed_items == 2);
}

TEST_CASE("a chunk out of order keeps its offset") {
  const std::string late =
      R"({"request_id":"r","attempt":1,"offset":7,"tokens":1,"text":"x "})";
  Bench bench(Play(StreamHead() + StreamEvent(late) + StreamEvent(kFirst) +
                   StreamEvent(kDone) + StreamEnd()));
  bench.client.Start(Completion());
  bench.log.Await<core::AttemptDone>(1);
  const auto chunks = bench.log.All<core::AttemptChunk>();
  REQUIRE(chunks.size() == 2);
  CHECK(chunks[0].offset == Tokens(7));
}

TEST_CASE("an oversized line breaks the stream") {
  TargetClientSettings settings = PatientSettings();
  settings.max_line_bytes = 1000;
  const std::string answer =
      StreamHead() + StreamEvent(std::string(2000, 'x')) + StreamEnd();
  Bench bench(Play(answer), settings);
  CHECK(bench.Failure(Completion()).failure == AttemptFailure::kBroken);
}

TEST_CASE("a service call is sent once, with its token") {
  std::string seen;
  Bench bench([&](FakeConnection& it) {
    seen = it.ReadRequest();
    it.Write(HttpAnswer(200, "filed"));
  });
  bench.client.Start(Filing());
  const auto done = bench.log.Await<core::AttemptDone>(1);
  REQUIRE(done[0].body != nullptr);
  CHECK(*done[0].body == "filed");
  CHECK(seen.find("POST /v1/call/file ") == 0);
  CHECK(seen.find("X-Once-Token: key:club:desk:file:k1\r\n") !=
        std::string::npos);
  CHECK(seen.find("hello prompt") != std::string::npos);
}

TEST_CASE("a service call that broke is not sent again") {
  Bench bench([](FakeConnection& it) { it.ReadRequest(); });
  CHECK(bench.Failure(Filing()).failure == AttemptFailure::kBroken);
  CHECK(bench.server.connections() == 1);
}

TEST_CASE("a service's answer that may be cut is broken") {
  Bench cut(Play("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfil"));
  CHECK(cut.Failure(Filing()).failure == AttemptFailure::kBroken);
  Bench endless(Play("HTTP/1.1 200 OK\r\n\r\nfil"));
  CHECK(endless.Failure(Filing()).failure == AttemptFailure::kBroken);
}

TEST_CASE("a cancelled attempt ends and its engine is told") {
  absl::Notification cancelled;
  Bench bench([&](FakeConnection& it) {
    const std::string request = it.ReadRequest();
    if (request.find("POST /v1/cancel") == 0) {
      it.Write(HttpAnswer(200, "{}"));
      cancelled.Notify();
      return;
    }
    it.Write(StreamHead() + StreamEvent(kStarted));
    it.AwaitClose();
  });
  core::StartAttempt action = Completion();
  action.progress_limit = absl::Hours(1);
  bench.client.Start(action);
  bench.log.Await<core::AttemptStarted>(1);
  bench.client.Cancel({action.spec.id, action.attempt, action.target});
  cancelled.WaitForNotification();
  while (bench.client.stats().running_streams > 0) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  CHECK(bench.log.All<core::AttemptFailed>().empty());
  CHECK(bench.log.All<core::AttemptDone>().empty());
}

TEST_CASE("a full client refuses further attempts unsent") {
  TargetClientSettings settings = PatientSettings();
  settings.max_streams = 1;
  Bench bench(
      [](FakeConnection& it) {
        it.ReadRequest();
        it.Write(StreamHead() + StreamEvent(kStarted));
        it.AwaitClose();
      },
      settings);
  bench.client.Start(Completion());
  bench.log.Await<core::AttemptStarted>(1);
  core::StartAttempt second = Completion();
  second.spec.id = RequestId("r2");
  const core::AttemptFailed failed = bench.Failure(second);
  CHECK(failed.request == RequestId("r2"));
  CHECK(failed.failure == AttemptFailure::kNotSent);
  CHECK(bench.server.connections() == 1);
}

// Sends the answer up to each of its bytes in turn, and closes. `judge` says
// whether the report fits an answer of which `cut` bytes came.
void CutEverywhere(const std::string& answer,
                   const core::StartAttempt& action,
                   const std::function<bool(size_t cut, bool done)>& judge) {
  std::atomic<size_t> cut{0};
  Bench bench([&](FakeConnection& it) {
    const std::string request = it.ReadRequest();
    const bool cancel = request.find("/v1/cancel") != std::string::npos;
    it.Write(cancel ? HttpAnswer(200, "{}") : answer.substr(0, cut));
  });
  size_t ends = 0;
  for (; cut <= answer.size(); ++cut) {
    bench.client.Start(action);
    ++ends;
    size_t done = 0;
    size_t failed = 0;
    while (done + failed < ends) {
      absl::SleepFor(absl::Microseconds(100));
      done = bench.log.All<core::AttemptDone>().size();
      failed = bench.log.All<core::AttemptFailed>().size();
    }
    REQUIRE(done + failed == ends);
    const bool is_done = done > 0;
    INFO("cut after " << cut);
    REQUIRE(judge(cut, is_done));
    if (is_done) {
      break;
    }
  }
  const auto failures = bench.log.All<core::AttemptFailed>();
  for (const core::AttemptFailed& it : failures) {
    REQUIRE(it.failure == AttemptFailure::kBroken);
  }
}

TEST_CASE("a stream cut anywhere before its end is broken") {
  const std::string answer = StreamHead() + StreamEvent(kStarted) +
                             StreamEvent(kFirst) + StreamEvent(kDone);
  // All but the chunk's closing line.
  const size_t whole = answer.size() - 2;
  CutEverywhere(answer, Completion(), [whole](size_t cut, bool done) {
    return done == (cut >= whole);
  });
}

TEST_CASE("a service's answer cut anywhere before its end is broken") {
  const std::string answer = HttpAnswer(200, "filed");
  CutEverywhere(answer, Filing(), [&](size_t cut, bool done) {
    return done == (cut == answer.size());
  });
}

TEST_CASE("a refusal cut anywhere before its end is no refusal") {
  const std::string answer = HttpAnswer(503, R"({"ran":"no"})");
  for (size_t cut = 0; cut < answer.size(); ++cut) {
    Bench bench(Play(answer.substr(0, cut)));
    INFO("cut after " << cut);
    REQUIRE(bench.Failure(Completion()).failure == AttemptFailure::kBroken);
  }
}

TEST_CASE("a prompt of eight megabytes arrives whole") {
  constexpr size_t kBytes = size_t{8} << 20;
  size_t received = 0;
  Bench bench([&](FakeConnection& it) {
    received = it.ReadRequest().size();
    it.Write(StreamHead() + StreamEvent(kDone) + StreamEnd());
  });
  core::StartAttempt action = Completion();
  action.body = std::make_shared<const std::string>(kBytes, 'p');
  bench.client.Start(action);
  bench.log.Await<core::AttemptDone>(1);
  CHECK(received > kBytes);
}

}  // namespace
}  // namespace umbertrail::target
